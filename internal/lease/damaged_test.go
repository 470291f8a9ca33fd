package lease

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// damage overwrites the lease's row with a value of another writer.
func (f *fakeTable) damage(value string) {
	f.revision++
	row := f.row()
	row.Value, row.Revision = []byte(value), f.revision
	f.rows = append(f.rows, row)
}

// TestDamagedLeaseWasNeverTaken checks that a lease whose row is overwritten with something that is no record is
// taken again, under a later token, and no sooner than the holder that the row named can have acted last.
func TestDamagedLeaseWasNeverTaken(t *testing.T) {
	for _, value := range []string{
		"", "\xff", "null", "[]", `{"holder":7}`, `{"token":1}`, `{"holder":"x","process":"p","token":18446744073709551615}`, `{"holder":"x","process":"p","token":1e400}`,
		`{"holder":"x","process":"p","token":5,"released":true,"quietMs":-9223372036854775807}`, `{"holder":"node-1","process":"p","token":5,"gapLeftMs":9223372036854775807}`,
	} {
		w := newCluster(2)
		ctx := context.Background()
		holder, token := secondHolder(t, w)
		damaged := w.now
		w.table.damage(value)
		started := w.start(0)
		var acting *Elector
		for acting == nil {
			assert.Assert(t, w.now.Sub(damaged) < time.Minute, "%s: nobody acts", value)
			w.now = w.now.Add(testInterval / 4)
			for _, node := range []*Elector{holder, started} {
				node.step(ctx)
				if again, ok := node.Act(); ok && again != token {
					acting = node
					assert.Assert(t, again > token, "%s: token %d after %d", value, again, token)
				}
			}
		}
		assert.Assert(t, w.now.Sub(damaged) >= testGap, "%s: %s acts after %v", value, acting.self.Holder, w.now.Sub(damaged))
	}
}
