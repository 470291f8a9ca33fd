// Command lilacvane-lab is the world around lilacvane for tests and experiments:
// emulated engines and platform, load, measurements.
package main

import (
	"os"
	_ "time/tzdata"

	"lilacvane/internal/labcommand"
)

func main() { os.Exit(labcommand.Main(os.Args[1:], os.Stdout, os.Stderr)) }
