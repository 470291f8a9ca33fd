package lease

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"lilacvane/internal/fault"
	"lilacvane/internal/table"
)

// fakeTable is a table that loses answers, delays writes and serves stale reads, as the
// test requires.
type fakeTable struct {
	rows     []table.Row
	revision table.Revision
	late     []table.Transaction
	// epoch is that of the table; markers are the rows that are not the lease, with the number of the
	// write by which they came.
	epoch   table.Epoch
	markers map[string]table.Revision
	// next is the outcome of the next write: "" (written), "lost" (written, but the answer is
	// lost), "late" (written later) or "refused".
	next string
	// behind is how many writes a read lags behind; down makes all calls fail.
	behind int
	down   bool
	// during is called in the middle of a write.
	during func()
}

func (f *fakeTable) row() table.Row {
	if len(f.rows) == 0 {
		return table.Row{}
	}
	return f.rows[len(f.rows)-1]
}

func (f *fakeTable) Get(_ context.Context, key string) (table.Row, error) {
	if f.down {
		return table.Row{}, fault.At(fault.CodeStoreUnavailable, "read", "table", fault.NotDone, errors.New("down"))
	}
	if table.IsMarker(key) {
		return table.Row{Value: []byte("0"), Revision: table.NewRevision(f.epoch, f.markers[key].Number())}, nil
	}
	if index := len(f.rows) - 1 - f.behind; index >= 0 {
		row := f.rows[index]
		row.Revision = table.NewRevision(f.epoch, row.Revision.Number())
		return row, nil
	}
	return table.Row{Revision: table.NewRevision(f.epoch, 0)}, nil
}

// restore returns with a copy that lacks the newest writes, but not the first one.
func (f *fakeTable) restore(lost int) {
	f.rows = f.rows[:max(len(f.rows)-lost, min(len(f.rows), 1))]
	f.revision = f.row().Revision
	f.epoch++
	maps.DeleteFunc(f.markers, func(_ string, written table.Revision) bool { return written > f.revision })
}

// observedTable is the table as seen by one node.
type observedTable struct {
	*fakeTable
	epochs *table.Epochs
}

func (o observedTable) Get(ctx context.Context, key string) (table.Row, error) {
	row, err := o.fakeTable.Get(ctx, key)
	o.observe(err)
	return row, err
}

func (o observedTable) Commit(ctx context.Context, t table.Transaction) (table.Revision, error) {
	revision, err := o.fakeTable.Commit(ctx, t)
	o.observe(err)
	return revision, err
}

// observe records the epoch unless the call had no answer.
func (o observedTable) observe(err error) {
	if fault.OutcomeOf(err) != fault.Unknown && !o.down {
		o.epochs.Observe(o.epoch)
	}
}

func (f *fakeTable) List(context.Context, string, string, int) ([]table.Row, error) { return nil, nil }

func (f *fakeTable) Commit(_ context.Context, t table.Transaction) (table.Revision, error) {
	if f.during != nil {
		f.during()
	}
	unknown := fault.At(fault.CodeStoreUnavailable, "write", "table", fault.Unknown, errors.New("no answer"))
	if f.down {
		return 0, fault.At(fault.CodeStoreUnavailable, "write", "table", fault.NotDone, errors.New("down"))
	}
	switch f.next {
	case "refused":
		return 0, fault.At(fault.CodeRateLimited, "write", "table", fault.NotDone, errors.New("limit"))
	case "late":
		f.late = append(f.late, t)
		return 0, unknown
	case "lost":
		f.apply(t)
		return 0, unknown
	}
	if !f.apply(t) {
		return 0, &fault.Error{Code: fault.CodeConflict, Ran: fault.NotDone}
	}
	return table.NewRevision(f.epoch, f.revision.Number()), nil
}

func (f *fakeTable) apply(t table.Transaction) bool {
	for _, condition := range t.Conditions {
		current := f.row().Revision
		if table.IsMarker(condition.Key) {
			current = f.markers[condition.Key]
		}
		if current.Number() != condition.Revision.Number() {
			return false
		}
	}
	f.revision++
	for _, write := range t.Writes {
		if table.IsMarker(write.Key) {
			f.markers[write.Key] = f.revision
			continue
		}
		f.rows = append(f.rows, table.Row{Key: write.Key, Value: write.Value, Revision: f.revision})
	}
	return true
}

// cluster is a set of nodes that contend for one lease under a fake clock.
type cluster struct {
	table   *fakeTable
	now     time.Time
	nodes   []*Elector
	started int
	// lastBy and lastAt are the node and the time of the last act.
	lastBy string
	lastAt time.Time
	// actors are the nodes that acted, by token.
	actors map[uint64]string
	// statuses holds the statuses sent by holders, for delivery to other nodes.
	statuses []HolderStatus
}

func newCluster(nodes int) *cluster {
	w := &cluster{actors: make(map[uint64]string), table: &fakeTable{epoch: 1, markers: make(map[string]table.Revision)}, now: time.Unix(1000, 0)}
	for index := range nodes {
		w.nodes = append(w.nodes, w.start(index))
	}
	return w
}

// start starts a new process of a node.
func (w *cluster) start(index int) *Elector {
	w.started++
	name := fmt.Sprintf("node-%d", index)
	options := Options{
		Validity: testValidity, Interval: testInterval, TurnGap: testGap, ActMargin: 400 * time.Millisecond, CallTimeout: time.Second,
		Now: func() time.Time { return w.now },
	}
	epochs := &table.Epochs{}
	return New(table.NewFenced(observedTable{fakeTable: w.table, epochs: epochs}, epochs), "lease", name, name+":1", fmt.Sprint(w.started), options, logr.Discard())
}

// act lets a node act if it may, and checks the gap since another node's last act.
func (w *cluster) act(t *rapid.T, index int) {
	node := w.nodes[index]
	token, ok := node.Act()
	if !ok {
		return
	}
	if actor := w.actors[token]; actor != "" && actor != node.self.Holder {
		t.Fatalf("%s acts with token %d, under which %s acted", node.self.Holder, token, actor)
	}
	w.actors[token] = node.self.Holder
	if w.lastBy != "" && w.lastBy != node.self.Holder && w.now.Sub(w.lastAt) < testGap {
		t.Fatalf("%s acts %s after %s", node.self.Holder, w.now.Sub(w.lastAt), w.lastBy)
	}
	w.lastBy, w.lastAt = node.self.Holder, w.now
}
