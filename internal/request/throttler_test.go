package request

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/wire"
)

func readyReplica(runner, region string, slots int) wire.Replica {
	return wire.Replica{Runner: runner, Incarnation: runner, Region: region, State: wire.ReplicaReady, Slots: slots}
}

func patientAsk(class api.Class) Ask { return Ask{Class: class, Deadline: time.Now().Add(time.Hour)} }

// TestMostPressingClassIsServedFirst: with one place, waiting requests get it by
// class, then by arrival.
func TestMostPressingClassIsServedFirst(t *testing.T) {
	throttler := newThrottler("unit", "here", time.Second)
	order := make(chan api.Class, 4)
	for index, class := range []api.Class{api.ClassPatient, api.ClassOrdinary, api.ClassUrgent, api.ClassInteractive} {
		go func() {
			place, err := throttler.Acquire(context.Background(), patientAsk(class))
			if err == nil {
				order <- class
				place.Release(true)
			}
		}()
		for {
			if waiting, _ := throttler.pending(); waiting > index {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
	throttler.Update(wire.UnitStatus{Replicas: []wire.Replica{readyReplica("r", "here", 1)}})
	for _, class := range []api.Class{api.ClassUrgent, api.ClassInteractive, api.ClassOrdinary, api.ClassPatient} {
		assert.Equal(t, <-order, class)
	}
}

// TestRefusedAtOnce: a deadline that a load under way cannot meet is refused at
// admission, and while waiting as soon as that is known.
func TestRefusedAtOnce(t *testing.T) {
	throttler := newThrottler("unit", "here", time.Minute)
	_, err := throttler.Acquire(context.Background(), Ask{Deadline: time.Now().Add(time.Second)})
	assert.Assert(t, fault.IsCode(err, fault.CodeDeadline), "%v", err)
	assert.Equal(t, fault.OutcomeOf(err), fault.NotDone)
	assert.Assert(t, fault.From(err, "").RetryAfter > 0)

	refused := make(chan error, 1)
	go func() {
		_, err := throttler.Acquire(context.Background(), Ask{Deadline: time.Now().Add(2 * time.Minute)})
		refused <- err
	}()
	for {
		if waiting, _ := throttler.pending(); waiting == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	loading := wire.Replica{Runner: "r", State: wire.ReplicaLoading, ReadyIn: time.Hour.Milliseconds()}
	throttler.Update(wire.UnitStatus{Replicas: []wire.Replica{loading}})
	assert.Assert(t, fault.IsCode(<-refused, fault.CodeDeadline))
}

// TestQueueIsBounded: a class's queue refuses what is over its limit.
func TestQueueIsBounded(t *testing.T) {
	throttler := newThrottler("unit", "here", 0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range classLimits[api.ClassUrgent] {
		go func() { _, _ = throttler.Acquire(ctx, patientAsk(api.ClassUrgent)) }()
	}
	for {
		if waiting, _ := throttler.pending(); waiting == classLimits[api.ClassUrgent] {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_, err := throttler.Acquire(ctx, patientAsk(api.ClassUrgent))
	assert.Assert(t, fault.IsCode(err, fault.CodeQueueFull), "%v", err)
}

// TestRoutingPrefersOwnRegionAndPrefix: replicas of the own region come first,
// the same prefix goes to the same runner while that is not loaded far above the
// others.
func TestRoutingPrefersOwnRegionAndPrefix(t *testing.T) {
	throttler := newThrottler("unit", "here", time.Second)
	throttler.Update(wire.UnitStatus{Replicas: []wire.Replica{readyReplica("far", "there", 100), readyReplica("a", "here", 100), readyReplica("b", "here", 100)}})
	ask := patientAsk(api.ClassOrdinary)
	ask.Prefix = "the same beginning"
	first, err := throttler.Acquire(context.Background(), ask)
	assert.NilError(t, err)
	counts := map[string]int{first.Replica.Runner: 1}
	for range 40 {
		place, err := throttler.Acquire(context.Background(), ask)
		assert.NilError(t, err)
		counts[place.Replica.Runner]++
	}
	assert.Equal(t, counts["far"], 0)
	assert.Assert(t, counts["a"] >= 10 && counts["b"] >= 10, "%v", counts)
	assert.Assert(t, counts[first.Replica.Runner] > 41/2, "%v", counts)
}

// TestCanceledWaiterGivesPlaceBack: a caller that goes away does not keep a
// place.
func TestCanceledWaiterGivesPlaceBack(t *testing.T) {
	throttler := newThrottler("unit", "here", time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := throttler.Acquire(ctx, patientAsk(api.ClassOrdinary))
	assert.Assert(t, fault.IsCode(err, fault.CodeCanceled), "%v", err)
	throttler.Update(wire.UnitStatus{Replicas: []wire.Replica{readyReplica("r", "here", 1)}})
	_, err = throttler.Acquire(context.Background(), patientAsk(api.ClassOrdinary))
	assert.NilError(t, err)
}

// TestPlacesAreTakenWhileStatusesChange: requests, answers and statuses come at
// the same time. It failed first under the race detector: a place was described
// from the replica while an answer changed it.
func TestPlacesAreTakenWhileStatusesChange(t *testing.T) {
	throttler := newThrottler("unit", "here", time.Second)
	status := wire.UnitStatus{Replicas: []wire.Replica{readyReplica("a", "here", 4), readyReplica("b", "here", 4)}}
	throttler.Update(status)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for number := range 200 {
				place, err := throttler.Acquire(context.Background(), patientAsk(api.ClassOrdinary))
				if err != nil {
					t.Error(err)
					return
				}
				place.Heard(number % 3)
				throttler.Update(status)
				place.Release(true)
			}
		})
	}
	group.Wait()
}
