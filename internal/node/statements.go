package node

import (
	"github.com/prometheus/client_golang/prometheus"

	"lilacvane/internal/clock"
	"lilacvane/internal/statement"
)

// hearStatements lets the pool of connections to runners hear what they state of themselves.
func (n *Node) hearStatements() {
	n.statements = statement.NewBook(statement.Options{
		LeavingHeader: n.platform.Headers.Leaving, Limits: n.statementLimits, Now: clock.Now, Log: n.log.Logger,
		Observe: func(kind statement.Kind) { n.figures.statements.WithLabelValues(string(kind)).Inc() },
		News:    n.heardStatement, Widened: func() { n.fleet.Wake() },
	})
	n.pool.Statements = n.statements
}

// heardStatement remembers what a runner stated for operators' questions. What waits looks
// again, and so does the holder: the models of a runner that leaves are needed elsewhere.
func (n *Node) heardStatement(source statement.Source, made statement.Statement) {
	where := "in the answer to a question or an order of the node"
	if source.Request != "" {
		where = "in the answer to request " + source.Request
	}
	subject := "replica/" + source.Runner
	if runner, listed := n.fleet.Find(source.Runner); listed {
		subject = "replica/" + runner.Name()
	}
	switch made := made.(type) {
	case statement.Leaving:
		n.decide(subject, "hear that it leaves", where)
		n.fleet.Wake()
		n.controls.wake()
	case statement.Rest:
		n.decide(subject, "hear that it wants rest", made.For.String()+", "+where)
	}
}

// leaves reports whether a runner said in an answer that it leaves.
func (n *Node) leaves(runner string) bool { return n.statements.Of(runner).Leaving }

// statementLimits are the bounds in force of what is believed.
func (n *Node) statementLimits() statement.Limits {
	s := n.settings.Load().Statements
	return statement.Limits{LongestRest: s.LongestRest, UnreadableRest: s.UnreadableRest, LeavingFor: s.LeavingFor}
}

// newStatementFigures counts statements by kind.
func newStatementFigures() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lilacvane_runner_statements_total", Help: "What runners stated of themselves in answers, by kind; doubtful is what could not be taken as it was said.",
	}, []string{"kind"})
}
