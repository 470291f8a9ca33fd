package node

import (
	"fmt"
	"time"

	"lilacvane/internal/clock"
	"lilacvane/internal/statement"
	"lilacvane/internal/wire"
)

// initStatements makes the runner connection pool record what runners state about themselves.
func (n *Node) initStatements() {
	n.statements = statement.NewRegistry(statement.Options{
		Headers: statement.Headers{Leaving: n.platform.Headers.Leaving, Limit: n.platform.Headers.Limit}, Limits: n.statementLimits, Now: clock.Now, Log: n.log.Logger,
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
func (l *statementExchange) Own() ([]wire.RunnerLeaving, []wire.RunnerLimit) {
	return l.leavingReports(l.statements.HeardLeaving()), l.limitReports(l.statements.HeardLimits())
}

// All also returns statements received from other nodes.
func (l *statementExchange) All() ([]wire.RunnerLeaving, []wire.RunnerLimit) {
	return l.leavingReports(l.statements.Leaving()), l.limitReports(l.statements.Limits())
}

// limitReports returns the limits of listed runners, at most maxStatements.
func (l *statementExchange) limitReports(heard []statement.LimitReport) []wire.RunnerLimit {
	var told []wire.RunnerLimit
	for _, limit := range heard {
		if len(told) == maxStatements {
			break
		}
		if l.fleet.Known(limit.Runner) {
			told = append(told, wire.RunnerLimit{Runner: limit.Runner, Rate: limit.Rate, AgeMs: limit.Age.Milliseconds()})
		}
	}
	return told
}

// leavingReports returns the leaving runners that the platform's list does not show as draining
// yet, at most maxStatements.
func (l *statementExchange) leavingReports(leaving []statement.LeavingReport) []wire.RunnerLeaving {
	var told []wire.RunnerLeaving
	for _, heard := range leaving {
		runner, listed := l.fleet.Find(heard.Runner)
		if !listed || runner.Draining {
			continue
		}
		if len(told) == maxStatements {
			break
		}
		told = append(told, wire.RunnerLeaving{Runner: heard.Runner, AgeMs: heard.Age.Milliseconds()})
	}
	return told
}

// Learn takes over statements from another node about listed runners.
func (l *statementExchange) Learn(node string, leaving []wire.RunnerLeaving, limited []wire.RunnerLimit) {
	var heard []statement.LeavingReport
	for _, told := range leaving[:min(len(leaving), maxStatements)] {
		if l.fleet.Known(told.Runner) {
			heard = append(heard, statement.LeavingReport{Runner: told.Runner, Age: decodeAge(told.AgeMs)})
		}
	}
	l.statements.LearnLeaving(node, heard)
	var limits []statement.LimitReport
	for _, told := range limited[:min(len(limited), maxStatements)] {
		if l.fleet.Known(told.Runner) {
			limits = append(limits, statement.LimitReport{Runner: told.Runner, Rate: told.Rate, Age: decodeAge(told.AgeMs)})
		}
	}
	l.statements.LearnLimits(node, limits)
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
