package relay

import (
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// TestRelayThatNamesNoEpochIsReadUntilTheStoreReturns covers a relay of an older build: it is taken to be
// in the reader's epoch until the store has returned with a copy, which that build does not notice.
func TestRelayThatNamesNoEpochIsReadUntilTheStoreReturns(t *testing.T) {
	epochs := &table.Epochs{}
	r := New(Options{Group: "group", Address: "10.0.0.1:1", Epochs: epochs, Log: logr.Discard()})
	epochs.Observe(4)
	response := wire.FollowResponse{Revision: 9}
	assert.NilError(t, r.checkEpoch(&response, Peer{}, 4))
	assert.Equal(t, response.Epoch, table.Epoch(4))
	epochs.Observe(5)
	assert.Assert(t, fault.IsCode(r.checkEpoch(&wire.FollowResponse{Revision: 9}, Peer{}, 4), fault.CodeStale))
	assert.Assert(t, fault.IsCode(r.checkEpoch(&wire.FollowResponse{Revision: 9, Epoch: 4}, Peer{}, 5), fault.CodeStale), "a relay behind its reader")
	assert.NilError(t, r.checkEpoch(&wire.FollowResponse{Revision: 3, Epoch: 6}, Peer{}, 5))
	assert.Equal(t, epochs.Newest(), table.Epoch(6))
}

// TestReaderThatNamesNoEpochIsSentChanges covers a reader of an older build.
func TestReaderThatNamesNoEpochIsSentChanges(t *testing.T) {
	m := newMirror()
	m.replace(feed.Batch{Revision: table.NewRevision(4, 7), Rows: []feed.Row{{Key: "a", Revision: table.NewRevision(4, 7)}}})
	m.apply(feed.Batch{Revision: table.NewRevision(4, 8), Rows: []feed.Row{{Key: "b", Revision: table.NewRevision(4, 8)}}})
	batch, err := read(endedContext(), m, wire.FollowRequest{After: 7})
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Rows), 1)
}

// TestReadersOfRestoredTableAreSentTheDifference checks that a reader of the epoch before is not sent the
// rows that are the same in the copy.
func TestReadersOfRestoredTableAreSentTheDifference(t *testing.T) {
	m := newMirror()
	rows := func(epoch table.Epoch, changed string) []feed.Row {
		return []feed.Row{{Key: "a", Value: []byte("1"), Revision: table.NewRevision(epoch, 3)}, {Key: "b", Value: []byte(changed), Revision: table.NewRevision(epoch, 9)}}
	}
	m.replace(feed.Batch{Revision: table.NewRevision(1, 20), Rows: append(rows(1, "lost"), feed.Row{Key: "c", Revision: table.NewRevision(1, 20)})})
	m.replace(feed.Batch{Revision: table.NewRevision(2, 10), Rows: rows(2, "given again")})
	batch, err := m.after(endedContext(), table.NewRevision(1, 20))
	assert.NilError(t, err)
	assert.DeepEqual(t, batch, feed.Batch{Revision: table.NewRevision(2, 10), Rows: []feed.Row{
		{Key: "b", Value: []byte("given again"), Revision: table.NewRevision(2, 9)}, {Key: "c", Revision: table.NewRevision(2, 10), Deleted: true},
	}})
}
