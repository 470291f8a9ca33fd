// Package labcommand is the command line of lilacvane-lab.
package labcommand

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type commandLine struct {
	Store      storeCommand      `cmd:"" help:"Run the emulated store of the platform."`
	Runner     runnerCommand     `cmd:"" help:"Run an emulated runner."`
	Experiment experimentCommand `cmd:"" help:"Run a scenario file in virtual time and report."`
	Load       loadCommand       `cmd:"" help:"Send requests to nodes, open loop, and print what callers saw."`
	Up         upCommand         `cmd:"" help:"Bring a whole system up on loopback and show a cold request being served."`
}

type streams struct {
	out io.Writer
	err io.Writer
}

// Main runs the command line and returns the exit code.
func Main(arguments []string, out, errors io.Writer) int {
	var line commandLine
	exit := -1
	parser, err := kong.New(&line, kong.Name("lilacvane-lab"), kong.Description("The world around lilacvane, emulated."),
		kong.Writers(out, errors), kong.Exit(func(code int) { exit = code }), kong.Bind(streams{out: out, err: errors}))
	if err != nil {
		fmt.Fprintln(errors, err)
		return exitFailed
	}
	context, err := parser.Parse(arguments)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintln(errors, "lilacvane-lab: error:", err)
		return exitUsage
	}
	if err := context.Run(); err != nil {
		fmt.Fprintln(errors, "lilacvane-lab: error:", err)
		return exitFailed
	}
	return exitOK
}
