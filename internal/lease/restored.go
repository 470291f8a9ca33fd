package lease

import (
	"time"

	"lilacvane/internal/table"
)

// A store that returns with an older copy loses the newest records of a lease. The row may then name a
// holder before the current one, or none. The holder whose validity has not ended writes its record
// again; nobody else can have taken the lease. Any other process, a holder whose validity has ended
// included, assumes that a holder of which it does not know renewed right before the store was lost.

// tokensPerEpoch is the number of tokens reserved for each epoch. Tokens of a later epoch are greater
// than lost ones.
const tokensPerEpoch = 1 << 20

// firstToken returns the token before the first one of an epoch.
func firstToken(epoch table.Epoch) uint64 { return uint64(max(epoch, 1)-1) * tokensPerEpoch }

// nextToken returns a token that no process has used. The caller holds mutex.
func (l *Elector) nextToken() uint64 {
	return max(l.latest.Token, l.observed.token, firstToken(l.revision.Epoch())) + 1
}

// isRestored reports whether a row that was not known is of a copy of the store. Records of older builds,
// and rows that do not exist, name no epoch; the first one of an epoch counts as restored. The caller
// holds mutex.
func (l *Elector) isRestored(record Record, revision table.Revision) bool {
	if record.Epoch != 0 {
		return record.Epoch < revision.Epoch()
	}
	known := l.revision.Epoch()
	return l.rowKnown && known != 0 && known < revision.Epoch()
}

// applyRestored records a restored row. The caller holds mutex.
func (l *Elector) applyRestored(record Record, revision table.Revision) {
	if !l.restored() || l.revision.Epoch() != revision.Epoch() {
		l.restoredAt = l.options.Now()
		l.log.Info("lease row restored", "holder", record.Holder, "token", record.Token, "revision", revision, "knownHolder", l.latest.Holder, "knownToken", l.latest.Token, "held", l.held)
	}
	if !l.rowKnown || record.Token > l.latest.Token {
		// The holder has changed since this process last read the row.
		l.latest, l.held = record, false
	}
	l.revision, l.seenAt, l.rowKnown = revision, l.options.Now(), true
	l.updateEarliestAct()
}

// restored reports whether the newest row is of a copy. The caller holds mutex.
func (l *Elector) restored() bool { return !l.restoredAt.IsZero() }

// lostHoldersEnd returns until when a holder named by a lost record may act. The caller holds mutex.
func (l *Elector) lostHoldersEnd() time.Time { return l.restoredAt.Add(l.options.Validity) }

// awaitLostHolders reports whether the row is restored and this process cannot tell whether another one
// has held the lease since its last renewal. It then does not act before such a holder's turn gap has
// passed. The caller holds mutex.
func (l *Elector) awaitLostHolders() bool {
	if !l.restored() || l.options.Now().Before(l.validUntil) && !l.yielded() {
		return false
	}
	if from := l.lostHoldersEnd().Add(l.options.TurnGap); from.After(l.actsFrom) {
		l.actsFrom = from
	}
	return true
}
