package labcommand

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/commandline"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/operator"
	"lilacvane/internal/tenant"
	"lilacvane/platform/protocol"
)

type upCommand struct {
	Once     bool   `help:"Stop after the first answer instead of waiting for ctrl-c."`
	Nodes    int    `default:"3" help:"Number of nodes, spread over the zones."`
	Runners  int    `default:"4" help:"Number of runners, spread over the zones."`
	Tenants  bool   `help:"Give callers keys: two sample tenants, one of them with a small limit."`
	Programs string `help:"Directory of the two programs; that of this one by default."`
}

var montevideoZones = []string{"mvd-cordon", "mvd-prado", "mvd-buceo", "mvd-cerro"}

const (
	sampleMemoryMiB = 3000
	sampleModelMB   = 3146
	runnerMemoryMB  = 17180
	adapterSlots    = 4
	runnerSlots     = 16
	loadsPerSecond  = 3
	storeRate       = 2000
	samplePrompt    = `{"model":"redactor","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"Invite the neighbours to the fair"}]}`
)

// Run starts the system, sends a request for a model that is not loaded and prints the
// response as it streams, with the server's breakdown of the time it took.
func (c *upCommand) Run(s commandline.Streams) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	w, err := c.startSystem(s.Out)
	if err != nil {
		return err
	}
	defer w.Close()
	node := w.Nodes["node-1"]
	if err := c.applySamples(ctx, node.Client()); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "callers: http://%s  operators: %s  logs: %s\n", node.Callers, node.Operators, w.Directory)
	if err := coldRequest(ctx, s.Out, node.Callers, c.firstRequestKey()); err != nil {
		return err
	}
	if c.Once {
		return nil
	}
	fmt.Fprintf(s.Out, "\nThe system is up. Try in another terminal:\n  ./bin/lilacvane status --server %s\n  ./bin/lilacvane explain model redactor --server %s\nPress ctrl-c to stop all of it.\n", node.Operators, node.Operators)
	if c.Tenants {
		fmt.Fprintf(s.Out, "Exceed a tenant's limit:\n  ./bin/lilacvane-lab load --callers %s --models redactor --key %s --rate 40\n", node.Callers, clubKey)
	}
	<-ctx.Done()
	return nil
}

func (c *upCommand) startSystem(out io.Writer) (*world.World, error) {
	directory, err := os.MkdirTemp("", "lilacvane-up-")
	if err != nil {
		return nil, err
	}
	programs := c.Programs
	if programs == "" {
		executable, err := os.Executable()
		if err != nil {
			return nil, err
		}
		programs = filepath.Dir(executable)
	}
	fmt.Fprintf(out, "starting the store, %d runners and %d nodes as separate processes\n", c.Runners, c.Nodes)
	w, err := world.New(world.Options{
		Directory: directory, Programs: programs, Region: "montevideo", TimeZone: "America/Montevideo", StoreRate: storeRate, Seed: 1,
		Engine: protocol.Engine{Slots: runnerSlots, SizeMB: runnerMemoryMB, LoRASlots: adapterSlots, LoadsPerS: loadsPerSecond},
	})
	if err != nil {
		return nil, err
	}
	if err := c.startProcesses(w); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (c *upCommand) startProcesses(w *world.World) error {
	for index := range c.Runners {
		options := world.RunnerOptions{
			Name: fmt.Sprintf("runner-%d", index+1), Zone: montevideoZones[index%len(montevideoZones)], MemoryMB: runnerMemoryMB,
			ModelMB: sampleModelMB, Slots: runnerSlots, AdapterSlots: adapterSlots, TokenTime: 20 * time.Millisecond, LoadTime: time.Second,
		}
		if _, err := w.StartRunner(options); err != nil {
			return err
		}
	}
	for index := range c.Nodes {
		if _, err := w.StartNode(fmt.Sprintf("node-%d", index+1), montevideoZones[index%len(montevideoZones)]); err != nil {
			return err
		}
	}
	return nil
}

func (c *upCommand) applySamples(ctx context.Context, client *operator.Client) error {
	objects := []api.Object{
		api.NewObject(api.KindVersion, "redactor-v1", api.Version{Model: "redactor", Checkpoint: "redactor-v1", MemoryMiB: sampleMemoryMiB}),
		api.NewObject(api.KindModel, "redactor", api.Model{ActiveVersion: "redactor-v1", Replicas: 2}),
		api.NewObject(api.KindVersion, "buzon-v1", api.Version{Model: "buzon", Checkpoint: "buzon-v1", MemoryMiB: sampleMemoryMiB}),
		api.NewObject(api.KindModel, "buzon", api.Model{ActiveVersion: "buzon-v1", Replicas: 2}),
		api.NewObject(api.KindAdapter, "club-rampla", api.Adapter{Model: "redactor", Checkpoint: "club-rampla-a", MemoryMiB: 100, Replicas: 1}),
		api.NewObject(api.KindPolicy, "mail-by-day", api.Policy{Models: []string{"buzon"}, Ready: "hour >= 7 && hour < 22 ? 1 : 0"}),
	}
	if c.Tenants {
		objects = append(objects, sampleTenants()...)
	}
	_, err := client.Submit(ctx, operator.Submission{Operation: "samples", Author: "lab", Apply: objects})
	return err
}

// The API keys of the sample tenants.
const (
	councilKey = "sample-council-key"
	clubKey    = "sample-club-key"
)

// sampleTenants returns a council without a limit and a club with a low one.
func sampleTenants() []api.Object {
	keys := func(key string) []api.TenantKey {
		return []api.TenantKey{{ID: "sample", SHA256: tenant.DigestOf(key).String()}}
	}
	limit := &api.TenantLimit{Unit: api.UnitTokens, Rate: 500, Burst: 500}
	return []api.Object{
		api.NewObject(api.KindTenant, "council", api.Tenant{Keys: keys(councilKey)}),
		api.NewObject(api.KindTenant, "club-rampla", api.Tenant{Priority: 1, Limit: limit, Keys: keys(clubKey)}),
	}
}

// firstRequestKey returns the API key of the first request; empty if none is needed.
func (c *upCommand) firstRequestKey() string {
	if c.Tenants {
		return councilKey
	}
	return ""
}

// coldRequest sends a request for a model that is not loaded and prints the streamed
// response.
func coldRequest(ctx context.Context, out io.Writer, callers, key string) error {
	fmt.Fprintln(out, "\nrequest for the sleeping model redactor:")
	start := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callers+"/v1/chat/completions", strings.NewReader(samplePrompt))
	if err != nil {
		return err
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if line := scanner.Text(); line != "" {
			fmt.Fprintf(out, "%7d ms  %s\n", time.Since(start).Milliseconds(), line)
		}
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the request was refused: %s", response.Status)
	}
	return scanner.Err()
}
