// Package command is the command line of lilacvane: the node and the operators'
// tools.
package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"

	"lilacvane/internal/fault"
)

// The exit codes, for scripts.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitNotFound    = 4
	ExitUnavailable = 5
	ExitUnknown     = 6
)

type commandLine struct {
	Node    nodeCommand    `cmd:"" help:"Run a node."`
	Config  configCommand  `cmd:"" help:"Work with settings files."`
	Apply   applyCommand   `cmd:"" help:"Create or change objects from YAML or JSON files."`
	Get     getCommand     `cmd:"" help:"Show an object, or all of a kind."`
	Delete  deleteCommand  `cmd:"" help:"Delete an object."`
	History historyCommand `cmd:"" help:"Show how an object, or all of a kind, changed."`
	Watch   watchCommand   `cmd:"" help:"Print changes as they come into force."`
	Ask     askCommand     `cmd:"" name:"operation" help:"Ask for the result of an operation whose answer was lost."`
	Policy  policyCommand  `cmd:"" help:"Check and try policy programs."`
	Drain   drainCommand   `cmd:"" help:"Start, follow or end a planned stop."`
	Explain explainCommand `cmd:"" help:"Tell why: of a model, a replica's runner or a request."`
	Status  statusCommand  `cmd:"" help:"Show the fleet as a node sees it."`
	Runners runnersCommand `cmd:"" help:"Show runners and what they hold."`
}

// streams are where a command prints.
type streams struct {
	out io.Writer
	err io.Writer
}

// target is shared by the commands that call a node.
type target struct {
	Server string `help:"Operators' address (ip:port) of any node." env:"LILACVANE_SERVER" default:"127.0.0.1:7002"`
	Output string `short:"o" enum:"table,json" default:"table" help:"Output form: table or json."`
}

// Main runs the command line and returns the exit code. connect joins the
// platform's adapter to a node.
func Main(arguments []string, connect Connect, out, errors io.Writer) int {
	var line commandLine
	exit := -1
	parser, err := kong.New(&line, kong.Name("lilacvane"),
		kong.Description("A serving system for rarely used models."),
		kong.Writers(out, errors), kong.Exit(func(code int) { exit = code }), kong.Bind(streams{out: out, err: errors}), kong.Bind(connect))
	if err != nil {
		fmt.Fprintln(errors, err)
		return ExitFailed
	}
	context, err := parser.Parse(arguments)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintln(errors, "lilacvane: error:", err)
		return ExitUsage
	}
	if err := context.Run(); err != nil {
		fmt.Fprintln(errors, "lilacvane: error:", err)
		return exitCode(err)
	}
	return ExitOK
}

func exitCode(err error) int {
	var failure *fault.Error
	if !errors.As(err, &failure) {
		return ExitFailed
	}
	switch {
	case failure.Ran == fault.Unknown && failure.Code == fault.CodeStoreUnavailable:
		return ExitUnknown
	case failure.Code == fault.CodeInvalid:
		return ExitUsage
	case failure.Code == fault.CodeConflict:
		return ExitConflict
	case failure.Code == fault.CodeNotFound:
		return ExitNotFound
	case failure.Code == fault.CodeNotReady || failure.Code == fault.CodeStoreUnavailable:
		return ExitUnavailable
	default:
		return ExitFailed
	}
}
