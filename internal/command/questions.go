package command

import (
	"context"
	"fmt"
	"io"
	"lilacvane/internal/api"
	"lilacvane/internal/commandline"
	"lilacvane/internal/fault"
	"lilacvane/internal/operator"
	"lilacvane/internal/policy"
	"strconv"
	"strings"
	"time"
)

type policyCommand struct {
	Check policyCheckCommand `cmd:"" help:"Check the Policy objects of a file, without a node."`
	Try   policyTryCommand   `cmd:"" help:"Tell what a policy in force would do at a time and place."`
}

type policyCheckCommand struct {
	File string `arg:"" help:"File with Policy objects."`
}

// Run validates the policies in a file.
func (c *policyCheckCommand) Run(s commandline.Streams) error {
	objects, err := readObjects(c.File)
	if err != nil {
		return err
	}
	for _, object := range objects {
		if object.Kind != api.KindPolicy {
			continue
		}
		if err := api.Validate(object); err != nil {
			return err
		}
		spec, err := api.Decode[api.Policy](object)
		if err != nil {
			return err
		}
		if _, err := policy.Compile(spec.Ready); err != nil {
			return err
		}
		fmt.Fprintf(s.Out, "Policy/%s is valid\n", object.Name)
	}
	return nil
}

type policyTryCommand struct {
	target
	Name     string `arg:"" help:"Name of a Policy in force."`
	Model    string `required:"" help:"Model to ask for."`
	Region   string `required:"" help:"Region to ask for."`
	TimeZone string `default:"UTC" help:"IANA time zone, such as America/Montevideo."`
	At       string `help:"Local time, such as 2026-12-07T07:40; now without it."`
}

// Run evaluates a policy for a model, a region and a time.
func (c *policyTryCommand) Run(s commandline.Streams) error {
	ctx := context.Background()
	object, err := c.client().Get(ctx, api.KindPolicy, c.Name)
	if err != nil {
		return err
	}
	spec, err := api.Decode[api.Policy](object)
	if err != nil {
		return err
	}
	result, err := c.client().Evaluate(ctx, operator.Evaluation{Ready: spec.Ready, Model: c.Model, Region: c.Region, TimeZone: c.TimeZone, Time: c.At})
	if err != nil {
		return err
	}
	return c.print(s, result, func(w io.Writer) {
		fmt.Fprintf(w, "on %s in %s, %s would keep %d replicas of %s ready\n", result.Time.Format("Monday 2006-01-02 15:04"), c.Region, c.Name, result.Ready, c.Model)
	})
}

type drainCommand struct {
	Start  drainStartCommand  `cmd:"" help:"Start a planned stop."`
	Status drainStatusCommand `cmd:"" help:"Tell what is left of a planned stop."`
	End    drainEndCommand    `cmd:"" help:"End a planned stop of a runner or zone; it serves again."`
}

type drainStartCommand struct {
	target
	What string `arg:"" enum:"node,runner,zone" help:"node, runner or zone."`
	Name string `arg:"" help:"Its name."`
	Wait bool   `help:"Wait until it is finished."`
}

// drainName returns the name of the Drain object of a target.
func drainName(what, name string) string { return what + "-" + name }

// Run starts a planned stop.
func (c *drainStartCommand) Run(s commandline.Streams) error {
	ctx := context.Background()
	if api.DrainTarget(c.What) == api.DrainZone {
		if _, err := c.client().Zones(ctx, c.Name); err != nil {
			return err
		}
	}
	object := api.NewObject(api.KindDrain, drainName(c.What, c.Name), api.Drain{Target: api.DrainTarget(c.What), Name: c.Name})
	if err := fillGeneration(ctx, c.client(), &object); err != nil {
		return err
	}
	submission := operator.Submission{Operation: operationID(""), Author: author(), Apply: []api.Object{object}}
	if err := submit(ctx, c.target, s, submission); err != nil || !c.Wait {
		return err
	}
	return waitForDrain(ctx, c.client(), s, object.Name)
}

func waitForDrain(ctx context.Context, client *operator.Client, s commandline.Streams, name string) error {
	for {
		progress, err := client.DrainProgress(ctx, name)
		if err != nil {
			return err
		}
		printProgress(s.Out, progress)
		if progress.Finished {
			return nil
		}
		time.Sleep(time.Second)
	}
}

func printProgress(w io.Writer, p operator.Progress) {
	fmt.Fprintf(w, "%s %s: state %s, %d granted replicas left, %d runners with memory in use, finished %t\n", p.Target, p.Name, p.State, p.Replicas, p.Running, p.Finished)
}

type drainStatusCommand struct {
	target
	What string `arg:"" enum:"node,runner,zone" help:"node, runner or zone."`
	Name string `arg:"" help:"Its name."`
}

// Run prints the progress of a planned stop.
func (c *drainStatusCommand) Run(s commandline.Streams) error {
	progress, err := c.client().DrainProgress(context.Background(), drainName(c.What, c.Name))
	if err != nil {
		return err
	}
	return c.print(s, progress, func(w io.Writer) { printProgress(w, progress) })
}

type drainEndCommand struct {
	target
	What string `arg:"" enum:"runner,zone" help:"runner or zone."`
	Name string `arg:"" help:"Its name."`
}

// Run ends a planned stop.
func (c *drainEndCommand) Run(s commandline.Streams) error {
	deletion := deleteCommand{target: c.target, Kind: string(api.KindDrain), Name: drainName(c.What, c.Name)}
	return deletion.Run(s)
}

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
