package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/lease"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

const (
	// maxServed bounds the builds of a row. A row that would have more is incomplete.
	maxServed = 256
	// incompleteStep is the granularity of the time until which a row with too many builds is incomplete, so that
	// it is not written again all the time.
	incompleteStep = time.Minute
	// unrecordedLifetime is how long a node has a build recorded that left before it was. It is shorter than
	// recordLifetime, as nodes see a build leave at different moments and one that was removed is not to come back.
	unrecordedLifetime = recordLifetime - returnTime
)

// serviceBuild is a build of a service's runners.
type serviceBuild struct {
	service string
	build   backend.Build
}

// servedState is what a node knows of the row.
type servedState struct {
	// read is set once the table was read, current if the row exists and is of the store's epoch.
	read    bool
	current bool
	// revision is that of the newest row that was applied.
	revision table.Revision
	// builds are those that serve or served within recordLifetime, with whether they had left. complete is
	// set if there are no others.
	builds   map[serviceBuild]bool
	complete bool
	// ofService are the builds by service.
	ofService map[string][]backend.Build
}

// apply applies the row as of a revision, unless a newer one was applied. A row of an earlier epoch is of a copy
// with which the store returned: what is known beyond it stays.
func (s *servedState) apply(row wire.ServedBuilds, revision table.Revision) {
	if s.read && revision < s.revision {
		return
	}
	s.read, s.revision, s.current = true, revision, revision.Exists() && row.Epoch == revision.Epoch()
	if s.current {
		s.builds, s.complete = nil, row.Complete
	}
	if s.builds == nil {
		s.builds = make(map[serviceBuild]bool, len(row.Builds))
	}
	for _, served := range row.Builds {
		s.builds[serviceBuild{served.Service, served.Build}] = served.LeftMs != 0
	}
	s.ofService = make(map[string][]backend.Build)
	for known := range s.builds {
		s.ofService[known.service] = append(s.ofService[known.service], known.build)
	}
}

// lacks reports whether the row differs from what this node has seen: builds, with whether they serve now. A process
// that does not hold the lease only cares for builds that the row lacks: it can neither tell that the row is complete
// nor that a build of the row has left.
func (s *servedState) lacks(seen map[serviceBuild]bool, term lease.Term) bool {
	if !s.current || !term.Held && len(s.builds) >= maxServed {
		return term.Held
	}
	for build, serves := range seen {
		left, recorded := s.builds[build]
		if serves && (left || !recorded) || !recorded && takesLeft(len(s.builds), s.complete) {
			return true
		}
	}
	for build, left := range s.builds {
		if term.Held && !left && !seen[build] {
			return true
		}
	}
	return false
}

// revise returns the row that is due at a time of the store's clock in an epoch. Only the process that holds the
// lease records that builds of the row left and removes them.
func (s *servedState) revise(row wire.ServedBuilds, epoch table.Epoch, seen map[serviceBuild]bool, term lease.Term, now time.Duration) wire.ServedBuilds {
	nowMs := max(now.Milliseconds(), 1)
	left := make(map[serviceBuild]int64)
	for _, served := range row.Builds {
		left[serviceBuild{served.Service, served.Build}] = served.LeftMs
	}
	revised := wire.ServedBuilds{Epoch: epoch, Complete: row.Complete, SinceMs: row.SinceMs}
	if row.Epoch != epoch {
		revised.Complete, revised.SinceMs = s.complete || term.First, nowMs
		for build := range s.builds {
			if _, recorded := left[build]; !recorded {
				left[build] = nowMs
			}
		}
	}
	for build, serves := range seen {
		if serves {
			left[build] = 0
		}
	}
	for build, serves := range seen {
		if _, recorded := left[build]; !serves && !recorded && takesLeft(len(left), revised.Complete) {
			left[build] = nowMs
		}
	}
	if term.Held {
		recordLeft(left, seen, nowMs)
		revised.SinceMs = min(revised.SinceMs, nowMs+incompleteStep.Milliseconds())
		revised.Complete = revised.Complete || nowMs-revised.SinceMs >= recordLifetime.Milliseconds()
	}
	revised.Builds = sorted(left)
	if len(revised.Builds) > maxServed {
		step := incompleteStep.Milliseconds()
		revised.Builds, revised.Complete, revised.SinceMs = revised.Builds[:maxServed], false, (nowMs/step+1)*step
	}
	return revised
}

// takesLeft reports whether a row of so many builds gets one more that has left. A full row that is incomplete stays so
// for as long as that build counts.
func takesLeft(builds int, complete bool) bool { return builds < maxServed || complete }

// recordLeft records which builds left by now, and removes those that left recordLifetime ago.
func recordLeft(left map[serviceBuild]int64, seen map[serviceBuild]bool, nowMs int64) {
	for build, leftMs := range left {
		switch {
		case seen[build]:
		case leftMs == 0 || leftMs > nowMs:
			left[build] = nowMs
		case nowMs-leftMs >= recordLifetime.Milliseconds():
			delete(left, build)
		}
	}
}

// sorted returns builds in an order that is the same at all nodes: those that serve first, and then those that
// left last.
func sorted(left map[serviceBuild]int64) []wire.ServedBuild {
	builds := make([]wire.ServedBuild, 0, len(left))
	for _, build := range slices.Collect(maps.Keys(left)) {
		builds = append(builds, wire.ServedBuild{Service: build.service, Build: build.build, LeftMs: left[build]})
	}
	slices.SortFunc(builds, func(a, b wire.ServedBuild) int {
		switch {
		case a.LeftMs == b.LeftMs:
			return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Build, b.Build))
		case a.LeftMs == 0:
			return -1
		case b.LeftMs == 0:
			return 1
		default:
			return cmp.Compare(b.LeftMs, a.LeftMs)
		}
	})
	return builds
}

// nextChange returns how long after a time of the store's clock a row changes by itself, if nothing else happens.
func nextChange(row wire.ServedBuilds, now time.Duration) time.Duration {
	next := recordLifetime
	if !row.Complete {
		next = min(next, time.Duration(row.SinceMs)*time.Millisecond+recordLifetime-now)
	}
	for _, served := range row.Builds {
		if served.LeftMs != 0 {
			next = min(next, time.Duration(served.LeftMs)*time.Millisecond+recordLifetime-now)
		}
	}
	return max(next, 0)
}

func equal(a, b wire.ServedBuilds) bool {
	return a.Epoch == b.Epoch && a.Complete == b.Complete && a.SinceMs == b.SinceMs && slices.Equal(a.Builds, b.Builds)
}
