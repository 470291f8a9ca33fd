package command

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"

	"lilacvane/internal/commandline"
	"lilacvane/internal/fault"
)

type explainCommand struct {
	target
	Kind string `arg:"" enum:"model,replica,request,content,zone" help:"model, replica (by its runner), request, content or zone."`
	Name string `arg:"" help:"Model name, runner name, request id, content as logs show it, or zone name."`
}

// Run prints the recorded decisions about a subject.
func (c *explainCommand) Run(s commandline.Streams) error {
	decisions, err := c.client().Explain(context.Background(), c.Kind, c.Name)
	if err != nil {
		return err
	}
	if len(decisions) == 0 {
		return fault.New(fault.CodeNotFound, "explain", "no node remembers a decision about %s %s", c.Kind, c.Name)
	}
	return c.print(s, decisions, func(w io.Writer) {
		fmt.Fprintln(w, "TIME\tNODE\tREVISION\tSTEP\tREASON")
		for _, decision := range decisions {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\n", decision.Time.Format("15:04:05.000"), decision.Node, decision.Revision, decision.Step, decision.Reason)
		}
	})
}

type statusCommand struct{ target }

// Run prints the state of the fleet.
func (c *statusCommand) Run(s commandline.Streams) error {
	status, err := c.client().Status(context.Background())
	if err != nil {
		return err
	}
	return c.print(s, status, func(w io.Writer) {
		fmt.Fprintf(w, "node %s: %s, revision %d, configuration %d, tables from %s\n\n", status.Node, status.Ready, status.Revision, status.Configuration, status.Tables)
		fmt.Fprintln(w, "NODE\tZONE\tADDRESS\tHOLDS")
		for _, member := range status.Members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", member.Node, member.Zone, member.Address, strings.Join(member.Holds, " "))
		}
		for _, store := range status.Stores {
			fmt.Fprintf(w, "\nweights of %s: %d loads from the store under way, at most %d at once (carries %s), %d models waited for that nothing loads yet\n",
				store.Service, store.UnderWay, store.Limit, formatCapacity(store.Capacity), store.Planned)
		}
		fmt.Fprintln(w, "\nMODEL\tSERVICE\tWEIGHTS\tDECIDED\tLOADED\tREADY")
		for _, model := range status.Models {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\n", model.Name, model.Service, model.Weights, formatReplicas(model.Decided), model.Loaded, model.Ready)
		}
		for _, problem := range status.Problems {
			fmt.Fprintf(w, "\nnot usable: %s\n", problem)
		}
		for _, failure := range status.Policies {
			fmt.Fprintf(w, "\npolicy %s does not run: %s\n", failure.Name, failure.Reason)
		}
	})
}

type runnersCommand struct {
	target
	Name string `arg:"" optional:"" help:"Name of a runner; all without one."`
}

// Run prints runners.
func (c *runnersCommand) Run(s commandline.Streams) error {
	runners, err := c.client().Runners(context.Background(), c.Name)
	if err != nil {
		return err
	}
	return c.printRunners(s, runners)
}

// formatCapacity formats the number of concurrent loads that a weight store can serve at full
// speed.
func formatCapacity(capacity float64) string {
	if capacity == 0 {
		return "not known yet"
	}
	return strconv.FormatFloat(capacity, 'f', 1, 64)
}

// formatReplicas formats a bound on replicas.
func formatReplicas(replicas int) string {
	if replicas < 0 {
		return "any"
	}
	return strconv.Itoa(replicas)
}
