// Command lilacvane-node runs a node on the users' platform.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"lilacvane/internal/agent"
	"lilacvane/internal/logging"
	"lilacvane/platform"
)

const (
	// gcPercent trades processor time for memory.
	gcPercent         = 50
	idleConnections   = 4
	idleTimeout       = 20 * time.Second
	exitFailed        = 1
	answerHeaderLimit = 40 * time.Second
)

type commands struct {
	Run   runCommand   `cmd:"" help:"Run a node."`
	Check checkCommand `cmd:"" help:"Check a settings file and report all problems."`
}

type runCommand struct {
	Settings string `help:"Settings file (YAML); by default where the platform lays it."`
}

type checkCommand struct {
	File string `arg:"" help:"Settings file (YAML)."`
}

// Run checks the file.
func (c *checkCommand) Run() error {
	settings, unknown, err := agent.ReadSettings(c.File)
	for _, field := range unknown {
		fmt.Fprintln(os.Stderr, "unknown:", field)
	}
	if err != nil {
		return err
	}
	fmt.Printf("%s is valid: node %s in zone %s\n", c.File, settings.Node, settings.Zone)
	return nil
}

// Run runs the node until SIGINT or SIGTERM.
func (c *runCommand) Run() error {
	path := c.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	settings, unknown, err := agent.ReadSettings(path)
	if err != nil {
		return err
	}
	log, err := logging.NewBounded(settings.Log.Level, os.Stdout)
	if err != nil {
		return err
	}
	for _, field := range unknown {
		log.Info("settings have an unknown field", "step", "read settings", "field", field)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return agent.New(settings, connect(settings.Store.Address), log).Run(ctx, reload, path)
}

// connect joins the platform's adapter to the node's seams.
func connect(storeAddress string) agent.Platform {
	store := platform.NewStore(storeAddress, client())
	return agent.Platform{
		Headers:       platform.Headers,
		Configuration: store.Table(platform.OperatorTable), ConfigurationKey: platform.ConfigurationKey,
		DecodeConfiguration: platform.DecodeConfiguration,
		Runners:             store.Table(platform.RunnerTable), DecodeRunner: platform.DecodeRunner,
		Leases: store, Control: platform.NewRunners(client()),
	}
}

func client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout, DisableCompression: true, ResponseHeaderTimeout: answerHeaderLimit,
	}}
}

func main() {
	context := kong.Parse(&commands{}, kong.Name("lilacvane-node"), kong.Description("Runs a lilacvane node on the platform."))
	if err := context.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}
