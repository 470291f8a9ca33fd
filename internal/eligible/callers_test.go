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

// readers are the files that may read what decides about a runner, and why they may: all
// others ask Check. The stand-ins in lab stand for the platform.
var readers = map[string]string{
	"internal/eligible/eligible.go":  "decides",
	"internal/fleet/choose.go":       "hands it to Check",
	"internal/fleet/keep.go":         "decides what is kept of the list, sends nothing",
	"internal/fleet/statements.go":   "joins the list's word and the runner's, for Check",
	"internal/control/eligible.go":   "hands it to Check",
	"internal/control/state.go":      "hands Check's answer to the plan",
	"internal/scheduler/state.go":    "takes Check's answer",
	"internal/scheduler/plan.go":     "takes Check's answer",
	"internal/scheduler/adapters.go": "takes Check's answer",
	"internal/node/rules.go":         "answers Check",
	"internal/node/follow.go":        "logs it",
	"internal/node/statements.go":    "tells other nodes what the list does not tell them",
	"internal/node/zones.go":         "answers Check and logs it",
	"internal/node/zonestatus.go":    "tells it to operators",
	"internal/node/metrics.go":       "counts it for operators",
	"internal/metrics/runners.go":    "counts it for operators",
	"internal/fleet/standing.go":     "counts it for operators",
	"internal/crash/detector.go":     "tells an end by plan from a crash",
	"internal/command/fleet.go":      "prints it for operators",
}

// reads are the fields and methods that decide about a runner.
var reads = []string{"Draining", "Drained", "ZoneOut", "Drains"}

// senders are the files that may call what reaches a runner.
var senders = map[string]string{
	"internal/dispatch/attempt.go": "a request to a runner that fleet chose",
	"internal/dispatch/hedge.go":   "a hedge to a runner that fleet chose and still allows",
	"internal/dispatch/ask.go":     "a question for the runners that fleet named",
	"internal/control/ordering.go": "an order that mayOrder allowed",
	"internal/control/reports.go":  "a report that mayReport allowed",
	"internal/node/node.go":        "hands it to dispatch",
}

// sends are the calls that reach a runner, by the field that they go through.
var sends = map[string][]string{"Pool": {"Do"}, "Runners": {"Order", "Report"}, "dispatcher": {"Report"}, "Control": {"Order", "Report"}}

// selectors calls visit with each selector of each file of the program, tests and the
// lab's stand-ins left out.
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

// through is the last name of what a selector selects from.
func through(selector *ast.SelectorExpr) string {
	switch from := selector.X.(type) {
	case *ast.Ident:
		return from.Name
	case *ast.SelectorExpr:
		return from.Sel.Name
	default:
		return ""
	}
}

// TestNothingChoosesPastCheck: no other file looks at what decides about a runner, and no
// other one sends anything to a runner. A new call site asks Check, and is listed here.
func TestNothingChoosesPastCheck(t *testing.T) {
	seen := make(map[string]bool)
	selectors(t, func(file string, selector *ast.SelectorExpr) {
		name := selector.Sel.Name
		if slices.Contains(reads, name) && !ownConstant(selector) && !configured(file) {
			seen[file] = true
			assert.Check(t, readers[file] != "", "%s reads %s past eligible.Check", file, name)
		}
		if slices.Contains(sends[through(selector)], name) {
			seen[file] = true
			assert.Check(t, senders[file] != "", "%s calls %s.%s, which no check goes before", file, through(selector), name)
		}
	})
	for file := range senders {
		assert.Check(t, seen[file], "%s sends nothing any more: %v", file, slices.Sorted(maps.Keys(seen)))
	}
}

// ownConstant reports whether a selector names one of this package's reasons.
func ownConstant(selector *ast.SelectorExpr) bool { return through(selector) == "eligible" }

// configured reports whether a file belongs to the operators' objects, which planned stops
// are part of.
func configured(file string) bool {
	return strings.HasPrefix(file, "internal/config/") || strings.HasPrefix(file, "internal/api/") || file == "internal/node/operator.go"
}
