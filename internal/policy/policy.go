// Package policy compiles and runs the operators' policy programs. A program is a CEL
// expression of type int: the number of replicas of a model to keep ready at a given time and
// region. Programs are deterministic, do no I/O and have a limited cost.
package policy

import (
	"errors"
	"fmt"
	"time"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/cost"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
)

// Limits of a program.
const (
	// MaximumBytes is the maximum length of its source.
	MaximumBytes = 4096
	// costLimit is the maximum cost of a run, in CEL cost units.
	costLimit = 10000
)

// stepCheck is the step named in errors of Compile.
const stepCheck = "check policy"

// Input is the input of a program.
type Input struct {
	// Model and Region are the names of the model and of the region.
	Model  string
	Region string
	// Time must be in the time zone in which hour, minute and weekday are read.
	Time time.Time
}

// Program is a compiled policy program.
type Program struct {
	program cel.Program
}

var environment = mustEnvironment()

func mustEnvironment() *cel.Env {
	env, err := cel.NewEnv(
		cel.Variable("model", cel.StringType),
		cel.Variable("region", cel.StringType),
		cel.Variable("hour", cel.IntType),
		cel.Variable("minute", cel.IntType),
		cel.Variable("weekday", cel.IntType),
		cel.Variable("month", cel.IntType),
		cel.Variable("day", cel.IntType),
	)
	if err != nil {
		panic(err)
	}
	return env
}

// noEstimates leaves all cost estimates to the CEL library.
type noEstimates struct{}

func (noEstimates) EstimateSize(cost.AstNode) *cost.SizeEstimate { return nil }
func (noEstimates) EstimateCallCost(string, string, *cost.AstNode, []cost.AstNode) *cost.CallEstimate {
	return nil
}

// Compile compiles a program and checks its length, syntax, types and maximum cost. Errors have
// fault.CodeInvalid; those about syntax, types and cost name the line and column.
func Compile(source string) (*Program, error) {
	if len(source) > MaximumBytes {
		return nil, fault.New(fault.CodeInvalid, stepCheck, "program has %d bytes, at most %d are allowed", len(source), MaximumBytes)
	}
	ast, issues := environment.Compile(source)
	if issues.Err() != nil {
		return nil, positionError(issues)
	}
	if ast.OutputType() != cel.IntType {
		return nil, fault.New(fault.CodeInvalid, stepCheck, "line 1, column 1: the program gives %s, not int", ast.OutputType())
	}
	estimate, err := environment.EstimateCost(ast, noEstimates{})
	if err != nil {
		return nil, fault.New(fault.CodeInvalid, stepCheck, "cost: %v", err)
	}
	if estimate.Max > costLimit {
		return nil, fault.New(fault.CodeInvalid, stepCheck, "line 1, column 1: the program may cost %d steps, at most %d are allowed", estimate.Max, costLimit)
	}
	program, err := environment.Program(ast, cel.CostLimit(costLimit))
	if err != nil {
		return nil, fault.New(fault.CodeInvalid, stepCheck, "%v", err)
	}
	return &Program{program: program}, nil
}

// positionError returns the first of the issues as an error with its line and column.
func positionError(issues *cel.Issues) error {
	first := issues.Errors()[0]
	text := fmt.Sprintf("line %d, column %d: %s", first.Location.Line(), first.Location.Column()+1, first.Message)
	return fault.New(fault.CodeInvalid, stepCheck, "%s", text)
}

// Ready runs the program and returns the number of replicas to keep ready, limited to the range
// from 0 to api.MaximumReplicas. It fails if the run does, as by a division by zero.
func (p *Program) Ready(input Input) (int, error) {
	const step = "run policy"
	value, _, err := p.program.Eval(map[string]any{
		"model": input.Model, "region": input.Region,
		"hour": input.Time.Hour(), "minute": input.Time.Minute(), "weekday": int(input.Time.Weekday()),
		"month": int(input.Time.Month()), "day": input.Time.Day(),
	})
	if err != nil {
		return 0, fault.New(fault.CodeInvalid, step, "%v", err)
	}
	ready, ok := value.Value().(int64)
	if !ok {
		return 0, fault.From(errors.New("result is not an int"), step)
	}
	return int(min(max(ready, 0), api.MaximumReplicas)), nil
}
