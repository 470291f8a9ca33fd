// Package labcommand implements the command line of lilacvane-lab.
package labcommand

import (
	"io"

	"lilacvane/internal/commandline"
)

type commandLine struct {
	Store      storeCommand      `cmd:"" help:"Run the emulated store of the platform."`
	Runner     runnerCommand     `cmd:"" help:"Run an emulated runner."`
	Node       nodeCommand       `cmd:"" help:"Run a node of lilacvane whose paths to runners can be made to fail."`
	Experiment experimentCommand `cmd:"" help:"Run a scenario file in virtual time and report."`
	Load       loadCommand       `cmd:"" help:"Send requests to nodes, open loop, and print what callers saw."`
	Up         upCommand         `cmd:"" help:"Bring a whole system up on loopback and show a cold request being served."`
}

// Main runs the command line with arguments and returns the exit code.
func Main(arguments []string, out, errors io.Writer) int {
	return commandline.Run(commandline.Program{
		Name: "lilacvane-lab", Description: "The world around lilacvane, emulated.", Commands: &commandLine{},
		ExitCode: func(error) int { return commandline.ExitFailed },
	}, arguments, commandline.Streams{Out: out, Errors: errors})
}
