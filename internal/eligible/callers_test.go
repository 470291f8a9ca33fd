package eligible

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// allowedReaders are the files that may read the state that decides about a runner, with the
// reason; all others must call Check. The lab is exempt, as it emulates the platform.
var allowedReaders = map[string]string{
	"internal/eligible/eligible.go":  "decides",
	"internal/fleet/choose.go":       "passes it to Check",
	"internal/fleet/retention.go":    "decides which runners are tracked, sends nothing",
	"internal/fleet/statements.go":   "combines the list's statement and the runner's for Check",
	"internal/control/eligible.go":   "passes it to Check",
	"internal/control/state.go":      "passes the result of Check to the planner",
	"internal/scheduler/state.go":    "uses the result of Check",
	"internal/scheduler/plan.go":     "uses the result of Check",
	"internal/scheduler/adapters.go": "uses the result of Check",
	"internal/node/rules.go":         "implements the rules for Check",
	"internal/node/follow.go":        "logs it",
	"internal/node/statements.go":    "sends other nodes what the list does not say",
	"internal/node/zones.go":         "implements the rules for Check and logs them",
	"internal/node/zonestatus.go":    "shows it to operators",
	"internal/node/metrics.go":       "counts it for operators",
	"internal/metrics/runners.go":    "counts it for operators",
	"internal/fleet/state_counts.go": "counts it for operators",
	"internal/crash/detector.go":     "distinguishes a planned end from a crash",
	"internal/command/fleet.go":      "prints it for operators",
}

// guardedNames are the fields and methods that decide about a runner.
var guardedNames = []string{"Draining", "Drained", "ZoneOut", "Drains"}

// allowedSenders are the files that may call what sends something to a runner.
var allowedSenders = map[string]string{
	"internal/dispatch/attempt.go":      "a request to a runner that fleet chose",
	"internal/dispatch/hedge.go":        "a hedged request to a runner that fleet chose and still allows",
	"internal/dispatch/probe.go":        "a load query to the runners that fleet returned",
	"internal/dispatch/completeness.go": "a question to the runner that has just answered",
	"internal/control/ordering.go":      "an order that mayOrder allowed",
	"internal/control/reports.go":       "a report that mayReport allowed",
	"internal/node/node.go":             "passes it to dispatch",
}

// sendingCalls are the calls that reach a runner, by the name of the field or variable they
// are called on.
var sendingCalls = map[string][]string{"Pool": {"Do"}, "Runners": {"Order", "Report"}, "dispatcher": {"Report"}, "Control": {"Order", "Report"}}

// selectors calls visit with each selector in each file of the program, except tests and the
// lab.
func selectors(t *testing.T, visit func(file string, selector *ast.SelectorExpr)) {
	t.Helper()
	root := filepath.Join("..", "..")
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && strings.HasPrefix(entry.Name(), "lab") {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		name, err := filepath.Rel(root, path)
		ast.Inspect(parsed, func(node ast.Node) bool {
			if selector, ok := node.(*ast.SelectorExpr); ok {
				visit(filepath.ToSlash(name), selector)
			}
			return true
		})
		return err
	})
	assert.NilError(t, err)
}

// receiverName returns the last name in the expression that a selector selects from.
func receiverName(selector *ast.SelectorExpr) string {
	switch from := selector.X.(type) {
	case *ast.Ident:
		return from.Name
	case *ast.SelectorExpr:
		return from.Sel.Name
	default:
		return ""
	}
}

// TestNothingBypassesCheck checks that no other file reads the state that decides about a
// runner or sends anything to a runner. A new call site has to call Check and be listed here.
func TestNothingBypassesCheck(t *testing.T) {
	seen := make(map[string]bool)
	selectors(t, func(file string, selector *ast.SelectorExpr) {
		name := selector.Sel.Name
		if slices.Contains(guardedNames, name) && !isReason(selector) && !isOperatorObject(file) {
			seen[file] = true
			assert.Check(t, allowedReaders[file] != "", "%s reads %s without eligible.Check", file, name)
		}
		if slices.Contains(sendingCalls[receiverName(selector)], name) {
			seen[file] = true
			assert.Check(t, allowedSenders[file] != "", "%s calls %s.%s without a check before", file, receiverName(selector), name)
		}
	})
	for file := range allowedSenders {
		assert.Check(t, seen[file], "%s sends nothing to runners any more; files found: %v", file, slices.Sorted(maps.Keys(seen)))
	}
}

// isReason reports whether a selector names one of this package's reasons.
func isReason(selector *ast.SelectorExpr) bool { return receiverName(selector) == "eligible" }

// isOperatorObject reports whether a file belongs to the operators' objects, of which planned
// stops are a part.
func isOperatorObject(file string) bool {
	return strings.HasPrefix(file, "internal/config/") || strings.HasPrefix(file, "internal/api/") || file == "internal/node/operator.go"
}
