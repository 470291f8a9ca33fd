package command

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"lilacvane/internal/commandline"
	"lilacvane/internal/fault"
	"lilacvane/internal/wire"
)

type quarantineCommand struct {
	List quarantineListCommand `cmd:"" help:"Show the requests under which runners ended."`
	Lift quarantineLiftCommand `cmd:"" help:"Let a request run again, as its runners were mended."`
}

type quarantineListCommand struct {
	target
}

// Run prints the quarantined requests.
func (c *quarantineListCommand) Run(s commandline.Streams) error {
	requests, err := c.client().Quarantine(context.Background())
	if err != nil {
		return err
	}
	return c.print(s, requests, func(w io.Writer) { printQuarantine(w, requests) })
}

func printQuarantine(w io.Writer, requests []wire.PoisonStatus) {
	fmt.Fprintln(w, "REQUEST\tSTATE\tREFUSED_FOR\tRUNNERS")
	for _, request := range requests {
		refused := "-"
		if request.State == wire.PoisonRefused {
			refused = (time.Duration(request.RefusedMs) * time.Millisecond).Round(time.Second).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", request.Request, request.State, refused, strings.Join(request.Runners, " "))
	}
}

type quarantineLiftCommand struct {
	target
	Request string `arg:"" help:"The request, or the digits that it begins with, as the list or logs show them."`
}

// Run allows a request to run again.
func (c *quarantineLiftCommand) Run(s commandline.Streams) error {
	ctx := context.Background()
	request, err := c.find(ctx)
	if err != nil {
		return err
	}
	remaining, err := c.client().LiftQuarantine(ctx, request)
	if err != nil {
		return err
	}
	return c.print(s, remaining, func(w io.Writer) { fmt.Fprintf(w, "%s may run again\n", request) })
}

// find returns the only request that begins with the given digits.
func (c *quarantineLiftCommand) find(ctx context.Context) (string, error) {
	const step = "lift quarantine"
	requests, err := c.client().Quarantine(ctx)
	if err != nil {
		return "", err
	}
	var found []string
	for _, request := range requests {
		if c.Request != "" && strings.HasPrefix(request.Request, c.Request) {
			found = append(found, request.Request)
		}
	}
	switch len(found) {
	case 0:
		return "", fault.New(fault.CodeNotFound, step, "request: no runner is known to have ended under %q", c.Request)
	case 1:
		return found[0], nil
	default:
		return "", fault.New(fault.CodeInvalid, step, "request: %d requests begin with %q", len(found), c.Request)
	}
}
