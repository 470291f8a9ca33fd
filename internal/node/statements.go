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
	})
	n.pool.Statements = n.statements
}

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
