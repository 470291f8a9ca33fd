package patterns

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/catalog"
	"lilacvane/internal/sleep"
)

// memoryStore is a store in memory.
type memoryStore map[string][]byte

func (m memoryStore) Get(_ context.Context, name string) ([]byte, bool, error) {
	content, found := m[name]
	return content, found, nil
}

func (m memoryStore) Put(_ context.Context, name string, content []byte) error {
	m[name] = content
	return nil
}

// TestPatternOutlivesItsCoordinator: what one node learned, the next knows.
func TestPatternOutlivesItsCoordinator(t *testing.T) {
	settings := sleep.Settings{Exchange: 60, TailPower: 1, Limit: time.Hour, StoreMiB: 1024, DiskMiB: 4096}
	unit := catalog.Unit{Name: "m", MemoryMiB: 30 * 1024}
	place := sleep.Place{RunnerMiB: 80 * 1024, Tier: 2}
	first, second := sleep.NewKeeper(settings), sleep.NewKeeper(settings)
	start := time.Date(2026, time.March, 2, 0, 0, 0, 0, time.UTC)
	for minute := 0; minute < 5*24*60; minute += 5 {
		at := start.Add(time.Duration(minute) * time.Minute)
		first.ObserveUse("m", at, at.Hour() == 7)
	}
	for range 10 {
		first.ObserveGap("m", 5*time.Hour)
	}
	morning := start.AddDate(0, 0, 5).Add(7*time.Hour + 10*time.Minute)
	assert.Assert(t, first.WakeAhead(unit, place, morning))
	store := memoryStore{}
	owned := func() []string { return []string{"m"} }
	saver := NewSaver(store, first, owned, time.Hour, logr.Discard())
	saver.SaveAll(context.Background())
	assert.Assert(t, !second.WakeAhead(unit, place, morning))
	reader := NewSaver(store, second, owned, time.Hour, logr.Discard())
	reader.round(context.Background(), time.Now())
	assert.Assert(t, second.WakeAhead(unit, place, morning))
	assert.Equal(t, second.For(unit, place), first.For(unit, place))
}
