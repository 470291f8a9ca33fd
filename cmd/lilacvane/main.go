// Command lilacvane runs a node and is the operators' command line.
package main

import (
	"os"
	_ "time/tzdata"

	"lilacvane/internal/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
