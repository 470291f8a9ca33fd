package labcommand

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"lilacvane/internal/lab/httpcall"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/storestub"
	"lilacvane/platform/protocol"
)

type storeCommand struct {
	Listen string  `required:"" help:"Listening address."`
	Rate   float64 `default:"2000" help:"Calls a second."`
	Seed   uint64  `default:"1" help:"Seed of the faults."`
}

// Run serves the emulated store until the process ends.
func (c *storeCommand) Run() error {
	return http.ListenAndServe(c.Listen, storestub.New(c.Rate, c.Seed).Handler())
}

type runnerCommand struct {
	ID           string        `required:"" name:"id" help:"Identifier of this incarnation."`
	Service      string        `required:"" help:"Service it belongs to."`
	Zone         string        `required:"" help:"Zone."`
	Listen       string        `required:"" help:"Listening address."`
	Advertise    string        `help:"Address on the platform's list, if it differs."`
	Store        string        `required:"" help:"Address of the store."`
	MemoryMB     float64       `name:"memory-mb" default:"16384" help:"Memory for weights in MB."`
	ModelMB      float64       `name:"model-mb" default:"3000" help:"Size of a model in MB."`
	Slots        int           `default:"16" help:"Requests run at once."`
	AdapterSlots int           `default:"4" help:"Places for adapters."`
	TokenTime    time.Duration `default:"20ms" help:"Time for an event."`
	PromptTime   time.Duration `default:"30us" help:"Time for a token of a prompt that is not kept."`
	LoadTime     time.Duration `default:"1s" help:"Time of a load from the weight store."`
	ReportLag    time.Duration `default:"100ms" help:"Age of reports."`
	CrashBy      string        `help:"Text in a request's path or body, or in a model's name, by which it ends the process as it begins to run or is loaded."`
	CrashByParts string        `help:"Parts of prompts, by commas, by which it ends the process as it begins to write an answer."`
	Build        string        `help:"Version of its software, which its row states and its events carry."`
	Journal      string        `help:"File to journal to."`
	Seed         uint64        `default:"1" help:"Seed of the faults."`
	Faults       string        `help:"Faults from its start, as JSON."`
}

const (
	adapterTime = 15 * time.Millisecond
	// diskSpeedup and hostMemorySpeedup are how many times faster loads from local disk and
	// from host memory are than loads from the weight store.
	diskSpeedup       = 3
	hostMemorySpeedup = 5
	publishAttempts   = 20
	// exitCrashed is the exit code of a runner that a request or a load crashed.
	exitCrashed       = 70
	publishRetryDelay = 100 * time.Millisecond
)

// Run serves an emulated runner until the process ends.
func (c *runnerCommand) Run() error {
	var faults runnerstub.Faults
	if c.Faults != "" {
		if err := json.Unmarshal([]byte(c.Faults), &faults); err != nil {
			return err
		}
	}
	var output io.Writer
	if c.Journal != "" {
		file, err := os.OpenFile(c.Journal, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer file.Close()
		output = file
	}
	runner := runnerstub.New(runnerstub.Settings{
		ID: c.ID, Service: c.Service, Zone: c.Zone, Slots: c.Slots, MemoryMB: c.MemoryMB, AdapterSlots: c.AdapterSlots,
		Default: runnerstub.Weights{
			SizeMB: c.ModelMB, Load: c.LoadTime, DiskLoad: c.LoadTime / diskSpeedup, HostLoad: c.LoadTime / hostMemorySpeedup,
		},
		TokenTime: c.TokenTime, PromptTime: c.PromptTime, AdapterTime: adapterTime, ReportLag: c.ReportLag, Seed: c.Seed,
		Born: time.Now().UnixMilli(), CrashBy: c.CrashBy, CrashByParts: c.CrashByParts, Build: c.Build, Crash: func() { os.Exit(exitCrashed) },
	}, journal.NewWriter(output), c.publish)
	runner.SetFaults(faults)
	go runner.Announce()
	return http.ListenAndServe(c.Listen, runner.Handler())
}

// publish writes the runner's row to the store, with a limited number of retries.
func (c *runnerCommand) publish(row protocol.ListedRunner) {
	row.Address = c.Listen
	if c.Advertise != "" {
		row.Address = c.Advertise
	}
	content, err := json.Marshal(row)
	if err != nil {
		return
	}
	rows := []protocol.Row{{Table: protocol.RunnerTable, Key: c.ID, Value: content}}
	for range publishAttempts {
		if httpcall.Send(context.Background(), http.MethodPost, "http://"+c.Store+storestub.PathPut, rows) == nil {
			return
		}
		time.Sleep(publishRetryDelay)
	}
}
