package quarantine

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/crash"
	"lilacvane/internal/feed"
	"lilacvane/internal/poison"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// tableStub is a table that keeps what is committed, and rejects commits while it is down.
type tableStub struct {
	table.Table
	down bool
	rows map[string]bool
	// values are the values of the rows that were written.
	values map[string][]byte
}

func (w *tableStub) Commit(_ context.Context, transaction table.Transaction) (table.Revision, error) {
	if w.down {
		return 0, fmt.Errorf("down")
	}
	for _, row := range transaction.Writes {
		w.rows[row.Key] = !row.Delete
		if w.values == nil {
			w.values = make(map[string][]byte)
		}
		w.values[row.Key] = row.Value
	}
	return 1, nil
}

func testQuarantine(rows *tableStub) *Quarantine {
	return New(Options{
		Rows: rows, Self: func() string { return "self" }, ReportNow: func(string) {}, Wake: func() {}, RecordDecision: func(_, _, _ string) {},
		SendReport: func(context.Context, string, wire.PoisonReport) (wire.PoisonAnswer, error) {
			return wire.PoisonAnswer{}, nil
		}, Holds: func(string) bool { return true }, CountRunners: func(string) int { return 0 }, CountUndelivered: func() {}, Unreadable: func(feed.Row, error) {}, Log: logr.Discard(),
	})
}

// TestThirdCrashIsWritten: a request involved in three crashes is refused at once, and written as
// soon as the table is available. When an operator lifts it, the request runs again and its row
// is removed.
func TestThirdCrashIsWritten(t *testing.T) {
	rows := &tableStub{rows: make(map[string]bool), down: true}
	q := testQuarantine(rows)
	request := poison.Content{Path: "/x"}.Identity()
	for number := range 3 {
		_, refused := q.Refused(request)
		assert.Assert(t, !refused, "after %d crashes", number)
		q.Crashed(crash.Crash{Runner: fmt.Sprint("r", number), Requests: []poison.Identity{request}})
	}
	_, refused := q.Refused(request)
	assert.Assert(t, refused)
	assert.Equal(t, q.CountRefused(), 1)
	_, err := q.write(t.Context())
	assert.ErrorContains(t, err, "down")
	rows.down = false
	_, err = q.write(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, rows.rows[request.String()])
	assert.NilError(t, q.Lift(t.Context(), request))
	_, refused = q.Refused(request)
	assert.Assert(t, !refused && !rows.rows[request.String()])
}

// TestMarkThatTheCopyLacksWasLifted: a row that a restored store had lost counted as lifted by an operator.
func TestMarkThatTheCopyLacksWasLifted(t *testing.T) {
	rows := &tableStub{rows: make(map[string]bool)}
	q := testQuarantine(rows)
	request := poison.Content{Path: "/x"}.Identity()
	for number := range 3 {
		q.Crashed(crash.Crash{Runner: fmt.Sprint("r", number), Requests: []poison.Identity{request}})
	}
	_, err := q.write(t.Context())
	assert.NilError(t, err)
	q.mutex.Lock()
	q.written[request] = writtenRow{}
	q.mutex.Unlock()
	handler := (*Handler)(q)
	assert.DeepEqual(t, handler.Keys(), []string{request.String()})
	delete(rows.rows, request.String())
	handler.ApplyRestored([]feed.Row{{Key: request.String(), Revision: table.NewRevision(2, 3), Deleted: true}})
	_, refused := q.Refused(request)
	assert.Assert(t, refused)
	q.mutex.Lock()
	q.repair()
	q.mutex.Unlock()
	_, err = q.write(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, rows.rows[request.String()])
}

// TestLiftedMarkCameBackFromCopy: the copy of a restored store had the row of a mark that an operator had lifted.
func TestLiftedMarkCameBackFromCopy(t *testing.T) {
	rows := &tableStub{rows: make(map[string]bool)}
	q := testQuarantine(rows)
	request := poison.Content{Path: "/x"}.Identity()
	for number := range 3 {
		q.Crashed(crash.Crash{Runner: fmt.Sprint("r", number), Requests: []poison.Identity{request}})
	}
	mark, _ := q.marks.Find(request)
	value, err := wire.Encode(wire.PoisonRecord{Runners: mark.Runners})
	assert.NilError(t, err)
	assert.NilError(t, q.Lift(t.Context(), request))
	rows.rows[request.String()] = true
	(*Handler)(q).ApplyRestored([]feed.Row{{Key: request.String(), Value: value, Revision: table.NewRevision(2, 3)}})
	_, refused := q.Refused(request)
	assert.Assert(t, !refused)
	q.mutex.Lock()
	q.repair()
	q.mutex.Unlock()
	_, err = q.write(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, !rows.rows[request.String()], "the row is not removed again")
}
