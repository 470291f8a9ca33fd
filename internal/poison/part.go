package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// MaxParts bounds the parts of one prompt that are counted: the first ones, which most requests share.
const MaxParts = 16

// partDomain keeps the identities of parts apart from those of contents, whose first field is an HTTP
// method.
const partDomain = "part of a prompt"

// PartIdentity returns the identity of a part of prompts in a service. Callers, routes and models do not
// count: the part may crash runners under each of them.
func PartIdentity(service, part string) Identity {
	digest := sha256.New()
	for _, field := range []string{partDomain, service, part} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		digest.Write(length[:])
		digest.Write([]byte(field))
	}
	identity := Identity(digest.Sum(nil))
	clear(identity[partTag:serviceTag])
	binary.BigEndian.PutUint32(identity[serviceTag:], hashService(service))
	return identity
}

// PartIdentities returns the identities of parts by their names, of at most MaxParts.
func PartIdentities(service string, names []string) []Identity {
	names = names[:min(len(names), MaxParts)]
	identities := make([]Identity, 0, len(names))
	for _, name := range names {
		identities = append(identities, PartIdentity(service, name))
	}
	return identities
}

const (
	// partTag is where the identity of a part is zero from, up to serviceTag, where a hash of its service
	// begins. That of a content is zero there for one in four billion.
	partTag    = sha256.Size - 8
	serviceTag = sha256.Size - 4
)

// hashService returns a hash by which parts of a service are told from those of others.
func hashService(service string) uint32 {
	digest := sha256.Sum256([]byte(service))
	return binary.BigEndian.Uint32(digest[:])
}

// IsPart reports whether the identity is that of a part of prompts.
func (i Identity) IsPart() bool { return binary.BigEndian.Uint32(i[partTag:serviceTag]) == 0 }

// isPartOf reports whether the identity is that of a part of prompts in a service.
func (i Identity) isPartOf(service string) bool {
	return i.IsPart() && binary.BigEndian.Uint32(i[serviceTag:]) == hashService(service)
}

// PartRun is a part of a prompt that a runner was running when it ended.
type PartRun struct {
	Part Identity
	// Sent is when the last request with the part was sent to the runner, Ended when its answer broke
	// off.
	Sent  time.Time
	Ended time.Time
}

// overlaps reports whether two runs went on at the same time, so that one cause may have ended both.
func (r PartRun) overlaps(other PartRun) bool {
	return r.Sent.Before(other.Ended) && other.Sent.Before(r.Ended)
}

// RecordParts is RecordCrash for the parts of prompts that a runner was running. Many requests share
// them, so that one cause which ends many runners at once must count once: the end of a runner counts
// only if the part was sent there after the ends that count, or before all of it.
func (t *Tally) RecordParts(runner string, parts []PartRun, now time.Time) []Finding {
	var findings []Finding
	for _, run := range parts {
		if t.addPart(run, runner, now) && len(t.entries[run.Part].runners) >= SuspectThreshold {
			findings = append(findings, t.entries[run.Part].finding(run.Part))
		}
	}
	t.trim(now)
	return findings
}

// addPart records one crash for a part and reports whether it counts and was not known before.
func (t *Tally) addPart(run PartRun, runner string, now time.Time) bool {
	known := t.live(run.Part, now)
	if known.knows(runner) {
		return false
	}
	if known.runs == nil {
		known.runs = make(map[string]PartRun)
	}
	for _, counted := range known.runners {
		if other, timed := known.runs[counted]; timed && run.overlaps(other) {
			if known.addBeside(runner) {
				known.runs[runner] = run
			}
			return false
		}
	}
	if !t.add(run.Part, runner, now) {
		return false
	}
	known.runs[runner] = run
	return true
}

// addBeside records a runner that ended at the same time as one that counts, and reports whether there was
// room for it.
func (e *entry) addBeside(runner string) (added bool) {
	if len(e.beside) >= maxBeside || e.knows(runner) {
		return false
	}
	e.beside = append(e.beside, runner)
	return true
}

// PartRuns returns the runs of parts that this tally has a report of, by runner, for transfer to another
// tally.
func (t *Tally) PartRuns() map[string][]PartRun {
	runs := make(map[string][]PartRun)
	for _, known := range t.entries {
		for runner, run := range known.runs {
			runs[runner] = append(runs[runner], run)
		}
	}
	return runs
}
