package labcommand

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"lilacvane/internal/lab/enginestub"
	"lilacvane/internal/lab/httpcall"
	"lilacvane/internal/lab/scale"
	"lilacvane/internal/machines"
	"lilacvane/internal/settings"
)

type hollowCommand struct {
	Name     string   `required:"" help:"Prefix of the nodes' names."`
	Count    int      `required:"" help:"Number of nodes."`
	Zones    int      `required:"" help:"Number of zones."`
	Regions  int      `required:"" help:"Number of regions."`
	IP       string   `required:"" help:"IP address to listen on."`
	Table    string   `required:"" help:"Address of the table."`
	Machines string   `required:"" help:"Address of the machine list."`
	Seed     []string `help:"Peers' addresses."`
}

// Run runs hollow nodes until the process is ended.
func (c *hollowCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	base := settings.Default()
	base.Node = c.Name
	base.Seeds = c.Seed
	base.Platform = settings.Platform{Table: c.Table, Machines: c.Machines}
	base.Sleep.FixedKeepAlive = time.Hour
	return scale.RunNodes(ctx, base, scale.Places(c.Zones, c.Regions), c.Count, c.IP)
}

type enginesCommand struct {
	Name      string        `required:"" help:"Prefix of the engines' names."`
	Count     int           `required:"" help:"Number of engines."`
	Zones     int           `required:"" help:"Number of zones."`
	Regions   int           `required:"" help:"Number of regions."`
	IP        string        `required:"" help:"IP address to listen on."`
	Weights   string        `required:"" help:"Address of the weight store."`
	Machines  string        `required:"" help:"Address of the machine list."`
	MemoryMib int64         `default:"16384" help:"Memory of each in MiB."`
	Slots     int           `default:"16" help:"Requests each runs at once."`
	TokenTime time.Duration `default:"20ms" help:"Time for a token of a lone request."`
}

// Run runs emulated engines until the process is ended.
func (c *enginesCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	template := enginestub.Settings{
		Runner: c.Name, MemoryMiB: c.MemoryMib, Slots: c.Slots, TokenTime: c.TokenTime,
		DiskMiBPerSecond: 4096, WeightSpeed: 1024, ReportLag: 300 * time.Millisecond,
	}
	register := func(machine machines.Machine) error { return putMachine(c.Machines, machine) }
	return scale.RunEngines(ctx, template, fetchFrom(c.Weights), scale.Places(c.Zones, c.Regions), c.Count, c.IP, register)
}

func putMachine(address string, machine machines.Machine) error {
	return httpcall.Send(context.Background(), http.MethodPut, "http://"+address+"/lab/machines", machine)
}
