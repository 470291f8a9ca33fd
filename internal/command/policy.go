package command

import (
	"context"
	"fmt"
	"io"

	"lilacvane/internal/api"
	"lilacvane/internal/commandline"
	"lilacvane/internal/operator"
	"lilacvane/internal/policy"
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
