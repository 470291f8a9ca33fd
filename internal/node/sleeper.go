package node

import (
	"sync"
	"time"

	"lilacvane/internal/config"
	"lilacvane/internal/settings"
	"lilacvane/internal/sleep"
)

// sleeper tells the controller how long unused models stay loaded, based on what this node learned
// while it held the lease.
type sleeper struct {
	enabled  bool
	keeper   *sleep.Keeper
	timeZone *time.Location

	mutex sync.Mutex
	// lastUse is when each model was last used.
	lastUse map[string]time.Time
}

func newSleeper(s settings.Sleep, timeZone *time.Location) *sleeper {
	return &sleeper{
		enabled: s.FixedKeepAlive > 0 || s.IdleSecondsPerColdSecond > 0, timeZone: timeZone, lastUse: make(map[string]time.Time),
		keeper: sleep.NewKeeper(sleep.Settings{
			Fixed: s.FixedKeepAlive, IdlePerColdSecond: s.IdleSecondsPerColdSecond, TailPower: s.TailPower, Limit: s.Limit,
		}),
	}
}

// Enabled returns false if models stay loaded until their memory is needed.
func (s *sleeper) Enabled() bool { return s.enabled }

// KeepAlive returns how long an unused model stays loaded.
func (s *sleeper) KeepAlive(model *config.Model, share float64) time.Duration {
	return s.keeper.KeepAlive(sleep.Replica{Name: model.Name, LoadTime: model.LoadTime, Share: share})
}

// WakeAhead reports whether a model is usually used around this time.
func (s *sleeper) WakeAhead(model *config.Model, share float64, now time.Time) bool {
	return s.keeper.WakeAhead(sleep.Replica{Name: model.Name, LoadTime: model.LoadTime, Share: share}, now.In(s.timeZone))
}

// Observe learns from the time of a model's last use.
func (s *sleeper) Observe(model *config.Model, lastUse, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before, known := s.lastUse[model.Name]
	used := !known || lastUse.After(before)
	if known && used {
		s.keeper.ObserveGap(model.Name, lastUse.Sub(before))
	}
	s.lastUse[model.Name] = lastUse
	s.keeper.ObserveUse(model.Name, now.In(s.timeZone), used)
}
