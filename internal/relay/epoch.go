package relay

import (
	"lilacvane/internal/fault"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// epochChanged lets all calls that wait for the store begin anew: they wait in an epoch that has ended.
func (r *Relay) epochChanged(previous, _ table.Epoch) {
	if previous == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notifyFound()
	r.elector.Retry()
}

// checkEpoch observes the epoch of a relay's response. One that names none is taken to be of the store's epoch
// until the store has returned with an older copy: a relay that does not know epochs may then stay behind for
// good. It fails with fault.CodeStale then, and if the response is of an earlier epoch than reader, the
// epoch of the position of the reader.
func (r *Relay) checkEpoch(response *wire.FollowResponse, relay Peer, reader table.Epoch) error {
	newest := r.epochs.Newest()
	if response.Epoch == 0 && r.epochs.ChangedAt().IsZero() {
		response.Epoch = newest
		return nil
	}
	r.epochs.Observe(response.Epoch)
	if response.Epoch >= reader && response.Epoch != 0 {
		return nil
	}
	return fault.At(fault.CodeStale, "follow relay", relay.Address, fault.NotDone,
		fault.New(fault.CodeStale, "compare epochs", "the relay answers in epoch %d, the store in %d", response.Epoch, newest))
}
