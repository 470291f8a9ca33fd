package poison

import (
	"maps"
	"slices"
	"time"
)

// maxSuccesses bounds the contents and parts of which a node keeps when they last succeeded.
const maxSuccesses = 8192

// Successes keeps when contents and parts last succeeded at a node: ends before that were not caused by
// them, whoever knows of those ends. It is not safe for concurrent use.
type Successes struct{ last map[Identity]time.Time }

// NewSuccesses returns a Successes without any.
func NewSuccesses() *Successes { return &Successes{last: make(map[Identity]time.Time)} }

// Record records that a request succeeded. The oldest half of the others makes room for it.
func (s *Successes) Record(request Identity, now time.Time) {
	if len(s.last) >= maxSuccesses {
		times := slices.SortedFunc(maps.Values(s.last), time.Time.Compare)
		median := times[len(times)/2]
		maps.DeleteFunc(s.last, func(_ Identity, at time.Time) bool { return !at.After(median) })
	}
	s.last[request] = now
}

// Disproved returns the runners of a finding that ended before the request last succeeded.
func (s *Successes) Disproved(finding Finding) []string {
	succeeded, known := s.last[finding.Request]
	if !known {
		return nil
	}
	var runners []string
	for _, one := range finding.ends() {
		if one.run.known() && !one.run.Ended.After(succeeded) {
			runners = append(runners, one.runner)
		}
	}
	return runners
}
