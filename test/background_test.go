package test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"lilacvane/internal/lab/world"
)

// backgroundLoad sends requests from several callers until it is stopped, and records every
// outcome.
type backgroundLoad struct {
	stop     context.CancelFunc
	group    sync.WaitGroup
	mutex    sync.Mutex
	calls    []call
	outcomes []outcome
}

func startLoad(t *testing.T, callers int, pick func(caller, number int) (*world.Node, call)) *backgroundLoad {
	ctx, stop := context.WithCancel(t.Context())
	b := &backgroundLoad{stop: stop}
	for caller := range callers {
		b.group.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				node, c := pick(caller, number)
				b.add(c, ask(context.Background(), node, c, nil))
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	t.Cleanup(func() { b.finish() })
	return b
}

func (b *backgroundLoad) add(c call, got outcome) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.calls = append(b.calls, c)
	b.outcomes = append(b.outcomes, got)
}

// finish stops the callers and waits for their last outcomes.
func (b *backgroundLoad) finish() {
	b.stop()
	b.group.Wait()
}

func (b *backgroundLoad) served() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	count := 0
	for _, got := range b.outcomes {
		if got.Served {
			count++
		}
	}
	return count
}

// waitServed waits until more requests have been served, in addition to those already
// served.
func (b *backgroundLoad) waitServed(t *testing.T, more int) {
	t.Helper()
	before := b.served()
	waitUntil(t, "requests are served", func() error {
		if b.served() < before+more {
			return fmt.Errorf("%d of %d served", b.served()-before, more)
		}
		return nil
	})
}

// assertTruthful checks all outcomes against the history.
func (b *backgroundLoad) assertTruthful(t *testing.T, h history) {
	t.Helper()
	for index, got := range b.outcomes {
		h.assertTruthful(t, b.calls[index], got)
	}
}
