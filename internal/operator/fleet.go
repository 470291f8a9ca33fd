package operator

import (
	"net/http"
	"slices"
	"strconv"

	"lilacvane/internal/fault"
	"lilacvane/internal/place"
	"lilacvane/internal/poison"
	"lilacvane/internal/wire"
)

// Subject is the type of what a decision is about.
type Subject string

// The subjects.
const (
	SubjectModel   Subject = "model"
	SubjectReplica Subject = "replica"
	SubjectRequest Subject = "request"
	SubjectZone    Subject = "zone"
	// SubjectContent is the content of requests, named by the digits of its digest
	// that logs show.
	SubjectContent Subject = "content"
)

var subjects = []Subject{SubjectModel, SubjectReplica, SubjectRequest, SubjectZone, SubjectContent}

// runners returns all runners, one by name, or only those that are cold.
func (s *Server) runners(w http.ResponseWriter, r *http.Request) {
	const step = "list runners"
	cold, err := readFlag(r, "cold", step)
	if err != nil {
		s.writeError(w, err, step)
		return
	}
	runners := s.backend.Runners(r.Context(), r.URL.Query().Get("name"))
	if cold {
		runners = slices.DeleteFunc(runners, func(runner wire.RunnerStatus) bool { return runner.ColdMs == 0 })
	}
	s.writeJSON(w, runners)
}

// readFlag parses a boolean query parameter; the default is false.
func readFlag(r *http.Request, name, step string) (bool, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return false, nil
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		return false, fault.New(fault.CodeInvalid, step, "%s: must be true or false, not %q", name, text)
	}
	return value, nil
}

// zones returns all zones, or one by name.
func (s *Server) zones(w http.ResponseWriter, r *http.Request) {
	const step = "list zones"
	zones := s.backend.Zones(r.Context())
	name := r.URL.Query().Get("name")
	if name == "" {
		s.writeJSON(w, zones)
		return
	}
	found, err := findZone(zones, place.Zone(name), step)
	if err != nil {
		s.writeError(w, err, step)
		return
	}
	s.writeJSON(w, []wire.ZoneStatus{found})
}

func findZone(zones []wire.ZoneStatus, name place.Zone, step string) (wire.ZoneStatus, error) {
	for _, zone := range zones {
		if zone.Zone == name {
			return zone, nil
		}
	}
	return wire.ZoneStatus{}, fault.New(fault.CodeNotFound, step, "zone: no zone %q is known", name)
}

// liftQuarantine allows a request to run again and returns the remaining entries.
func (s *Server) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	const step = "lift quarantine"
	request, err := poison.ParseIdentity(r.PathValue("request"))
	if err == nil {
		err = s.backend.LiftQuarantine(r.Context(), request)
	}
	if err != nil {
		s.writeError(w, err, step)
		return
	}
	s.writeJSON(w, s.backend.Quarantine())
}

// explain returns the recorded decisions about a subject, newest first.
func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	const (
		step         = "explain"
		explainLimit = 50
	)
	subject, name := Subject(r.PathValue("kind")), r.PathValue("name")
	if !slices.Contains(subjects, subject) {
		s.writeError(w, fault.New(fault.CodeInvalid, step, "kind: must be one of %v, not %q", subjects, subject), step)
		return
	}
	decisions := s.backend.Explain(r.Context(), string(subject)+"/"+name, explainLimit)
	if len(decisions) > 0 {
		s.writeJSON(w, decisions)
		return
	}
	if subject == SubjectZone {
		if _, err := findZone(s.backend.Zones(r.Context()), place.Zone(name), step); err != nil {
			s.writeError(w, err, step)
			return
		}
	}
	s.writeJSON(w, []wire.Decision{})
}
