package operator

import (
	"net/http"
	"slices"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/commit"
	"lilacvane/internal/fault"
	"lilacvane/internal/place"
	"lilacvane/internal/policy"
)

const (
	stepCheck = "check submission"
	// maximumChanges bounds an operation so that it fits one transaction of the
	// table.
	maximumChanges = 40
)

// toOperation validates a submission and converts it to an operation.
func (s *Server) toOperation(submission Submission) (commit.Operation, error) {
	operation := commit.Operation{ID: submission.Operation, Author: submission.Author}
	if !api.ValidName(submission.Operation) {
		return operation, fault.New(fault.CodeInvalid, stepCheck, "operation must be a unique name")
	}
	if count := len(submission.Apply) + len(submission.Delete); count > maximumChanges {
		return operation, fault.New(fault.CodeInvalid, stepCheck, "%d objects in one operation, at most %d are allowed", count, maximumChanges)
	}
	if len(submission.Apply)+len(submission.Delete) == 0 {
		return operation, fault.New(fault.CodeInvalid, stepCheck, "nothing to apply or delete")
	}
	seen := make(map[api.Key]struct{})
	for _, object := range slices.Concat(submission.Apply, submission.Delete) {
		if _, twice := seen[object.Key()]; twice {
			return operation, fault.New(fault.CodeInvalid, stepCheck, "%s is named twice", object.Key())
		}
		seen[object.Key()] = struct{}{}
	}
	for _, object := range submission.Apply {
		if err := s.checkObject(object, submission.Apply); err != nil {
			return operation, err
		}
		operation.Changes = append(operation.Changes, commit.Change{Key: object.Key(), Expected: object.Generation, Spec: object.Spec})
	}
	for _, object := range submission.Delete {
		if !slices.Contains(api.Kinds, object.Kind) {
			return operation, fault.New(fault.CodeInvalid, stepCheck, "objects of kind %q are not deleted by operators", object.Kind)
		}
		operation.Changes = append(operation.Changes, commit.Change{Key: object.Key(), Expected: object.Generation, Delete: true})
	}
	return operation, nil
}

func (s *Server) checkObject(object api.Object, batch []api.Object) error {
	if err := api.Validate(object); err != nil {
		return err
	}
	switch object.Kind {
	case api.KindRoute:
		route, _ := api.Decode[api.Route](object)
		return s.checkHomes(object.Key(), route.Homes)
	case api.KindTenant:
		tenant, _ := api.Decode[api.Tenant](object)
		return s.checkHomes(object.Key(), tenant.Homes)
	case api.KindModel:
		model, _ := api.Decode[api.Model](object)
		if _, adapter := s.findObject(batch, api.Key{Kind: api.KindAdapter, Name: object.Name}); adapter {
			return fault.New(fault.CodeInvalid, stepCheck, "an Adapter is named %s; callers could not tell them apart", object.Name)
		}
		return s.checkVersion(object.Name, model, batch)
	case api.KindAdapter:
		adapter, _ := api.Decode[api.Adapter](object)
		if _, model := s.findObject(batch, api.Key{Kind: api.KindModel, Name: object.Name}); model {
			return fault.New(fault.CodeInvalid, stepCheck, "a Model is named %s; callers could not tell them apart", object.Name)
		}
		if _, exists := s.findObject(batch, api.Key{Kind: api.KindModel, Name: adapter.Model}); !exists {
			return fault.New(fault.CodeInvalid, stepCheck, "%s: there is no Model %s", object.Key(), adapter.Model)
		}
	case api.KindPolicy:
		spec, _ := api.Decode[api.Policy](object)
		if _, err := policy.Compile(spec.Ready); err != nil {
			return err
		}
	}
	return nil
}

// checkHomes refuses regions that no zone lies in, as nothing could be served there.
func (s *Server) checkHomes(key api.Key, homes []string) error {
	zones := s.backend.Regions()
	for i, region := range homes {
		if !zones.HasRegion(place.Region(region)) {
			return fault.New(fault.CodeInvalid, stepCheck, "%s: homes[%d]: no zone lies in a region %q", key, i, region)
		}
	}
	return nil
}

func (s *Server) checkVersion(name string, model api.Model, batch []api.Object) error {
	object, exists := s.findObject(batch, api.Key{Kind: api.KindVersion, Name: model.ActiveVersion})
	if !exists {
		return fault.New(fault.CodeInvalid, stepCheck, "Model/%s: there is no Version %s", name, model.ActiveVersion)
	}
	version, err := api.Decode[api.Version](object)
	if err != nil {
		return err
	}
	if version.Model != name {
		return fault.New(fault.CodeInvalid, stepCheck, "Model/%s: Version %s belongs to model %s", name, model.ActiveVersion, version.Model)
	}
	return nil
}

// findObject looks up an object among those of the same submission, then in the catalog.
func (s *Server) findObject(batch []api.Object, key api.Key) (api.Object, bool) {
	for _, object := range batch {
		if object.Key() == key {
			return object, true
		}
	}
	return s.catalog.Get(key.Kind, key.Name)
}

// Evaluation is a request to evaluate a policy program for a model, a region and a
// time. Time is a local time in TimeZone such as 2026-12-07T07:40; empty means now.
type Evaluation struct {
	Ready    string `json:"ready"`
	Model    string `json:"model"`
	Region   string `json:"region"`
	TimeZone string `json:"timeZone"`
	Time     string `json:"time"`
}

// EvaluationResult holds the number of ready replicas that a program returned.
type EvaluationResult struct {
	Ready int       `json:"ready"`
	Time  time.Time `json:"time"`
}

func (s *Server) evaluate(w http.ResponseWriter, r *http.Request) {
	const step = "evaluate policy"
	var evaluation Evaluation
	if !s.decodeBody(w, r, step, &evaluation) {
		return
	}
	result, err := Evaluate(evaluation)
	if err != nil {
		s.writeError(w, err, step)
		return
	}
	s.writeJSON(w, result)
}

// Evaluate runs a policy program for a model, a region and a time.
func Evaluate(evaluation Evaluation) (EvaluationResult, error) {
	const step = "evaluate policy"
	timeZone, err := time.LoadLocation(evaluation.TimeZone)
	if err != nil {
		return EvaluationResult{}, fault.New(fault.CodeInvalid, step, "timeZone: %v", err)
	}
	at := time.Now().In(timeZone)
	if evaluation.Time != "" {
		at, err = time.ParseInLocation("2006-01-02T15:04", evaluation.Time, timeZone)
		if err != nil {
			return EvaluationResult{}, fault.New(fault.CodeInvalid, step, "time must look like 2026-12-07T07:40")
		}
	}
	program, err := policy.Compile(evaluation.Ready)
	if err != nil {
		return EvaluationResult{}, err
	}
	ready, err := program.Ready(policy.Input{Model: evaluation.Model, Region: evaluation.Region, Time: at})
	if err != nil {
		return EvaluationResult{}, err
	}
	return EvaluationResult{Ready: ready, Time: at}, nil
}
