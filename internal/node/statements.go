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
		if source.Peer == "" {
			n.controls.nudge()
		}
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

// stated is what runners stated in answers, as the node tells others.
type stated Node

// mostStated bounds what one message tells of a kind: more than leave at once between two writes of
// their rows, some seconds.
const mostStated = 64

// oldestStated cuts the ages that are told: far beyond what is believed.
const oldestStated = 24 * time.Hour

// Own returns what the node heard itself.
func (l *stated) Own() ([]wire.RunnerLeaving, []wire.RunnerLimit) {
	return l.unlisted(l.statements.HeardLeaving()), l.limited(l.statements.HeardLimits())
}

// All returns also what other nodes told of.
func (l *stated) All() ([]wire.RunnerLeaving, []wire.RunnerLimit) {
	return l.unlisted(l.statements.Leaving()), l.limited(l.statements.Limits())
}

// limited returns the first of the limits, of runners that are listed.
func (l *stated) limited(heard []statement.HeardLimit) []wire.RunnerLimit {
	var told []wire.RunnerLimit
	for _, limit := range heard {
		if len(told) == mostStated {
			break
		}
		if l.fleet.Known(limit.Runner) {
			told = append(told, wire.RunnerLimit{Runner: limit.Runner, Rate: limit.Rate, AgeMs: limit.Age.Milliseconds()})
		}
	}
	return told
}

// unlisted returns the first of the runners that the platform's list does not tell of yet.
func (l *stated) unlisted(leaving []statement.Heard) []wire.RunnerLeaving {
	var told []wire.RunnerLeaving
	for _, heard := range leaving {
		runner, listed := l.fleet.Find(heard.Runner)
		if !listed || runner.Draining {
			continue
		}
		if len(told) == mostStated {
			break
		}
		told = append(told, wire.RunnerLeaving{Runner: heard.Runner, AgeMs: heard.Age.Milliseconds()})
	}
	return told
}

// Learn takes what another node told of runners that are listed.
func (l *stated) Learn(node string, leaving []wire.RunnerLeaving, limited []wire.RunnerLimit) {
	var heard []statement.Heard
	for _, told := range leaving[:min(len(leaving), mostStated)] {
		if l.fleet.Known(told.Runner) {
			heard = append(heard, statement.Heard{Runner: told.Runner, Age: ageOf(told.AgeMs)})
		}
	}
	l.statements.Learn(node, heard)
	var limits []statement.HeardLimit
	for _, told := range limited[:min(len(limited), mostStated)] {
		if l.fleet.Known(told.Runner) {
			limits = append(limits, statement.HeardLimit{Runner: told.Runner, Rate: told.Rate, Age: ageOf(told.AgeMs)})
		}
	}
	l.statements.LearnLimits(node, limits)
}

// ageOf reads an age that another node told, in milliseconds.
func ageOf(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), oldestStated.Milliseconds())) * time.Millisecond
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
