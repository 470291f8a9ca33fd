package labcommand

import (
	"errors"
	"io"
	"net/http"

	"lilacvane/internal/command"
	"lilacvane/internal/commandline"
	"lilacvane/internal/lab/linkfault"
	"lilacvane/internal/node"
	"lilacvane/internal/settings"
	"lilacvane/platform"
)

type nodeCommand struct {
	Settings string `required:"" help:"Settings file (YAML)."`
	Faults   string `required:"" help:"Listening address of the calls that inject faults into the node's paths to runners."`
}

var errNodeFailed = errors.New("the node failed")

// Run runs a node of lilacvane whose paths to runners are subject to faults.
func (c *nodeCommand) Run(s commandline.Streams) error {
	hooks := command.PlatformHooks{SettingsPath: func() string { return c.Settings }, Platform: func(parsed settings.Settings) node.Platform {
		return c.withFaults(platform.ForNode(parsed), s.Errors)
	}}
	if code := command.Main([]string{"node", "--settings", c.Settings}, hooks, s.Out, s.Errors); code != 0 {
		return errNodeFailed
	}
	return nil
}

// withFaults makes the connections of a node to runners subject to faults.
func (c *nodeCommand) withFaults(p node.Platform, log io.Writer) node.Platform {
	links := linkfault.New(p.Pool.Dial)
	p.Pool.Dial = links.Dial
	go func() {
		if err := http.ListenAndServe(c.Faults, links.Handler()); err != nil {
			_, _ = io.WriteString(log, err.Error()+"\n")
		}
	}()
	return p
}
