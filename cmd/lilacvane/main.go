// Command lilacvane runs a node and is the operators' command line.
package main

import (
	"os"
	_ "time/tzdata"

	"lilacvane/internal/command"
	"lilacvane/platform"
)

func main() {
	hooks := command.PlatformHooks{SettingsPath: platform.SettingsPath, Platform: platform.ForNode}
	os.Exit(command.Main(os.Args[1:], hooks, os.Stdout, os.Stderr))
}
