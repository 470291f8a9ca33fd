// Command lilacvane-lab emulates the environment of lilacvane for tests and
// experiments: model engines and the platform. It generates load and takes
// measurements.
package main

import (
	"os"
	_ "time/tzdata"

	"lilacvane/internal/labcommand"
)

func main() { os.Exit(labcommand.Main(os.Args[1:], os.Stdout, os.Stderr)) }
