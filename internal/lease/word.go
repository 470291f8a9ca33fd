package lease

import "time"

// Word is what a holder tells the other nodes of its lease beside the row, so that
// they need not wait out more than they must when it is lost.
type Word struct {
	// Token is the lease that the word is of.
	Token uint64
	// Renewal is the newest renewal that was confirmed to the holder.
	Renewal uint64
	// Yielded is set when the holder acts no more under Token: its last renewal ran
	// out. It goes on only under a new token, if nobody else took the lease.
	Yielded bool
	// Quiet is how long nobody had acted when the holder yielded.
	Quiet time.Duration
}

// heard is what a node heard of the newest lease by its holder's word.
type heard struct {
	token   uint64
	renewal uint64
	// renewalAt is when the renewal was first heard of; it was sent before that.
	renewalAt time.Time
	// yielded is set when the holder said that it acts no more, yieldedAt is when
	// that was heard, quietSince the latest moment at which it can have acted.
	yielded    bool
	yieldedAt  time.Time
	quietSince time.Time
}

// Word returns the holder's word of its lease; false when this process holds none.
// From a word that says Yielded on, the process acts no more under its token.
func (l *Lessor) Word() (Word, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.held || l.stopped {
		return Word{}, false
	}
	word := Word{Token: l.seen.Token, Renewal: l.confirmed}
	now := l.options.Now()
	if now.Add(l.options.ActMargin).Before(l.validUntil) {
		return word, true
	}
	if quiet := l.quiet(); quiet >= 0 {
		l.yieldedToken = l.seen.Token
		word.Yielded, word.Quiet = true, quiet
	}
	return word, true
}

// yielded reports whether this process gave its word not to act under the newest
// record's token. mutex is held.
func (l *Lessor) yielded() bool { return l.yieldedToken != 0 && l.yieldedToken == l.seen.Token }

// Hear takes over a holder's word.
func (l *Lessor) Hear(word Word) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := l.options.Now()
	if word.Token < l.heard.token {
		return
	}
	if word.Token > l.heard.token {
		l.heard = heard{token: word.Token}
	}
	if word.Renewal > l.heard.renewal {
		l.heard.renewal, l.heard.renewalAt = word.Renewal, now
	}
	if word.Yielded && !l.heard.yielded {
		l.heard.yielded, l.heard.yieldedAt, l.heard.quietSince = true, now, now.Add(-word.Quiet)
		l.log.Info("lease yielded", "token", word.Token, "quietMs", word.Quiet.Milliseconds())
		l.noteOthers()
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

// seenSince is since when a record just read is known to have been written: since
// now, or since its renewal was heard of.
func (l *Lessor) seenSince(record Record) time.Time {
	now := l.options.Now()
	if record.Token == l.heard.token && record.Renewal == l.heard.renewal && !l.heard.renewalAt.IsZero() {
		return l.heard.renewalAt
	}
	return now
}

// yieldPatience is how long others leave a lease whose holder yielded to it: its
// store may only have been slow.
const yieldPatience = 300 * time.Millisecond

// heardYield reports whether the holder of the newest record said that it acts no
// more. mutex is held.
func (l *Lessor) heardYield() bool { return l.heard.yielded && l.heard.token == l.seen.Token }
