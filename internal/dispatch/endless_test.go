package dispatch

import (
	"bytes"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/config"
)

const (
	// endlessAnswers is how many bodies without end a node reads at the same time.
	endlessAnswers = 16
	// endlessHeapBound is how much memory they may take, in bytes: a part of what the smallest machine has.
	endlessHeapBound = 96 << 20
)

// endlessBody writes the beginning of an answer and then filler until its caller closes.
func endlessBody(begin string, filler []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write([]byte(begin))
		for err == nil {
			_, err = w.Write(filler)
		}
	}
}

// TestBodiesWithoutEndTookAllMemory: runners send bodies that never end to many requests at once. They must
// not take more memory together than a node has; each request fails as one that may have run, and its
// connection is closed.
func TestBodiesWithoutEndTookAllMemory(t *testing.T) {
	filler := bytes.Repeat([]byte("x"), 64<<10)
	for name, test := range map[string]struct {
		kind  config.Kind
		begin string
	}{
		"whole answers":     {config.Unsafe, ""},
		"streams, no event": {config.Stream, ""},
		"streams, an event": {config.Stream, "id: 1\ndata: x\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			runtime.GC()
			var closed atomic.Int64
			serve := endlessBody(test.begin, filler)
			endless := func(w http.ResponseWriter, r *http.Request) {
				serve(w, r)
				closed.Add(1)
			}
			var requests sync.WaitGroup
			first, _ := hedgedJob(t, endless, endless)
			for range endlessAnswers {
				j, written := hedgedJob(t, endless, endless)
				j.dispatcher = first.dispatcher
				j.route = &config.Route{Kind: test.kind, Attempts: 1, Objective: 10 * time.Second}
				requests.Go(func() {
					for j.attempt(t.Context()) {
					}
					if test.begin == "" {
						assert.Check(t, written.Code == http.StatusBadGateway, "%d", written.Code)
					} else {
						assert.Check(t, j.outcome.Result == ResultBroken, "%s", j.outcome.Result)
					}
				})
			}
			peak := peakHeap(&requests)
			t.Logf("at most %d MB", peak>>20)
			assert.Assert(t, peak < endlessHeapBound, "%d MB", peak>>20)
			for closed.Load() < endlessAnswers {
				// The runners notice the end of their connections a moment later.
				time.Sleep(time.Millisecond)
			}
			assert.Equal(t, first.dispatcher.answers.reserved.Load(), int64(0))
		})
	}
}

// peakHeap returns the most memory that was in use until the group is done, in bytes.
func peakHeap(group *sync.WaitGroup) (peak uint64) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		group.Wait()
	}()
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapAlloc)
		select {
		case <-done:
			return peak
		case <-time.After(5 * time.Millisecond):
		}
	}
}
