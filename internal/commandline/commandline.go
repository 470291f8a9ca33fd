// Package commandline parses a program's arguments and runs the command they name.
package commandline

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Exit codes that all programs share.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Streams holds a command's output streams: Out for results, Errors for everything
// else.
type Streams struct {
	Out    io.Writer
	Errors io.Writer
}

// Program describes a program's command line.
type Program struct {
	Name        string
	Description string
	// Commands points to a struct whose tagged fields are the commands. Their Run
	// methods may take Streams and the values of Bindings as parameters.
	Commands any
	Bindings []any
	// ExitCode maps a command's error to an exit code.
	ExitCode func(error) int
}

// Run runs the command that the arguments select and returns the exit code: ExitUsage
// if the arguments cannot be parsed, ExitOK on success, else the program's ExitCode
// for the command's error. Errors are printed to the error stream.
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
