package labcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/engine"
	"lilacvane/internal/lab/load"
	"lilacvane/internal/lab/scale"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/operator"
	"lilacvane/internal/settings"
)

type pathCommand struct {
	Rates    []float64     `default:"50,100,200,400" help:"Requests a second, one measurement each."`
	Tokens   int           `default:"32" help:"Tokens of an answer."`
	Duration time.Duration `default:"10s" help:"Length of a measurement."`
	Streams  []int         `default:"0,250,500,1000" help:"Open streams at which the node's memory is read."`
	Out      string        `default:"docs/capacity" help:"Directory for the points (JSON)."`
}

// pathPoint is one measurement of the data path, directly to the engine or
// through a node. Latencies are in milliseconds.
type pathPoint struct {
	Way           string         `json:"way"`
	Rate          float64        `json:"requestsPerSecond"`
	First         quantiles      `json:"firstPart"`
	Between       quantiles      `json:"betweenParts"`
	Codes         map[string]int `json:"outcomes"`
	BytesAPart    float64        `json:"bytesPerPart"`
	NodeCPU       float64        `json:"nodeCPUPercent"`
	CPUARequest   float64        `json:"nodeCPUMillisecondsPerRequest"`
	CPUAPart      float64        `json:"nodeCPUMicrosecondsPerPart"`
	LateStartsMax float64        `json:"latestStart"`
}

type quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// streamPoint is the node's memory with a number of open streams.
type streamPoint struct {
	Streams int     `json:"streams"`
	RSSMiB  float64 `json:"rssMiB"`
}

type pathReport struct {
	Points  []pathPoint   `json:"points"`
	Streams []streamPoint `json:"streams"`
}

const (
	pathModel     = "path"
	pathSlots     = 100000
	pathToken     = 20 * time.Millisecond
	pathPrompt    = "measure the path of an answer through a node"
	streamTokens  = 2000
	streamSettle  = 4 * time.Second
	microsASecond = 1e6
)

// Run measures requests through one node against the engine itself.
func (c *pathCommand) Run(s streams) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	directory, err := os.MkdirTemp("", "lilacvane-path-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(directory)
	w, err := world.New(world.Options{
		Directory: directory, Programs: filepath.Dir(executable), Region: "region-0", TimeZone: "UTC",
		LoadsPerSecond: 100, Concurrency: 50, MiBPerSecond: 1024, MachineLag: 100 * time.Millisecond, TableRate: 1000,
		Adjust: func(s *settings.Settings) {
			s.Log.Level = "error"
			s.Sleep.FixedKeepAlive = time.Hour
			s.Runners.MachineInterval = 200 * time.Millisecond
		},
	})
	if err != nil {
		return err
	}
	defer w.Close()
	node, runner, err := c.prepare(w)
	if err != nil {
		return err
	}
	report, err := c.measure(s.out, node, runner)
	if err != nil {
		return err
	}
	content, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(c.Out, "path.json"), append(content, '\n'), 0o644)
}

func (c *pathCommand) prepare(w *world.World) (*world.Node, *world.Engine, error) {
	runner, err := w.StartEngine(world.EngineOptions{Name: "runner", Zone: "zone-0", MemoryMiB: 1 << 20, Slots: pathSlots, TokenTime: pathToken, FlatTokenTime: true})
	if err != nil {
		return nil, nil, err
	}
	node, err := w.StartNode("node", "zone-0")
	if err != nil {
		return nil, nil, err
	}
	objects := []api.Object{
		api.NewObject(api.KindVersion, pathModel+"-v1", api.Version{Model: pathModel, Checkpoint: pathModel, MemoryMiB: 8}),
		api.NewObject(api.KindModel, pathModel, api.Model{ActiveVersion: pathModel + "-v1", Replicas: 1}),
	}
	if _, err := node.Client().Submit(context.Background(), operator.Submission{Operation: "path", Apply: objects}); err != nil {
		return nil, nil, err
	}
	warm := load.Run(context.Background(), load.Options{Rate: 2, Duration: time.Second, Request: c.through(node, c.Tokens)})
	if warm.Codes["served"] == 0 {
		return nil, nil, fmt.Errorf("the model was not served: %v", warm.Codes)
	}
	return node, runner, nil
}

