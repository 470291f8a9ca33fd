package relay

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/wait"
)

const (
	// readerPatience is how long a node looks for another one to read from before it
	// turns to the store: a relay's lease that ran out is taken within 2 s, and some
	// node reads the store long before that.
	readerPatience = 1200 * time.Millisecond
	// turnGrowth is how many times as many nodes turn to the store after each look in
	// vain: of 300 all do in the fifth second, as a configuration may take some seconds.
	turnGrowth = 4
	// lookInterval is the least time between two looks, and the longest one takes: a
	// call between zones with a new connection takes some 5 ms, and 300 nodes that all
	// start ask three seeds some 1,600 times a second each.
	lookInterval = 120 * time.Millisecond
	// lookStep is the time after which a table's follower sees what another one found.
	lookStep = 10 * time.Millisecond
	// firstLookPatience is how long a node that starts waits for the lease's row, which tells
	// how many nodes there are and which of them relays.
	firstLookPatience = 150 * time.Millisecond
	// startersDirect is up to how many nodes each that starts while the fleet serves reads the
	// tables from the store at once. Of more, hundreds may start together, after a loss of
	// power, and a start takes some ten calls and one for 500 runners.
	startersDirect = 128
	// nodesAsked is how many likely nodes are asked at each look, one of them at least no standby.
	nodesAsked = 3
)

// SetStandbys tells the nodes that turn to the store first when a holder is lost.
func (r *Relay) SetStandbys(addresses []string) {
	if len(addresses) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.standbys = addresses
}

// Direct reports whether this node turns to the store as soon as it has no relay. In
// a large fleet only some do, and the others read from them, as a call of each of some
// hundred nodes is more than the store should have to bear at once.
func (r *Relay) Direct() bool {
	if r.lessor.Holds() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.direct()
}

// direct is Direct of a node that is not the relay; mu is held.
func (r *Relay) direct() bool {
	switch {
	case !r.firstStart && !r.started:
		// It starts while the fleet serves: requests wait for its tables, and after a
		// loss of power everywhere nobody else can tell them yet.
		return r.nodes <= startersDirect && (r.rowSeen || time.Since(r.began) >= firstLookPatience)
	case len(r.standbys) > 0:
		return slices.Contains(r.standbys, r.address) || r.nodes <= lookers
	default:
		// The lease's row, which each process looks at once, names the relay.
		return !r.firstStart
	}
}

// find looks for a node to read from in place of the store, and waits until one is found.
// found is false when this node is to turn to the store; it fails when ctx ends first.
func (r *Relay) find(ctx context.Context) (reader Peer, found bool, err error) {
	for ctx.Err() == nil {
		if r.Direct() || !r.mayFind() {
			return Peer{}, false, nil
		}
		r.look(ctx)
		if reader, ok := r.Upstream().(Peer); ok {
			return reader, true, nil
		}
		wait.For(ctx, lookStep)
	}
	return Peer{}, false, fault.New(fault.CodeNotReady, "find reader", "no node that reads the store was found yet")
}

// mayFind begins a look, or reports whether the one that has begun goes on.
func (r *Relay) mayFind() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.lookingSince.IsZero() || now.Sub(r.lookedAt) > 2*readerPatience {
		r.lookingSince, r.looks = now, 0
	}
	if now.Sub(r.lookingSince) <= readerPatience {
		return true
	}
	if rand.Float64() < r.turnShare() {
		return false
	}
	r.lookingSince = now
	r.looks++
	return true
}

// turnShare is the part of the nodes that turn to the store after they looked in vain: few
// at first, as the store itself may be away, then more, as those that should read it may
// all be gone; mu is held.
func (r *Relay) turnShare() float64 {
	if r.nodes <= lookers || r.stopped && r.nodes <= startersDirect {
		// All may be stopping at once.
		return 1
	}
	return lookers / float64(r.nodes) * math.Pow(turnGrowth, float64(r.looks))
}

// look asks some nodes at once, unless that was just done for another table. It waits
// until one of them names a reader, at most for lookInterval: machines without power do
// not answer, and the others should not wait for them.
func (r *Relay) look(ctx context.Context) {
	r.mu.Lock()
	due := time.Since(r.lookedAt) >= lookInterval
	if due {
		r.lookedAt = time.Now()
	}
	addresses := r.readers()
	r.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lookInterval)
	defer cancel()
	asked, stop := context.WithCancel(ctx)
	var asking sync.WaitGroup
	for _, address := range addresses {
		asking.Go(func() {
			if r.seekAt(asked, address) {
				stop()
			}
		})
	}
	asking.Wait()
	stop()
}

// readers are some nodes that are likely to read the store or to know who does; mu is
// held.
func (r *Relay) readers() []string {
	asked := addressSet(r.standbys).pick(nodesAsked - 1)
	return append(asked, r.peers.pick(nodesAsked-len(asked))...)
}

// Informant returns the address of a node that is likely to know who holds the leases:
// the one that this node reads from, or else one that turns to the store first. It is
// empty when this node is to look itself.
func (r *Relay) Informant() string {
	if r.Direct() {
		return ""
	}
	if reader, ok := r.Upstream().(Peer); ok {
		return reader.Address
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range r.readers() {
		return address
	}
	return ""
}

// looking reports whether this node looks for another one to read from; mu is held.
func (r *Relay) looking() bool {
	return !r.direct() && !r.lookingSince.IsZero() && time.Since(r.lookingSince) <= readerPatience
}

// leavesLease decides whether this node leaves the lease's row to others this time: of
// the many that do not turn to the store first, a few look all the same, in case all
// those that do are gone; mu is held.
func (r *Relay) leavesLease() bool {
	return !r.direct() && r.nodes > lookers && rand.Float64() >= lookers/float64(r.nodes)
}

// foundReader ends a look; mu is held.
func (r *Relay) foundReader() { r.lookingSince, r.looks = time.Time{}, 0 }

// leaveReader forgets the node that this one read from, which no longer reads the
// store, and the calls to it end.
func (r *Relay) leaveReader(reader Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reader != reader {
		return
	}
	r.reader = Peer{}
	close(r.gone)
	r.gone = make(chan struct{})
}

// reads reports whether this node reads all tables from the store itself, so that
// others may read from it; mu is held.
func (r *Relay) reads() bool {
	if r.stopped || len(r.mirrors) == 0 || time.Since(r.heard) > maxAge {
		return false
	}
	for _, m := range r.mirrors {
		if !m.wasRead() {
			return false
		}
	}
	return true
}
