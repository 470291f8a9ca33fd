package poison

import "time"

// Verdict says whether a request may be sent to a runner.
type Verdict uint8

// The verdicts, each stricter than the one before.
const (
	// Allowed means that it may be sent.
	Allowed Verdict = iota
	// Held means that it may be sent to one runner, while nothing else with the same content or part is
	// under way: the end of that runner is no coincidence, and a success clears it.
	Held
	// Refused means that it must not be sent.
	Refused
)

// Decision is what marks say of a request.
type Decision struct {
	Verdict Verdict
	// Mark is the one that the verdict is by.
	Mark Mark
	// Held are the content and the parts that are held.
	Held []Identity
}

// Check decides whether a request that holds the given content and parts may be sent to a runner.
func (m *Marks) Check(holds []Identity, now time.Time) Decision {
	var decision Decision
	for _, identity := range holds {
		mark, known := m.Find(identity)
		if !known || mark.Expired(now) {
			continue
		}
		verdict := m.Judge(mark, holds)
		if verdict == Held {
			decision.Held = append(decision.Held, identity)
		}
		if verdict > decision.Verdict {
			decision.Verdict, decision.Mark = verdict, mark
		}
	}
	return decision
}

// Judge returns the verdict on a request that holds the given contents and parts by one of their marks. A part
// of whose ends others explain some is tried alone: the rest may be a coincidence, or the first ones were its own.
func (m *Marks) Judge(mark Mark, holds []Identity) Verdict {
	switch {
	case !mark.Request.IsPart() || m.Blamed(mark, holds, mark.Cleared):
		return mark.verdict()
	case mark.Controlled && len(m.unexplained(mark, holds, mark.Cleared)) > 0:
		return min(mark.verdict(), Held)
	default:
		return Allowed
	}
}

// Denies reports whether the mark by itself refuses requests.
func (m Mark) Denies() bool { return m.verdict() == Refused }

// verdict is Judge without other marks.
func (m Mark) verdict() Verdict {
	ends := m.evidence()
	switch {
	case ends.counted >= m.threshold():
		return Refused
	case max(ends.counted, ends.all) >= m.holdThreshold():
		return Held
	default:
		return Allowed
	}
}

// evidence is how many ends of a mark count, and, of a content, how many are known.
type evidence struct{ counted, all int }

// evidence returns the ends of the mark. All that count matter, as marks may explain those of others; of the rest as
// many as a verdict needs.
func (m Mark) evidence() evidence {
	e := evidence{counted: len(m.Runners)}
	if !m.Request.IsPart() {
		e.all = min(len(m.All()), m.threshold())
	}
	return e
}

// threshold returns how many ends must count for the request to be refused. One that has once succeeded must
// have failed two trials.
func (m Mark) threshold() int {
	if m.Cleared {
		return RefuseThreshold + 2
	}
	return RefuseThreshold
}

// holdThreshold returns how many ends must be known for the request to be held.
func (m Mark) holdThreshold() int {
	if m.Cleared {
		return RefuseThreshold
	}
	return SuspectThreshold
}
