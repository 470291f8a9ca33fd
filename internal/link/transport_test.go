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

// startSilenceable returns a server behind a proxy, and a client with idle connections to it.
func startSilenceable(t *testing.T, kind Kind, idle int) (client *http.Client, proxy *faultproxy.Proxy, record *Record) {
	t.Helper()
	var together sync.WaitGroup
	together.Add(idle)
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
	for range idle {
		calls.Go(func() { assert.Check(t, get(t.Context(), client, proxy, "/together", time.Minute)) })
	}
	calls.Wait()
	return client, proxy, record
}

// get reports whether a call was answered in time.
func get(ctx context.Context, client *http.Client, proxy *faultproxy.Proxy, path string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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

// TestOneSilentConnectionIsEnough checks that if many idle connections went silent, only one call
// fails and the next ones use new connections.
func TestOneSilentConnectionIsEnough(t *testing.T) {
	const idle = 4
	client, proxy, record := startSilenceable(t, Peer, idle)
	assert.Equal(t, proxy.SilenceOpen(), idle)
	assert.Assert(t, !get(t.Context(), client, proxy, "/", 2*minSilence))
	for range idle {
		assert.Assert(t, get(t.Context(), client, proxy, "/", time.Minute))
	}
	assert.Equal(t, record.count(Peer, Mute), uint64(1))
}

// TestCanceledCallsKeepIdleConnections checks that calls which are canceled, or time out too early
// for an answer, do not drop the idle connections.
func TestCanceledCallsKeepIdleConnections(t *testing.T) {
	client, proxy, record := startSilenceable(t, Peer, 3)
	proxy.Set(faultproxy.Silence)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(2*minSilence, cancel)
	assert.Assert(t, !get(ctx, client, proxy, "/", time.Minute))
	assert.Assert(t, !get(t.Context(), client, proxy, "/", minSilence/4))
	proxy.Heal()
	dialed := record.dialed[Peer].Load()
	assert.Assert(t, get(t.Context(), client, proxy, "/", time.Minute))
	assert.Equal(t, record.dialed[Peer].Load(), dialed, "the idle connection was dropped")
	assert.Equal(t, record.count(Peer, Mute), uint64(0))
}

// TestSilenceAfterAnyRest checks connections that go silent after a random idle time longer than
// TrustedIdle. At most one call to a peer may fail, and none to the store.
func TestSilenceAfterAnyRest(t *testing.T) {
	const seeds, calls = 8, 4
	for _, test := range []struct {
		kind Kind
		lost int
	}{{Peer, 1}, {Store, 0}} {
		t.Run(test.kind.String(), func(t *testing.T) {
			for seed := range uint64(seeds) {
				client, proxy, _ := startSilenceable(t, test.kind, 4)
				idleTime := 2*TrustedIdle + time.Duration(rand.New(rand.NewPCG(seed, 0)).Int64N(int64(2*TrustedIdle)))
				time.Sleep(idleTime)
				proxy.SilenceOpen()
				lost := 0
				for range calls {
					if !get(t.Context(), client, proxy, "/", 2*minSilence) {
						lost++
					}
				}
				assert.Assert(t, lost <= test.lost, "seed %d: %d calls lost after %s idle", seed, lost, idleTime)
			}
		})
	}
}
