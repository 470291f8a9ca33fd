package node

import (
	"fmt"
	"time"

	"lilacvane/internal/clock"
	"lilacvane/internal/statement"
	"lilacvane/internal/wire"
)

// hearStatements lets the pool of connections to runners hear what they state of themselves.
func (n *Node) hearStatements() {
	n.statements = statement.NewBook(statement.Options{
		Headers: statement.Headers{Leaving: n.platform.Headers.Leaving, Limit: n.platform.Headers.Limit}, Limits: n.statementLimits, Now: clock.Now, Log: n.log.Logger,
		Observe: func(kind statement.Kind) { n.figures.CountStatement(kind) },
		News:    n.heardStatement, Widened: func() { n.fleet.Wake() },
	})
	n.pool.Statements = n.statements
}

// heardStatement remembers what a runner stated for operators' questions. What waits looks
// again, and so does the holder: the models of a runner that leaves are needed elsewhere.
func (n *Node) heardStatement(source statement.Source, made statement.Statement) {
	subject := "replica/" + source.Runner
	if runner, listed := n.fleet.Find(source.Runner); listed {
		subject = "replica/" + runner.Name()
	}
	switch made := made.(type) {
	case statement.Leaving:
		n.decide(subject, "hear that it leaves", whereHeard(source))
		n.fleet.Wake()
		n.controls.wake()
		if source.Peer == "" {
			n.controls.nudge()
		}
	case statement.Limit:
		n.decide(subject, "hear its limit", fmt.Sprintf("%g requests a second, %s", made.Rate, whereHeard(source)))
		n.fleet.Wake()
	case statement.Rest:
		n.decide(subject, "hear that it wants rest", made.For.String()+", "+whereHeard(source))
	}
}

// whereHeard tells operators where a statement stood.
func whereHeard(source statement.Source) string {
	switch {
	case source.Peer != "":
		return "told by node " + source.Peer
	case source.Request != "":
		return "in the answer to request " + source.Request
	default:
		return "in the answer to a question or an order of the node"
	}
}

// leavings are the runners that said in answers that they leave, as the node tells others.
type leavings Node

// mostLeavings bounds what one message tells: more than leave at once between two writes of
// their rows, some seconds.
const mostLeavings = 64

// oldestLeaving cuts the ages that are told: far beyond what is believed.
const oldestLeaving = 24 * time.Hour

// Own returns those that the node heard itself.
func (l *leavings) Own() []wire.RunnerLeaving {
	return l.unlisted(l.statements.HeardLeaving())
}

// All returns also those that other nodes told of.
func (l *leavings) All() []wire.RunnerLeaving {
	return l.unlisted(l.statements.Leaving())
}

// unlisted returns the first of the runners that the platform's list does not tell of yet.
func (l *leavings) unlisted(leaving []statement.Heard) []wire.RunnerLeaving {
	var told []wire.RunnerLeaving
	for _, heard := range leaving {
		runner, listed := l.fleet.Find(heard.Runner)
		if !listed || runner.Draining {
			continue
		}
		if len(told) == mostLeavings {
			break
		}
		told = append(told, wire.RunnerLeaving{Runner: heard.Runner, AgeMs: heard.Age.Milliseconds()})
	}
	return told
}

// Learn takes what another node told of runners that are listed.
func (l *leavings) Learn(node string, told []wire.RunnerLeaving) {
	var heard []statement.Heard
	for _, leaving := range told[:min(len(told), mostLeavings)] {
		if l.fleet.Known(leaving.Runner) {
			age := min(max(leaving.AgeMs, 0), oldestLeaving.Milliseconds())
			heard = append(heard, statement.Heard{Runner: leaving.Runner, Age: time.Duration(age) * time.Millisecond})
		}
	}
	l.statements.Learn(node, heard)
}

// leaves reports whether a runner said in an answer that it leaves.
func (n *Node) leaves(runner string) bool { return n.statements.Of(runner).Leaving }

// restOf is how much longer the runner of a name wants nothing from this node.
func (n *Node) restOf(name string) time.Duration {
	runner, listed := n.fleet.Listed(name)
	if !listed {
		return 0
	}
	return n.statements.Of(runner.ID).Rest
}

// statementLimits are the bounds in force of what is believed.
func (n *Node) statementLimits() statement.Limits {
	s := n.settings.Load().Statements
	return statement.Limits{
		LongestRest: s.LongestRest, UnreadableRest: s.UnreadableRest, LeavingFor: s.LeavingFor, LeastRate: s.LeastRate, LimitFor: s.LimitFor,
	}
}
