package link

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/faultproxy"
)

// startSilenceable returns a server behind a proxy, and a client with connections
// that rest at it.
func startSilenceable(t *testing.T, kind Kind, resting int) (client *http.Client, proxy *faultproxy.Proxy, record *Record) {
	t.Helper()
	var together sync.WaitGroup
	together.Add(resting)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/together" {
			together.Done()
			together.Wait()
		}
		_, _ = io.WriteString(w, "answer")
	}))
	t.Cleanup(server.Close)
	proxy, err := faultproxy.New("127.0.0.1:0", server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(proxy.Close)
	record = &Record{}
	client = &http.Client{Transport: NewTransport(kind, record, 16, 16)}
	t.Cleanup(client.CloseIdleConnections)
	var calls sync.WaitGroup
	for range resting {
		calls.Go(func() { assert.Check(t, get(t.Context(), client, proxy, "/together", time.Minute)) })
	}
	calls.Wait()
	return client, proxy, record
}

// get reports whether a call was answered in time.
func get(ctx context.Context, client *http.Client, proxy *faultproxy.Proxy, path string, patience time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+proxy.Address()+path, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil
}

func (r *Record) count(kind Kind, reason Reason) uint64 { return r.dropped[kind][reason].Load() }

// TestOneSilentConnectionIsEnough: of many resting connections that went silent,
// one call pays; the next ones are answered on new connections.
func TestOneSilentConnectionIsEnough(t *testing.T) {
	const resting = 4
	client, proxy, record := startSilenceable(t, Peer, resting)
	assert.Equal(t, proxy.SilenceOpen(), resting)
	assert.Assert(t, !get(t.Context(), client, proxy, "/", 2*muteLimit))
	for range resting {
		assert.Assert(t, get(t.Context(), client, proxy, "/", time.Minute))
	}
	assert.Equal(t, record.count(Peer, Mute), uint64(1))
}

// TestBrokenOffCallsTellNothing: calls that their caller gives up, or that had no
// time for an answer, do not drop what rests.
func TestBrokenOffCallsTellNothing(t *testing.T) {
	client, proxy, record := startSilenceable(t, Peer, 3)
	proxy.Set(faultproxy.Silence)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(2*muteLimit, cancel)
	assert.Assert(t, !get(ctx, client, proxy, "/", time.Minute))
	assert.Assert(t, !get(t.Context(), client, proxy, "/", muteLimit/4))
	proxy.Heal()
	dialed := record.dialed[Peer].Load()
	assert.Assert(t, get(t.Context(), client, proxy, "/", time.Minute))
	assert.Equal(t, record.dialed[Peer].Load(), dialed, "the connection that still rested was dropped")
	assert.Equal(t, record.count(Peer, Mute), uint64(0))
}

// TestSilenceAfterAnyRest: connections that rested for a drawn time, and for longer than an answer
// proves them, go silent. One call to a peer pays, none to the store does.
func TestSilenceAfterAnyRest(t *testing.T) {
	const seeds, calls = 8, 4
	for _, test := range []struct {
		kind Kind
		lost int
	}{{Peer, 1}, {Store, 0}} {
		t.Run(test.kind.String(), func(t *testing.T) {
			for seed := range uint64(seeds) {
				client, proxy, _ := startSilenceable(t, test.kind, 4)
				rest := 2*ProvedFor + time.Duration(rand.New(rand.NewPCG(seed, 0)).Int64N(int64(2*ProvedFor)))
				time.Sleep(rest)
				proxy.SilenceOpen()
				lost := 0
				for range calls {
					if !get(t.Context(), client, proxy, "/", 2*muteLimit) {
						lost++
					}
				}
				assert.Assert(t, lost <= test.lost, "seed %d: %d calls lost after a rest of %s", seed, lost, rest)
			}
		})
	}
}
