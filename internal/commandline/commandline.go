// Package commandline parses a program's arguments and runs the command they name.
package commandline

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// The exit codes that all programs share.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Streams are where a command prints: results to Out, all else to Errors.
type Streams struct {
	Out    io.Writer
	Errors io.Writer
}

// Program describes a program's command line.
type Program struct {
	Name        string
	Description string
	// Commands points to a struct whose tagged fields are the commands; their Run
	// methods take Streams and the values of Bindings.
	Commands any
	Bindings []any
	// ExitCode turns a command's error into an exit code.
	ExitCode func(error) int
}

// Run runs the command that arguments name and returns the exit code: ExitUsage
// for arguments that cannot be parsed, else ExitOK or what ExitCode says of the
// command's error, which is printed to the error stream.
func Run(program Program, arguments []string, streams Streams) int {
	exit := -1
	options := []kong.Option{
		kong.Name(program.Name), kong.Description(program.Description), kong.Writers(streams.Out, streams.Errors),
		kong.Exit(func(code int) { exit = code }), kong.Bind(append([]any{streams}, program.Bindings...)...),
	}
	parser, err := kong.New(program.Commands, options...)
	if err != nil {
		fmt.Fprintln(streams.Errors, err)
		return ExitFailed
	}
	context, err := parser.Parse(arguments)
	if exit >= 0 {
		return exit
	}
	if err != nil {
		fmt.Fprintln(streams.Errors, program.Name+": error:", err)
		return ExitUsage
	}
	if err := context.Run(); err != nil {
		fmt.Fprintln(streams.Errors, program.Name+": error:", err)
		return program.ExitCode(err)
	}
	return ExitOK
}
