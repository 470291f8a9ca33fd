package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/commandline"
	"lilacvane/internal/operator"
)

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