func (c *pathCommand) body(tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"prompt":%q}`, pathModel, tokens, pathPrompt)
}

// through makes requests to the node.
func (c *pathCommand) through(node *world.Node, tokens int) load.Request {
	return func(ctx context.Context, _ int) (*http.Request, error) {
		return http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.Callers+"/v1/completions", strings.NewReader(c.body(tokens)))
	}
}

// direct makes requests to the engine itself.
func (c *pathCommand) direct(runner *world.Engine, prefix string) load.Request {
	return func(ctx context.Context, number int) (*http.Request, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+runner.Machine.Address+engine.PathCompletion, strings.NewReader(c.body(c.Tokens)))
		if err != nil {
			return nil, err
		}
		request.Header.Set(engine.HeaderRequest, fmt.Sprintf("%s-%d", prefix, number))
		request.Header.Set(engine.HeaderUnit, pathModel)
		request.Header.Set(engine.HeaderVersion, pathModel+"-v1")
		return request, nil
	}
}

func (c *pathCommand) measure(out io.Writer, node *world.Node, runner *world.Engine) (pathReport, error) {
	var report pathReport
	for _, rate := range c.Rates {
		for _, way := range []string{"direct", "node"} {
			request := c.through(node, c.Tokens)
			if way == "direct" {
				request = c.direct(runner, fmt.Sprintf("direct-%g", rate))
			}
			point, err := c.point(node, way, rate, request)
			if err != nil {
				return report, err
			}
			fmt.Fprintf(out, "%+v\n", point)
			report.Points = append(report.Points, point)
		}
	}
	for _, count := range c.Streams {
		point, err := c.openStreams(node, count)
		if err != nil {
			return report, err
		}
		fmt.Fprintf(out, "%+v\n", point)
		report.Streams = append(report.Streams, point)
	}
	return report, nil
}

func (c *pathCommand) point(node *world.Node, way string, rate float64, request load.Request) (pathPoint, error) {
	before, err := scale.Take(node.ID(), node.Operators)
	if err != nil {
		return pathPoint{}, err
	}
	result := load.Run(context.Background(), load.Options{Rate: rate, Duration: c.Duration, Request: request})
	after, err := scale.Take(node.ID(), node.Operators)
	if err != nil {
		return pathPoint{}, err
	}
	used := after.CPU - before.CPU
	requests := rate * c.Duration.Seconds()
	const microsAMilli = 1000
	quantilesOf := func(q func(float64) int64) quantiles {
		return quantiles{P50: float64(q(50)) / microsAMilli, P95: float64(q(95)) / microsAMilli, P99: float64(q(99)) / microsAMilli}
	}
	return pathPoint{
		Way: way, Rate: rate, Codes: result.Codes,
		First: quantilesOf(result.First.ValueAtQuantile), Between: quantilesOf(result.Between.ValueAtQuantile),
		BytesAPart: float64(result.Bytes) / float64(max(1, result.Parts)),
		NodeCPU:    used.Seconds() / c.Duration.Seconds() * 100, CPUARequest: used.Seconds() * 1000 / requests,
		CPUAPart: used.Seconds() * microsASecond / float64(max(1, result.Parts)), LateStartsMax: float64(result.Late.Milliseconds()),
	}, nil
}

// openStreams reads the node's memory while streams are open.
func (c *pathCommand) openStreams(node *world.Node, count int) (streamPoint, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.Run(ctx, load.Options{Rate: float64(max(1, count)), Duration: time.Second * time.Duration(min(1, count)), Request: c.through(node, streamTokens)})
	}()
	time.Sleep(streamSettle)
	sample, err := scale.Take(node.ID(), node.Operators)
	cancel()
	<-done
	return streamPoint{Streams: count, RSSMiB: float64(sample.RSS) / (1 << 20)}, err
}
