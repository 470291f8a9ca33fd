package lease

import (
	"encoding/json"
	"math"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/table"
)

const (
	// unknownHolder stands for the holder and process in a record that cannot be read.
	unknownHolder = "unknown"
	// maxRecordedWait bounds the times in a record for which others wait.
	maxRecordedWait = time.Minute
	// maxQuietMs is the longest time since the last act, in milliseconds; a node that never acted says so.
	maxQuietMs = math.MaxInt64 / int64(time.Millisecond)
	// maxToken is the maximum token in a record, so that later ones are greater.
	maxToken = math.MaxInt64 / 2
)

// decodeRecord decodes the value of a row that exists.
func decodeRecord(value []byte) (Record, error) {
	var record Record
	err := json.Unmarshal(value, &record)
	if record.Settled {
		// Nothing is left of the gap, whatever other builds wrote.
		record.GapLeftMs = 0
	}
	wait := maxRecordedWait.Milliseconds()
	switch {
	case err != nil:
	case record.Token > maxToken:
		err = fault.New(fault.CodeInvalid, "read lease", "token %d is above %d", record.Token, int64(maxToken))
	case record.QuietMs < -wait || record.QuietMs > maxQuietMs || record.GapLeftMs < -wait || record.GapLeftMs > wait:
		err = fault.New(fault.CodeInvalid, "read lease", "quiet for %d ms, gap of %d ms", record.QuietMs, record.GapLeftMs)
	}
	if err != nil {
		return Record{}, fault.New(fault.CodeInvalid, "read lease", "%v", err)
	}
	return record, nil
}

// unknownRecord returns the record that is assumed for a row that cannot be read: a process of which nothing
// is known has just renewed, under a token that is no smaller than any used in the epoch, as each takes
// a write.
func unknownRecord(revision table.Revision) Record {
	return Record{Holder: unknownHolder, Process: unknownHolder, Token: firstToken(revision.Epoch()) + revision.Number(), Epoch: revision.Epoch()}
}

// isNewer reports whether a revision is newer than that of the known row.
func (l *Elector) isNewer(revision table.Revision) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return !l.rowKnown || revision > l.revision
}
