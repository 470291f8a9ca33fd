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

// zones prints all zones, or one by name.
func (c *getCommand) zones(s commandline.Streams) error {
	zones, err := c.client().Zones(context.Background(), c.Name)
	if err != nil {
		return err
	}
	return c.print(s, zones, func(w io.Writer) {
		fmt.Fprintln(w, "ZONE\tREGION\tSTATE\tSINCE\tREADY\tCOLD\tDRAINING\tNODES")
		for _, zone := range zones {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", zone.Zone, orDash(string(zone.Region)), zone.State, formatSince(zone.Since),
				zone.Ready, zone.Cold, zone.Draining, zone.Nodes)
		}
	})
}

// runners prints all runners, one by name, or only those that are cold.
func (c *getCommand) runners(s commandline.Streams) error {
	list := c.client().Runners
	if c.Cold {
		list = c.client().ColdRunners
	}
	runners, err := list(context.Background(), c.Name)
	if err != nil {
		return err
	}
	if len(runners) == 0 && c.Name != "" {
		return fault.New(fault.CodeNotFound, "list runners", "name: no runner %q is known%s", c.Name, coldSuffix(c.Cold))
	}
	return c.printRunners(s, runners)
}

func coldSuffix(cold bool) string {
	if cold {
		return " to be cold"
	}
	return ""
}

func (t target) printRunners(s commandline.Streams, runners []wire.RunnerStatus) error {
	return t.print(s, runners, func(w io.Writer) {
		fmt.Fprintln(w, "RUNNER\tSERVICE\tZONE\tSTATE\tCOLD\tRUNNING\tFREE_MB\tORDERS\tUNITS")
		for _, runner := range runners {
			var units []string
			for _, unit := range runner.Units {
				units = append(units, unit.Unit+":"+unit.State)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%.0f\t%d\t%s\n", runner.Runner, runner.Service, runner.Zone, runner.State, formatCold(runner.ColdMs),
				runner.Running, runner.FreeMB, runner.Sequence, strings.Join(units, " "))
		}
	})
}

// formatCold formats the time that a runner stays cold; "-" for one that is not.
func formatCold(milliseconds int64) string {
	if milliseconds == 0 {
		return "-"
	}
	return (time.Duration(milliseconds) * time.Millisecond).String()
}

func formatSince(since *time.Time) string {
	if since == nil {
		return "-"
	}
	return since.Format("2006-01-02T15:04:05Z07:00")
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
