package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"lilacvane/internal/commandline"
	"lilacvane/internal/logging"
	"lilacvane/internal/node"
	"lilacvane/internal/settings"
)

// gcPercent makes the garbage collector run more often than by default, to trade CPU
// time for memory, which is the scarcer resource.
const gcPercent = 50

// PlatformHooks connects a node to the platform that it runs on.
type PlatformHooks struct {
	// SettingsPath returns the path of the settings file that the platform
	// provides, or "" if it provides none.
	SettingsPath func() string
	// Platform returns the platform's implementations of a node's interfaces.
	Platform func(settings.Settings) node.Platform
	// reload receives a signal when the settings file may have changed.
	reload <-chan os.Signal
}

// nodeCommandName is the name of the command that runs a node.
const nodeCommandName = "node"

// notifyReload subscribes to SIGHUP, which asks a node to reload its settings. This must
// happen before anything else, because the signal kills a process that has not subscribed.
func notifyReload() <-chan os.Signal {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return reload
}

// nodeCommand runs a node.
type nodeCommand struct {
	Settings string `help:"Settings file (YAML); by default where the platform lays it." env:"LILACVANE_SETTINGS"`
}

// Run runs the node until SIGINT or SIGTERM, then shuts it down gracefully, without
// interrupting requests. SIGHUP reloads the settings file.
func (c *nodeCommand) Run(hooks PlatformHooks) error {
	path := c.Settings
	if path == "" {
		path = hooks.SettingsPath()
	}
	parsed, unknown, err := node.ReadSettings(path)
	if err != nil {
		return err
	}
	log, err := logging.NewBounded(parsed.Log.Level, os.Stdout)
	if err != nil {
		return err
	}
	for _, field := range unknown {
		log.Info("settings have an unknown field", "step", "read settings", "field", field)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(node.HeapLimit(parsed.Capacity))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	running, err := node.New(parsed, hooks.Platform(parsed), log)
	if err != nil {
		return err
	}
	return running.Run(ctx, hooks.reload, path)
}

type configCommand struct {
	Check configCheckCommand `cmd:"" help:"Check a settings file and report all problems."`
}

type configCheckCommand struct {
	File string `arg:"" help:"Settings file (YAML)."`
}

// Run checks the file. Unknown fields are errors here, whereas a running node only
// logs them.
func (c *configCheckCommand) Run(streams commandline.Streams) error {
	parsed, unknown, err := node.ReadSettings(c.File)
	for _, field := range unknown {
		fmt.Fprintf(streams.Errors, "unknown field: %s\n", field)
	}
	if err != nil {
		return err
	}
	if len(unknown) > 0 {
		return errUnknownFields
	}
	fmt.Fprintf(streams.Out, "%s is valid: node %s in zone %s, region %s\n", c.File, parsed.Node, parsed.Zone, parsed.Region)
	return nil
}
