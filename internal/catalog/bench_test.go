package catalog

import (
	"fmt"
	"testing"

	"lilacvane/internal/api"
	"lilacvane/internal/wire"
)

// BenchmarkChange measures one change in a catalog of the size that the system is
// designed for.
func BenchmarkChange(b *testing.B) {
	const adapters = 11000
	c := New()
	revision := uint64(0)
	add := func(object api.Object) {
		revision++
		object.Generation = revision
		c.Apply([]wire.Entry{{Revision: revision, Changes: []wire.Change{{Object: object}}}})
	}
	for index := range adapters {
		name := fmt.Sprintf("adapter-%d", index)
		add(api.NewObject(api.KindAdapter, name, api.Adapter{Model: "m", Checkpoint: name, MemoryMiB: 100, Replicas: 1}))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		add(api.NewObject(api.KindPolicy, "p", api.Policy{Models: []string{"none"}, Ready: "0"}))
	}
}
