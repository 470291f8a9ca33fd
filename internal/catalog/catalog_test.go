package catalog

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"lilacvane/internal/api"
	"lilacvane/internal/wire"
)

func entryOf(revision uint64, name string, deleted bool) wire.Entry {
	object := api.NewObject(api.KindPolicy, name, api.Policy{Models: []string{"*"}, Ready: fmt.Sprint(revision)})
	object.Generation = revision
	return wire.Entry{Revision: revision, Changes: []wire.Change{{Object: object, Deleted: deleted}}}
}

// TestCatalogsConverge applies parts of the log in any order, with snapshots in
// between. The revision must never decrease, and in the end the catalog must equal
// one that applied the log in order.
func TestCatalogsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(1, 40).Draw(t, "length")
		var log []wire.Entry
		for revision := 1; revision <= length; revision++ {
			name := fmt.Sprint("p", rapid.IntRange(0, 3).Draw(t, "name"))
			log = append(log, entryOf(uint64(revision), name, rapid.Bool().Draw(t, "deleted")))
		}
		reference := New()
		reference.Apply(log)
		c := New()
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			before := c.Revision()
			if rapid.Bool().Draw(t, "snapshot") {
				peer := New()
				peer.Apply(log[:rapid.IntRange(0, length).Draw(t, "peer")])
				c.ApplySnapshot(peer.Revision(), peer.List(api.KindPolicy))
			} else {
				from := rapid.IntRange(0, length-1).Draw(t, "from")
				c.Apply(log[from:rapid.IntRange(from, length).Draw(t, "to")])
			}
			if c.Revision() < before {
				t.Fatalf("revision decreased from %d to %d", before, c.Revision())
			}
		}
		c.Apply(log)
		if fmt.Sprint(c.List(api.KindPolicy)) != fmt.Sprint(reference.List(api.KindPolicy)) {
			t.Fatalf("catalog has objects %v, want %v", c.List(api.KindPolicy), reference.List(api.KindPolicy))
		}
	})
}
