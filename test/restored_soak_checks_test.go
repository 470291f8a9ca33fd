package test

import (
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/world"
)

// inTouch reports whether neither a node nor the store's answers were disturbed for a time before. mutex is
// held.
func (s *restoreSoak) inTouch(node *world.Node, at time.Time) bool {
	near := func(one interval) bool {
		return at.After(one.from.Add(-20*time.Millisecond)) && at.Before(one.to.Add(contactTime+500*time.Millisecond))
	}
	if slices.ContainsFunc(s.unstable, near) || slices.ContainsFunc(s.disturbed[node.Name], near) {
		return false
	}
	for _, one := range s.disturbed[node.Name] {
		for _, restored := range s.restores {
			// A process that started from the copy knows what is in it.
			if one.to.After(restored.began.Add(-unreadTime)) && one.from.Before(restored.rewritten) && at.After(one.from) && at.Before(restored.rewritten.Add(newsBound)) {
				return false
			}
		}
	}
	return true
}

func (s *restoreSoak) verify() {
	history := readHistory(s.t, s.w)
	ran := 0
	for key := range s.keys {
		ran += min(history.runsOfPrompt(key), 1)
	}
	s.t.Logf("seed %d: %v, %d probes, %d keys of which %d ran", s.seed, s.counts, len(s.probes), len(s.keys), ran)
	s.logDisturbances()
	s.verifyVersions()
	s.verifyLeavers(history)
	s.verifyKeys(history)
	s.verifyObjects()
	s.verifyTokens()
	history.assertOrderGap(s.t, turnGap)
	history.assertMemoryNeverExceeded(s.t)
}

// logDisturbances logs what a failed check is to be compared with.
func (s *restoreSoak) logDisturbances() {
	for _, one := range s.restores {
		s.t.Logf("store went away at %s, returned at %s with a copy of %s, rewritten at %s", clock(one.began), clock(one.returned), clock(one.since), clock(one.rewritten))
	}
	for name, spans := range s.disturbed {
		for _, one := range spans {
			s.t.Logf("%s disturbed from %s to %s, killed %v", name, clock(one.from), clock(one.to), one.killed)
		}
	}
}

func clock(at time.Time) string { return at.Format("15:04:05.000") }

// verifyVersions checks that each route was served within its bound.
func (s *restoreSoak) verifyVersions() {
	for _, one := range s.probes {
		if one.status == http.StatusOK || !one.serving || !s.inTouch(one.node, one.sent) {
			continue
		}
		s.t.Errorf("%s answered %d to version %d at %s, acknowledged at %s", one.node.Name, one.status, one.version, clock(one.sent), clock(s.versionAt[one.version-1].at))
	}
}

// verifyLeavers checks that a runner got no request after its bound from a node in touch.
func (s *restoreSoak) verifyLeavers(h history) {
	sent := make(map[string]probe)
	for _, one := range s.probes {
		sent[one.id] = one
	}
	for _, leaving := range s.leavingAt {
		bound := s.effective(leaving.at).Add(newsBound)
		for _, record := range h.records {
			one, known := sent[record.Request]
			if record.Event == journal.EventRun && record.Runner == leaving.runner && known && record.Time.After(bound) && s.inTouch(one.node, one.sent) {
				s.t.Errorf("%s sent a request to %s at %s, which said at %s that it leaves", one.node.Name, leaving.runner, clock(record.Time), clock(leaving.at))
			}
		}
	}
}

// verifyKeys checks that each key ran once, unless all nodes that knew a claim ended before it was written
// again.
func (s *restoreSoak) verifyKeys(h history) {
	for key, attempts := range s.keys {
		if runs := h.runsOfPrompt(key); runs > 1 && !s.mayHaveLost(attempts) {
			s.t.Errorf("%s ran %d times, attempts from %s to %s", key, runs, clock(attempts.from), clock(attempts.to))
		}
	}
}

// claimHolders is how many nodes know a claim: the one that made it, and at least one that it told.
const claimHolders = 2

// mayHaveLost reports whether a return lost a claim that was made during the attempts under its key, after
// claimHolders nodes had ended.
func (s *restoreSoak) mayHaveLost(attempts interval) bool {
	return slices.ContainsFunc(s.restores, func(one restoreInterval) bool {
		ended := 0
		for _, spans := range s.disturbed {
			if slices.ContainsFunc(spans, func(span interval) bool {
				return !span.gone.IsZero() && span.to.After(attempts.from) && span.from.Before(one.returned.Add(contactTime))
			}) {
				ended++
			}
		}
		return ended >= claimHolders && attempts.to.After(one.since.Add(-unreadTime)) && attempts.from.Before(one.returned)
	})
}

// verifyObjects checks that all acknowledged objects are there.
func (s *restoreSoak) verifyObjects() {
	s.t.Logf("%d acknowledged objects", len(s.applied))
	for _, node := range s.nodes {
		waitUntil(s.t, "acknowledged objects at "+node.Name, func() error {
			objects, err := node.Client().List(s.t.Context(), api.KindPolicy)
			if err != nil {
				return err
			}
			for _, one := range s.applied {
				if !slices.ContainsFunc(objects, func(o api.Object) bool { return o.Name == one.name }) {
					return fmt.Errorf("%s, acknowledged at %s, is missing", one.name, clock(one.at))
				}
			}
			return nil
		})
	}
}

// orderToken finds the token in a log line of an order.
var orderToken = regexp.MustCompile(`"msg":"order".*"token":(\d+)`)

// verifyTokens checks that no two nodes ordered under one token.
func (s *restoreSoak) verifyTokens() {
	owners := make(map[string]string)
	for _, node := range s.nodes {
		for _, found := range orderToken.FindAllStringSubmatch(readLog(s.t, s.w, node), -1) {
			if owner, used := owners[found[1]]; used && owner != node.Name {
				s.t.Errorf("%s and %s ordered under token %s", owner, node.Name, found[1])
			}
			owners[found[1]] = node.Name
		}
	}
}
