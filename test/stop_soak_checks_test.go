package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/journal"
	"lilacvane/internal/settings"
)

const (
	// maxRefusalTime is the longest time from the last byte of a request that a node refuses as it stops to the
	// refusal: its client loses this time before it asks another node. It is what a busy machine may take
	// until it runs both processes.
	maxRefusalTime = 500 * time.Millisecond
	// refusalSlack is by how much a node may count the begin of its stop later than the signal was sent.
	refusalSlack = 100 * time.Millisecond
	// deadlineSlack is by how much an answer may end before its deadline, which its node counts in whole
	// milliseconds.
	deadlineSlack = 20 * time.Millisecond
)

// The ends of a request.
const (
	endServed     = "served"
	endRefused    = "refused"
	endKilled     = "its node was killed"
	endFrozen     = "its node was frozen during the stop"
	endUnread     = "not sent whole"
	endNoDial     = "no connection"
	endBrokeOff   = "its runner broke off"
	endDeadline   = "its deadline passed"
	endCut        = "cut in the last part"
	endCrossed    = "crossed the close"
	endLost       = "lost"
	endUnexpected = "unexpected"
)

// attempt is a run of a request at a runner; to is zero while it goes on.
type attempt struct {
	from, to time.Time
	first    string
	brokeOff bool
}

// attemptsByPrompt returns the runs of all requests by the text that begins their answers, in order of time.
func (h history) attemptsByPrompt() map[string][]*attempt {
	attempts, open := make(map[string][]*attempt), make(map[string]*attempt)
	for _, record := range h.records {
		key := record.Runner + " " + record.Incarnation + " " + record.Request
		switch record.Event {
		case journal.EventRun:
			open[key] = &attempt{from: record.Time, first: record.Detail}
			attempts[record.Prompt] = append(attempts[record.Prompt], open[key])
		case journal.EventFinished, journal.EventCanceled:
			if one := open[key]; one != nil {
				one.to, one.brokeOff = record.Time, record.Detail == journal.DetailBrokeOff
			}
		}
	}
	return attempts
}

// verifyStops checks each stop and the result of each request.
func (s *stopSoak) verifyStops() {
	for _, stop := range s.planned {
		s.checkPlannedStop(stop)
	}
	for _, result := range s.results {
		s.exchanges = append(s.exchanges, exchangeOf(result))
	}
	attempts := readHistory(s.t, s.w).attemptsByPrompt()
	counts, least := make(map[string]int), time.Hour
	for _, e := range s.exchanges {
		stop := s.stopOf(e)
		kind, problem := s.classifyStopped(e, stop, attempts[e.ID])
		if problem == "" {
			problem = checkOnce(e, attempts[e.ID])
		}
		counts[kind]++
		if kind == endServed && stop != nil && stop.frozen == 0 && !e.slow && e.at(e.lastRead).Before(stop.gone) {
			least = min(least, stop.limits.Grace-e.at(e.lastRead).Sub(stop.signal))
		}
		if !assert.Check(s.t, problem == "", "seed %d: %s: %s", s.seed, problem, e.describe(stop, attempts[e.ID])) {
			s.t.Logf("log of %s: %s", e.node.Name, strings.Join(linesContaining(readFile(s.t, s.w.LogPath(e.node)), e.ID), ""))
		}
	}
	s.t.Logf("seed %d: %d stops, %d requests %v, least margin of a last answer %s, changes %v", s.seed, len(s.planned), len(s.exchanges), counts, least.Round(time.Millisecond), s.changeCounts)
}

// exchangeOf returns the result of a request on a kept connection.
func exchangeOf(result requestResult) stopExchange {
	e := stopExchange{node: result.node, path: result.request.Path, signal: result.sent, due: min(result.request.Deadline, routeTimeout(result.request.Path))}
	r := slowRequest{path: e.path, events: result.request.Events}
	e.slowAnswer = slowAnswer{clientAnswer: result.answer, dialed: true, read: true, opened: result.dialed.Sub(result.sent), problem: result.problem, lastRead: result.end.Sub(result.sent), ended: result.end.Sub(result.sent)}
	e.whole = e.Complete && e.Status == http.StatusOK && r.isExpected(&e.slowAnswer)
	return e
}

// at returns the time of a moment of an answer.
func (e *stopExchange) at(moment time.Duration) time.Time { return e.signal.Add(moment) }

