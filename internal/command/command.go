// Package command implements the command line of lilacvane: the command that runs a
// node, and the operators' commands.
package command

import (
	"errors"
	"io"

	"lilacvane/internal/commandline"
	"lilacvane/internal/fault"
)

// Exit codes in addition to those that all programs share. Scripts rely on them.
const (
	ExitConflict    = 3
	ExitNotFound    = 4
	ExitUnavailable = 5
	ExitUnknown     = 6
)

// commandLine holds the commands; kong derives their names from the fields.
type commandLine struct {
	Node       nodeCommand       `cmd:"" help:"Run a node."`
	Config     configCommand     `cmd:"" help:"Work with settings files."`
	Apply      applyCommand      `cmd:"" help:"Create or change objects from YAML or JSON files."`
	Get        getCommand        `cmd:"" help:"Show an object or all of a kind, zones, or runners."`
	Delete     deleteCommand     `cmd:"" help:"Delete an object."`
	History    historyCommand    `cmd:"" help:"Show how an object, or all of a kind, changed."`
	Watch      watchCommand      `cmd:"" help:"Print changes as they come into force."`
	Ask        askCommand        `cmd:"" name:"operation" help:"Ask for the result of an operation whose answer was lost."`
	Policy     policyCommand     `cmd:"" help:"Check and try policy programs."`
	Drain      drainCommand      `cmd:"" help:"Start, follow or end a planned stop."`
	Explain    explainCommand    `cmd:"" help:"Tell why: of a model, a replica's runner, a request, the content of requests or a zone."`
	Status     statusCommand     `cmd:"" help:"Show the fleet as a node sees it."`
	Runners    runnersCommand    `cmd:"" help:"Show runners and what they hold."`
	Quarantine quarantineCommand `cmd:"" help:"Show requests that are not run as runners end under them, and let them run again."`
	Tenant     tenantCommand     `cmd:"" help:"Show tenants and their use; add, rotate and revoke their keys."`
}

// target holds the flags of all commands that call a node.
type target struct {
	Server string `help:"Operators' address (ip:port) of any node." env:"LILACVANE_SERVER" default:"127.0.0.1:7002"`
	Output string `short:"o" enum:"table,json" default:"table" help:"Output form: table or json."`
}

// Main runs the command line and returns the exit code. hooks connects nodes to the
// platform.
func Main(arguments []string, hooks PlatformHooks, out, errors io.Writer) int {
	if len(arguments) > 0 && arguments[0] == nodeCommandName {
		hooks.reload = notifyReload()
	}
	return commandline.Run(commandline.Program{
		Name: "lilacvane", Description: "A serving system for rarely used models.", Commands: &commandLine{},
		Bindings: []any{hooks}, ExitCode: exitCode,
	}, arguments, commandline.Streams{Out: out, Errors: errors})
}

// exitCode maps a command's error to an exit code.
func exitCode(err error) int {
	var failure *fault.Error
	if !errors.As(err, &failure) {
		return commandline.ExitFailed
	}
	switch {
	case failure.Ran == fault.Unknown && failure.Code == fault.CodeStoreUnavailable:
		return ExitUnknown
	case failure.Code == fault.CodeInvalid:
		return commandline.ExitUsage
	case failure.Code == fault.CodeConflict:
		return ExitConflict
	case failure.Code == fault.CodeNotFound:
		return ExitNotFound
	case failure.Code == fault.CodeNotReady || failure.Code == fault.CodeStoreUnavailable:
		return ExitUnavailable
	default:
		return commandline.ExitFailed
	}
}
