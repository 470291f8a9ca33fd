package node

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/config"
	"lilacvane/internal/feed"
	"lilacvane/internal/table"
)

// emptyTable is a table without rows that never changes.
type emptyTable struct{}

func (emptyTable) Read(context.Context) (feed.Batch, error) { return feed.Batch{Revision: 1}, nil }

func (emptyTable) Watch(ctx context.Context, after table.Revision, _ time.Duration) (feed.Batch, error) {
	<-ctx.Done()
	return feed.Batch{Revision: after}, ctx.Err()
}

type noHandler struct{}

func (noHandler) ApplySnapshot([]feed.Row, time.Duration) {}

func (noHandler) ApplyChanges([]feed.Row) {}

func (noHandler) ApplyRestored([]feed.Row) []feed.Deferred { return nil }

func (noHandler) Keys() []string { return nil }

func emptyFollower() *feed.Follower {
	return feed.NewFollower(emptyTable{}, noHandler{}, feed.Options{Name: "empty", Wait: time.Hour, Timeout: time.Hour}, logr.Discard())
}

// Operator objects that are read before the platform's part must not become active alone, as all
// routes of the platform would be answered with 404. Nor must the platform's part become active
// without the objects, which may hold tenant keys.
func TestPartialConfigurationIsNotActive(t *testing.T) {
	n := &Node{followers: &followers{configuration: emptyFollower(), objects: emptyFollower()}}
	n.configuration.Store(&config.Configuration{})
	read := func(f *feed.Follower) {
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		go f.Run(ctx)
		for !f.Read() {
			time.Sleep(time.Millisecond)
		}
	}
	assert.Assert(t, n.activeConfiguration() == nil)
	read(n.followers.objects)
	assert.Assert(t, n.activeConfiguration() == nil)
	read(n.followers.configuration)
	assert.Assert(t, n.activeConfiguration() != nil)
}
