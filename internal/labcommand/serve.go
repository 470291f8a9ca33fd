package labcommand

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"lilacvane/internal/lab/enginestub"
	"lilacvane/internal/lab/httpcall"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/platformstub"
	"lilacvane/internal/lab/weightstub"
)

type platformCommand struct {
	Table          string        `required:"" help:"Listening address of the table."`
	Machines       string        `required:"" help:"Listening address of the machine list."`
	Objects        string        `help:"Listening address of the object store."`
	Weights        string        `required:"" help:"Listening address of the weight store."`
	LoadsPerSecond float64       `default:"3" help:"New loads a second the weight store allows."`
	Concurrency    int           `default:"6" help:"Loads at once at full speed."`
	MibPerSecond   float64       `default:"1024" help:"Speed of one load in MiB a second."`
	MachineLag     time.Duration `default:"2s" help:"Lag of the machine list."`
	TableRate      float64       `default:"200" help:"Calls a second the table allows."`
}

// Run serves until the process is ended.
func (c *platformCommand) Run() error {
	failed := make(chan error, 4)
	store := weightstub.New(weightstub.Limits{LoadsPerSecond: c.LoadsPerSecond, Concurrency: c.Concurrency, MiBPerSecond: c.MibPerSecond})
	serve := func(address string, handler http.Handler) {
		go func() { failed <- http.ListenAndServe(address, handler) }()
	}
	serve(c.Table, platformstub.NewTable(c.TableRate).Handler())
	serve(c.Weights, store.Handler())
	serve(c.Machines, platformstub.NewMachines(c.MachineLag).Handler())
	if c.Objects != "" {
		serve(c.Objects, platformstub.NewObjects(c.TableRate).Handler())
	}
	return <-failed
}

type engineCommand struct {
	Name          string        `required:"" help:"Runner name."`
	Incarnation   string        `required:"" help:"Incarnation of the runner."`
	Listen        string        `required:"" help:"Listening address."`
	Weights       string        `required:"" help:"Address of the weight store."`
	MemoryMib     int64         `default:"16384" help:"Memory in MiB."`
	Slots         int           `default:"16" help:"Requests run at once."`
	TokenTime     time.Duration `default:"20ms" help:"Time for a token of a lone request."`
	PromptTime    time.Duration `default:"500us" help:"Time for a word of a prompt that is not cached."`
	MibPerSecond  float64       `default:"1024" help:"Expected speed of the weight store."`
	DiskSpeed     float64       `default:"4096" help:"Speed of the local disk in MiB a second."`
	ReportLag     time.Duration `default:"300ms" help:"Age of load reports."`
	CachedShare   float64       `default:"0.2" help:"Share of checkpoints on the local disk at the start."`
	Journal       string        `help:"File to journal to."`
	FlatTokenTime bool          `help:"A token takes the same time however many requests run."`
}

// Run serves until the process is ended.
func (c *engineCommand) Run() error {
	var output io.Writer
	if c.Journal != "" {
		file, err := os.OpenFile(c.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer file.Close()
		output = file
	}
	engine := enginestub.New(enginestub.Settings{
		Runner: c.Name, Incarnation: c.Incarnation, MemoryMiB: c.MemoryMib, Slots: c.Slots, TokenTime: c.TokenTime,
		PromptTime: c.PromptTime, DiskMiBPerSecond: c.DiskSpeed, WeightSpeed: c.MibPerSecond,
		ReportLag: c.ReportLag, CachedShare: c.CachedShare, FlatTokenTime: c.FlatTokenTime,
	}, fetchFrom(c.Weights), journal.NewWriter(output))
	return http.ListenAndServe(c.Listen, engine.Handler())
}

// fetchFrom gets checkpoints from the weight store at an address.
func fetchFrom(address string) enginestub.Fetch {
	return func(ctx context.Context, checkpoint string, mib int64) error {
		url := fmt.Sprintf("http://%s/v1/weights/%s?mib=%d", address, checkpoint, mib)
		return httpcall.Send(ctx, http.MethodGet, url, nil)
	}
}
