package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"lilacvane/internal/fault"
	"lilacvane/internal/logging"
	"lilacvane/internal/node"
	"lilacvane/internal/settings"
)

// gcPercent trades a little processor time for memory: a node's configuration
// lives long, and its budget of memory is the tighter one.
const gcPercent = 40

// nodeCommand runs a node. Flags and environment go before the settings file.
type nodeCommand struct {
	Settings  string   `help:"Settings file (YAML)." env:"LILACVANE_SETTINGS" type:"existingfile"`
	Name      string   `help:"Name of this node." env:"LILACVANE_NODE"`
	Zone      string   `help:"Zone of this node." env:"LILACVANE_ZONE"`
	Region    string   `help:"Region of this node." env:"LILACVANE_REGION"`
	Callers   string   `help:"Callers' listening address (ip:port)." env:"LILACVANE_CALLERS"`
	Operators string   `help:"Operators' listening address (ip:port)." env:"LILACVANE_OPERATORS"`
	Peers     string   `help:"Peers' listening address (ip:port), TCP and UDP." env:"LILACVANE_PEERS"`
	Seeds     []string `help:"Peers' addresses of other nodes." env:"LILACVANE_SEEDS"`
	Table     string   `help:"Address of the platform's table service." env:"LILACVANE_TABLE"`
	Machines  string   `help:"Address of the platform's machine list." env:"LILACVANE_MACHINES"`
	LogLevel  string   `help:"error, info or debug." env:"LILACVANE_LOG_LEVEL"`
}

// Run runs the node until SIGINT or SIGTERM, then stops it without cutting off a
// request.
func (c *nodeCommand) Run() error {
	s, err := c.load()
	if err != nil {
		return err
	}
	if err := s.Validate(); err != nil {
		return err
	}
	logger, err := logging.New(s.Log.Level)
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	n, err := node.New(s, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return n.Run(ctx)
}

func (c *nodeCommand) load() (settings.Settings, error) {
	s := settings.Default()
	if c.Settings != "" {
		var err error
		if s, err = readSettings(c.Settings); err != nil {
			return s, err
		}
	}
	override := func(target *string, value string) {
		if value != "" {
			*target = value
		}
	}
	override(&s.Node, c.Name)
	override(&s.Zone, c.Zone)
	override(&s.Region, c.Region)
	override(&s.Listen.Callers, c.Callers)
	override(&s.Listen.Operators, c.Operators)
	override(&s.Listen.Peers, c.Peers)
	override(&s.Platform.Table, c.Table)
	override(&s.Platform.Machines, c.Machines)
	override(&s.Log.Level, c.LogLevel)
	if len(c.Seeds) > 0 {
		s.Seeds = c.Seeds
	}
	return s, nil
}

func readSettings(path string) (settings.Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return settings.Settings{}, fault.New(fault.CodeInvalid, "read settings", "%v", err)
	}
	return settings.Parse(content)
}

type configCommand struct {
	Check configCheckCommand `cmd:"" help:"Check a settings file and report all problems."`
}

type configCheckCommand struct {
	File string `arg:"" help:"Settings file (YAML)."`
}

// Run checks the file.
func (c *configCheckCommand) Run(streams streams) error {
	s, err := readSettings(c.File)
	if err != nil {
		return err
	}
	if err := s.Validate(); err != nil {
		return err
	}
	fmt.Fprintf(streams.out, "%s is valid: node %s in zone %s, region %s\n", c.File, s.Node, s.Zone, s.Region)
	return nil
}