// stopOf returns the stop of a request's node during which its connection was open; nil for none.
func (s *stopSoak) stopOf(e stopExchange) *plannedStop {
	for _, stop := range s.planned {
		if stop.node == e.node && !e.at(e.ended).Before(stop.signal) && !e.at(e.opened).After(stop.gone) {
			return stop
		}
	}
	return nil
}

// checkPlannedStop checks that a process ended by itself, by the settings in force, and in time.
func (s *stopSoak) checkPlannedStop(stop *plannedStop) {
	lines := slices.DeleteFunc(linesContaining(readFile(s.t, s.w.LogPath(stop.node)), `"node stop`), func(line string) bool {
		at := logTime(line)
		return at.Before(stop.signal.Add(-stopLead)) || at.After(stop.gone)
	})
	begun := struct{ GraceMs int64 }{}
	if !assert.Check(s.t, len(lines) > 0, "seed %d: %s did not log its stop", s.seed, stop.node.Name) || !assert.Check(s.t, json.Unmarshal([]byte(lines[0]), &begun)) {
		return
	}
	known := slices.IndexFunc(stop.possible, func(limits settings.Stop) bool { return limits.Grace.Milliseconds() == begun.GraceMs })
	if !assert.Check(s.t, known >= 0, "seed %d: %s stops within %d ms, its settings say %v", s.seed, stop.node.Name, begun.GraceMs, stop.possible) {
		return
	}
	stop.limits = stop.possible[known]
	took, all := stop.gone.Sub(stop.signal), strings.Join(lines, "")
	assert.Check(s.t, stop.problem, "seed %d: %s did not end by itself:\n%s", s.seed, stop.node.Name, all)
	assert.Check(s.t, took <= stop.limits.Grace+stop.frozen, "seed %d: %s took %s of %s to stop from %s on, frozen for %s:\n%s", s.seed, stop.node.Name, took, stop.limits.Grace, stop.signal.Format(time.RFC3339Nano), stop.frozen, all)
}

// logTime returns the time of a line of a log; zero if it has none.
func logTime(line string) time.Time {
	var logged struct {
		Time time.Time `json:"time"`
	}
	// A line without a time is older than all others.
	_ = json.Unmarshal([]byte(line), &logged)
	return logged.Time
}

// classifyStopped names the end of a request, and what is wrong with it.
func (s *stopSoak) classifyStopped(e stopExchange, stop *plannedStop, attempts []*attempt) (kind, problem string) {
	if !e.repeated.IsZero() {
		attempts = slices.DeleteFunc(slices.Clone(attempts), func(one *attempt) bool { return one.from.After(e.repeated) })
	}
	switch {
	case e.whole:
		return endServed, ""
	case e.Complete && e.Status == http.StatusOK && !e.isCompletion():
		return endUnexpected, "the body is not the expected one"
	case e.Complete && (e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests) && len(attempts) == 0:
		return endRefused, e.lateRefusal(stop)
	case s.wasKilled(e):
		return endKilled, ""
	case stop != nil && stop.frozen > 0:
		// A process that does not run keeps no moment of its stop: what it had to end within them may be cut
		// off at once as it goes on. Whole answers, refusals and repeats are checked all the same.
		return endFrozen, ""
	case !e.dialed:
		return endNoDial, s.checkNoDial(e, stop)
	case !e.read && len(attempts) > 0:
		return endUnexpected, "it ran though it was not sent whole"
	case !e.read:
		return endUnread, ""
	}
	return e.classifyFailed(stop, attempts)
}

// classifyFailed names the end of a request that was sent whole and has neither a whole answer nor a
// truthful refusal, and what is wrong with it.
func (e *stopExchange) classifyFailed(stop *plannedStop, attempts []*attempt) (kind, problem string) {
	var last attempt
	ended := e.at(e.ended)
	if len(attempts) > 0 {
		last = *attempts[len(attempts)-1]
		ended = last.to
	}
	switch {
	case last.brokeOff:
		return endBrokeOff, ""
	case e.due > 0 && !ended.Before(e.at(e.headSent+e.due-deadlineSlack)):
		return endDeadline, ""
	case e.start > 0 && e.Complete && e.Status == http.StatusGatewayTimeout && e.ended >= e.headSent+e.start-deadlineSlack:
		return endDeadline, ""
	case stop == nil:
		return endLost, "no whole answer, and its node did not stop"
	case !e.at(e.sent).After(stop.signal.Add(stop.limits.Notice)) && !ended.Before(stop.signal.Add(lastPartOf(stop.limits))) && len(attempts) > 0:
		return endCut, ""
	case e.Status == 0 && len(attempts) == 0 && e.ended-e.sent <= maxCloseRace:
		return endCrossed, ""
	default:
		return endLost, "no whole answer of a node that stopped"
	}
}

