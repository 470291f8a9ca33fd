package node

import (
	"fmt"
	"time"

	"lilacvane/internal/clock"
	"lilacvane/internal/control"
	"lilacvane/internal/statement"
	"lilacvane/internal/wire"
)

// initStatements makes the runner connection pool record what runners state about themselves.
func (n *Node) initStatements() {
	n.statements = statement.NewRegistry(statement.Options{
		Headers: statement.Headers{Leaving: n.platform.Headers.Leaving, Limit: n.platform.Headers.Limit, Brittle: n.platform.Headers.Brittle}, Limits: n.statementLimits, Now: clock.Now, Log: n.log.Logger,
		Observe:  func(kind statement.Kind) { n.metrics.CountStatement(kind) },
		OnChange: n.onStatement, OnCapacity: func() { n.fleet.Wake() },
	})
	n.pool.Statements = n.statements
}

// onStatement records a runner's statement for operators' queries. It also wakes waiting requests
// and the lease holder, as the models of a leaving runner are needed elsewhere.
func (n *Node) onStatement(source statement.Source, made statement.Statement) {
	subject := "replica/" + source.Runner
	if runner, listed := n.fleet.Find(source.Runner); listed {
		subject = "replica/" + runner.Name()
	}
	switch made := made.(type) {
	case statement.Leaving:
		n.recordDecision(subject, "hear that it leaves", statementOrigin(source))
		n.fleet.Wake()
		n.controls.wake()
		if source.Peer == "" {
			n.controls.reportDemandNow()
		}
	case statement.Limit:
		n.recordDecision(subject, "hear its limit", fmt.Sprintf("%g requests a second, %s", made.Rate, statementOrigin(source)))
		n.fleet.Wake()
		if source.Peer == "" {
			n.controls.reportDemandNow()
		}
	case statement.Brittle:
		n.recordDecision(subject, "hear that it is brittle", fmt.Sprintf("%g rejections a second, %s", made.Rejections, statementOrigin(source)))
		if source.Peer == "" {
			n.controls.reportDemandNow()
		}
	case statement.Rest:
		n.recordDecision(subject, "hear that it wants rest", made.For.String()+", "+statementOrigin(source))
	}
}

// statementOrigin describes to operators where a statement was made.
func statementOrigin(source statement.Source) string {
	switch {
	case source.Peer != "":
		return "told by node " + source.Peer
	case source.Request != "":
		return "in the answer to request " + source.Request
	default:
		return "in the answer to a question or an order of the node"
	}
}

// statementExchange shares runners' statements with other nodes.
type statementExchange Node

// maxStatements bounds the statements of one kind in a message. Fewer runners leave at once between
// two writes of their rows, which takes some seconds.
const maxStatements = 64

// maxStatementAge caps the ages in messages, far beyond the age at which statements expire.
const maxStatementAge = 24 * time.Hour

// Own returns the statements that this node received itself.
func (e *statementExchange) Own() control.Stated {
	return control.Stated{
		Leaving: e.leavingReports(e.statements.OwnLeaving()),
		Limited: e.numberReports(e.statements.OwnReports(statement.KindLimit)),
		Brittle: e.numberReports(e.statements.OwnReports(statement.KindBrittle)),
	}
}

// All also returns statements received from other nodes.
func (e *statementExchange) All() control.Stated {
	return control.Stated{
		Leaving: e.leavingReports(e.statements.Leaving()),
		Limited: e.numberReports(e.statements.Reports(statement.KindLimit)),
		Brittle: e.numberReports(e.statements.Reports(statement.KindBrittle)),
	}
}

// numberReports returns the numbers of listed runners, at most maxStatements.
func (e *statementExchange) numberReports(stated []statement.Report) []wire.RunnerNumber {
	var reports []wire.RunnerNumber
	for _, report := range stated {
		if len(reports) == maxStatements {
			break
		}
		if e.fleet.Known(report.Runner) {
			reports = append(reports, wire.RunnerNumber{Runner: report.Runner, Value: report.Value, AgeMs: report.Age.Milliseconds()})
		}
	}
	return reports
}

// leavingReports returns the leaving runners that the platform's list does not show as draining
// yet, at most maxStatements.
func (e *statementExchange) leavingReports(leaving []statement.LeavingReport) []wire.RunnerLeaving {
	var reports []wire.RunnerLeaving
	for _, report := range leaving {
		runner, listed := e.fleet.Find(report.Runner)
		if !listed || runner.Draining {
			continue
		}
		if len(reports) == maxStatements {
			break
		}
		reports = append(reports, wire.RunnerLeaving{Runner: report.Runner, AgeMs: report.Age.Milliseconds()})
	}
	return reports
}

// Learn records the statements about listed runners that another node reported.
func (e *statementExchange) Learn(node string, stated control.Stated) {
	var leaving []statement.LeavingReport
	for _, report := range stated.Leaving[:min(len(stated.Leaving), maxStatements)] {
		if e.fleet.Known(report.Runner) {
			leaving = append(leaving, statement.LeavingReport{Runner: report.Runner, Age: decodeAge(report.AgeMs)})
		}
	}
	e.statements.LearnLeaving(node, leaving)
	e.statements.Learn(node, statement.KindLimit, e.decodeNumbers(stated.Limited))
	e.statements.Learn(node, statement.KindBrittle, e.decodeNumbers(stated.Brittle))
}

// decodeNumbers returns the reports about listed runners.
func (e *statementExchange) decodeNumbers(stated []wire.RunnerNumber) []statement.Report {
	var reports []statement.Report
	for _, report := range stated[:min(len(stated), maxStatements)] {
		if e.fleet.Known(report.Runner) {
			reports = append(reports, statement.Report{Runner: report.Runner, Value: report.Value, Age: decodeAge(report.AgeMs)})
		}
	}
	return reports
}

// decodeAge converts an age in milliseconds from another node.
func decodeAge(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxStatementAge.Milliseconds())) * time.Millisecond
}

// isLeaving reports whether a runner stated in an answer that it is leaving.
func (n *Node) isLeaving(runner string) bool { return n.statements.State(runner).Leaving }

// restRemaining returns how much longer the named runner wants no requests from this node.
func (n *Node) restRemaining(name string) time.Duration {
	runner, listed := n.fleet.Listed(name)
	if !listed {
		return 0
	}
	return n.statements.State(runner.ID).Rest
}

// statementLimits returns the configured bounds on statements.
func (n *Node) statementLimits() statement.Limits {
	s := n.settings.Load().Statements
	return statement.Limits{
		LongestRest: s.LongestRest, UnreadableRest: s.UnreadableRest, LeavingFor: s.LeavingFor, LeastRate: s.LeastRate, LimitFor: s.LimitFor,
	}
}
