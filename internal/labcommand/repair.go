package labcommand

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/lab/load"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/operator"
	"lilacvane/internal/settings"
)

type repairCommand struct {
	Times int `default:"3" help:"How often each loss is measured."`
}

const (
	repairModels   = 6
	repairZones    = 3
	repairNodes    = 6
	repairEngines  = 6
	repairMemory   = 1024
	repairPatience = 2 * time.Minute
	// repairWithin is the time in which every model must answer to count as
	// served in full.
	repairWithin = time.Second
)

// loss is what is taken away.
type loss struct {
	name string
	take func(w *world.World) error
}

var losses = []loss{
	{"one node", func(w *world.World) error { w.Nodes["node-2"].Kill(); return nil }},
	{"one runner", func(w *world.World) error { return w.KillEngine("runner-2") }},
	{"a zone's nodes", func(w *world.World) error {
		for _, node := range w.Nodes {
			if node.Zone == "zone-1" {
				node.Kill()
			}
		}
		return nil
	}},
	{"a zone's nodes and runners", func(w *world.World) error {
		for _, node := range w.Nodes {
			if node.Zone == "zone-1" {
				node.Kill()
			}
		}
		for name, engine := range w.Engines {
			if engine.Machine.Zone == "zone-1" {
				if err := w.KillEngine(name); err != nil {
					return err
				}
			}
		}
		return nil
	}},
}

// Run measures, with a node's default settings, the time from a loss until every
// model answers in time again at a node that stayed.
func (c *repairCommand) Run(s streams) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	for _, l := range losses {
		for range c.Times {
			took, err := measureLoss(l, filepath.Dir(executable))
			if err != nil {
				return fmt.Errorf("%s: %w", l.name, err)
			}
			fmt.Fprintf(s.out, "%-28s all %d models answer within %s again after %.1f s, runners owned and grants complete after %.1f s\n",
				l.name, repairModels, repairWithin, took.service.Seconds(), took.control.Seconds())
		}
	}
	return nil
}

// repairTimes are the times from a loss until all models answer, and until every
// runner left has a living owner and every grant is complete.
type repairTimes struct {
	service time.Duration
	control time.Duration
}

func measureLoss(l loss, programs string) (repairTimes, error) {
	directory, err := os.MkdirTemp("", "lilacvane-repair-")
	if err != nil {
		return repairTimes{}, err
	}
	defer os.RemoveAll(directory)
	w, err := repairWorld(directory, programs)
	if err != nil {
		return repairTimes{}, err
	}
	defer w.Close()
	node := w.Nodes["node-1"]
	if err := waitFullService(node); err != nil {
		return repairTimes{}, err
	}
	if err := l.take(w); err != nil {
		return repairTimes{}, err
	}
	began := time.Now()
	var took repairTimes
	err = waitFullService(node)
	took.service = time.Since(began)
	if err != nil {
		return took, err
	}
	err = waitFullControl(w, node)
	took.control = time.Since(began)
	return took, err
}

// waitFullControl waits until the runners that are left are all driven by living
// nodes, and all models have their grants on them.
func waitFullControl(w *world.World, node *world.Node) error {
	deadline := time.Now().Add(repairPatience)
	for time.Now().Before(deadline) {
		if isFullControl(w, node) {
			return nil
		}
		time.Sleep(controlPause)
	}
	return fmt.Errorf("not under control after %s", repairPatience)
}

const controlPause = 50 * time.Millisecond

func isFullControl(w *world.World, node *world.Node) bool {
	ctx := context.Background()
	runners, err := node.Client().Runners(ctx, "")
	if err != nil {
		return false
	}
	living := 0
	for _, engine := range w.Engines {
		if !engine.Ended() {
			living++
		}
	}
	if len(runners) != living {
		return false
	}
	for _, runner := range runners {
		if runner.State != "serving" || w.Nodes[runner.Owner].Ended() {
			return false
		}
	}
	status, err := node.Client().Status(ctx)
	if err != nil {
		return false
	}
	for _, model := range status.Models {
		if model.Granted != model.Decided {
			return false
		}
	}
	return true
}

func repairWorld(directory, programs string) (*world.World, error) {
	w, err := world.New(world.Options{
		Directory: directory, Programs: programs, Region: "region-0", TimeZone: "UTC", LoadsPerSecond: 4, Concurrency: 13,
		MiBPerSecond: 1024, MachineLag: 2 * time.Second, TableRate: 200,
		Adjust: func(s *settings.Settings) {
			s.Log.Level = "error"
			s.Sleep.FixedKeepAlive = time.Hour
		},
	})
	if err != nil {
		return nil, err
	}
	for index := range repairEngines {
		options := world.EngineOptions{
			Name: fmt.Sprintf("runner-%d", index+1), Zone: fmt.Sprintf("zone-%d", index%repairZones),
			MemoryMiB: 8 * repairMemory, Slots: 16, TokenTime: 10 * time.Millisecond,
		}
		if _, err := w.StartEngine(options); err != nil {
			w.Close()
			return nil, err
		}
	}
	for index := range repairNodes {
		if _, err := w.StartNode(fmt.Sprintf("node-%d", index+1), fmt.Sprintf("zone-%d", index%repairZones)); err != nil {
			w.Close()
			return nil, err
		}
	}
	var objects []api.Object
	for index := range repairModels {
		name := modelName(index)
		objects = append(objects,
			api.NewObject(api.KindVersion, name+"-v1", api.Version{Model: name, Checkpoint: name, MemoryMiB: repairMemory}),
			api.NewObject(api.KindModel, name, api.Model{ActiveVersion: name + "-v1", Replicas: 2}))
	}
	_, err = w.Nodes["node-1"].Client().Submit(context.Background(), operator.Submission{Operation: "repair", Author: "lab", Apply: objects})
	return w, err
}

func modelName(index int) string { return fmt.Sprintf("model-%d", index) }

// waitFullService asks every model, over and over, until a round is served
// within repairWithin.
func waitFullService(node *world.Node) error {
	deadline := time.Now().Add(repairPatience)
	var codes string
	for time.Now().Before(deadline) {
		began := time.Now()
		served := 0
		codes = ""
		results := make(chan string, repairModels)
		for index := range repairModels {
			go func() { results <- askOnce(node, modelName(index)) }()
		}
		for range repairModels {
			code := <-results
			if code == "served" {
				served++
			}
			codes += " " + code
		}
		if served == repairModels && time.Since(began) < repairWithin {
			return nil
		}
	}
	return fmt.Errorf("not served in full after %s:%s", repairPatience, codes)
}

// askOnce sends one request with a deadline of a few seconds.
func askOnce(node *world.Node, model string) string {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"prompt":"repair","max_tokens":2}`, model)
	request := newPost("http://"+node.Callers+"/v1/completions", body)
	result := load.Run(context.Background(), load.Options{Rate: 1000, Duration: time.Millisecond, Request: request})
	for code := range result.Codes {
		return code
	}
	return "nothing"
}

// repairDeadline is the deadline of a request, so that one that waits for what
// was lost ends.
const repairDeadline = "3"

func newPost(url, body string) load.Request {
	return func(ctx context.Context, _ int) (*http.Request, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
		if err != nil {
			return nil, err
		}
		request.Header.Set(api.HeaderDeadline, repairDeadline)
		return request, nil
	}
}