// isCompletion reports whether the request is one of the callers' API.
func (e *stopExchange) isCompletion() bool { return strings.HasPrefix(e.path, completionPath) }

// lateRefusal returns what is wrong with a refusal that came late: what may not begin is refused at once, or
// as the notice ends. A request whose time is over before the middle of the last sixth may wait until then.
func (e *stopExchange) lateRefusal(stop *plannedStop) string {
	if stop == nil || stop.frozen > 0 || e.due > 0 && !e.at(e.headSent+e.due).After(stop.signal.Add(stop.limits.Grace*11/12+refusalSlack)) {
		return ""
	}
	from := stop.signal.Add(stop.limits.Notice)
	if sent := e.at(e.sent); sent.After(from) {
		from = sent
	}
	if late := e.at(e.lastRead).Sub(from); late > maxRefusalTime {
		return fmt.Sprintf("refused %s late", late)
	}
	return ""
}

// checkNoDial returns what is wrong if a node took no connection though it served or, if it stops, within
// the notice, of which a twelfth is left for the moment at which it handles the signal.
func (s *stopSoak) checkNoDial(e stopExchange, stop *plannedStop) string {
	tried := e.at(e.ended)
	if stop != nil && tried.Before(stop.signal.Add(stop.limits.Notice*11/12)) {
		return "no connection within the notice"
	}
	if stop == nil && !slices.ContainsFunc(s.planned, func(one *plannedStop) bool {
		return one.node == e.node && one.gone.Before(tried) && one.ready.After(tried)
	}) {
		return "no connection, and its node served"
	}
	return ""
}

// checkOnce returns what is wrong if a request that may not be repeated ran twice.
func checkOnce(e stopExchange, attempts []*attempt) string {
	mayRepeat := strings.HasPrefix(e.path, "/draft/") || strings.HasPrefix(e.path, "/read/") || e.isCompletion() && !e.keyed
	if !mayRepeat && len(attempts) > 1 {
		return "ran more than once"
	}
	return ""
}

// wasKilled reports whether a request's node was killed during it, or had been and was not ready again.
func (s *stopSoak) wasKilled(e stopExchange) bool {
	return slices.ContainsFunc(s.stops[e.node.Name], func(one interval) bool {
		return one.killed && one.from.Before(e.at(e.ended)) && one.to.After(e.at(e.opened))
	})
}

// describe returns the moments of a request, after the signal of its stop if there is one.
func (e *stopExchange) describe(stop *plannedStop, attempts []*attempt) string {
	from := e.signal
	text := fmt.Sprintf("%s %s", e.ID, e.path)
	if stop != nil {
		from = stop.signal
		text += fmt.Sprintf(", stop of %s at %s, grace %s, notice %s, frozen %s, gone at %s", stop.node.Name, stop.signal.Format(time.TimeOnly+".000"), stop.limits.Grace, stop.limits.Notice, stop.frozen, stop.gone.Sub(from))
	}
	after := func(moment time.Duration) time.Duration { return e.at(moment).Sub(from).Round(time.Millisecond) }
	text += fmt.Sprintf(", head at %s, sent %v at %s, read until %s, ended at %s, due after %s, keyed %v, slow %v, status %d, complete %v, %d events: %v, runs", after(e.headSent), e.read, after(e.sent), after(e.lastRead), after(e.ended), e.due, e.keyed, e.slow, e.Status, e.Complete, e.Events, e.problem)
	for _, one := range attempts {
		text += fmt.Sprintf(" [%s to %s from event %s, broke off %v]", one.from.Sub(from).Round(time.Millisecond), one.to.Sub(from).Round(time.Millisecond), one.first, one.brokeOff)
	}
	if e.Status != http.StatusOK {
		text += fmt.Sprintf(" %.200s", e.Body)
	}
	return text
}
