package scale

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/lab/platformstub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/operator"
	"lilacvane/internal/settings"
)

// Size is the size of one measurement.
type Size struct {
	// Nodes counts the hollow and the three real ones.
	Nodes int `json:"nodes"`
	// Runners is the number of engines, Models of models (one replica each).
	Runners int `json:"runners"`
	Models  int `json:"models"`
	// Changes a second of the configuration.
	Changes float64 `json:"changesPerSecond"`
	Zones   int     `json:"zones"`
	Regions int     `json:"regions"`
	// Active is the number of models in use at each real node.
	Active int `json:"activeModels"`
}

// Point is the outcome of one measurement.
type Point struct {
	Size     Size                     `json:"size"`
	Cost     Cost                     `json:"cost"`
	Platform platformstub.TableCounts `json:"tableCalls"`
	Seconds  float64                  `json:"seconds"`
	// StartSeconds is how long it took until everything was up and granted.
	StartSeconds float64 `json:"startSeconds"`
}

// Options of a measurement.
type Options struct {
	Directory string
	Programs  string
	Settle    time.Duration
	Measure   time.Duration
}

const (
	// settledDatagram is the size in bytes below which datagrams carry hardly
	// any news of members.
	settledDatagram = 200.0
	settleLook      = 5 * time.Second
	settlePatience  = 10 * time.Minute
	realNodes       = 3
	hollowAProcess  = 80
	modelMemoryMiB  = 8
	engineMemory    = 1 << 20
	applyBatch      = 50
	startPatience   = 4 * time.Minute
	pollPause       = 100 * time.Millisecond
	forcePause      = 5 * time.Millisecond
	forcePatience   = 30 * time.Second
)

// Run brings a fleet of a size up and measures the real nodes.
func Run(ctx context.Context, size Size, options Options) (Point, error) {
	point := Point{Size: size}
	began := time.Now()
	w, err := world.New(world.Options{
		Directory: options.Directory, Programs: options.Programs, Region: "region-0", TimeZone: "UTC",
		LoadsPerSecond: 100, Concurrency: 50, MiBPerSecond: 1024, MachineLag: time.Second, TableRate: 5000,
		Adjust: func(s *settings.Settings) { s.Log.Level = "error" },
	})
	if err != nil {
		return point, err
	}
	f := &fleet{world: w, size: size, options: options}
	defer f.close()
	if err := f.start(ctx); err != nil {
		return point, err
	}
	point.StartSeconds = time.Since(began).Seconds()
	loadContext, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	go f.use(loadContext)
	time.Sleep(options.Settle)
	if err := f.waitSettled(); err != nil {
		return point, err
	}
	return point, f.measure(ctx, &point)
}

// fleet is a running world with its hollow processes.
type fleet struct {
	world   *world.World
	size    Size
	options Options
	real    []*world.Node
	hollow  []*world.Process
}

func (f *fleet) close() {
	for _, process := range f.hollow {
		process.Kill()
	}
	f.world.Close()
}

func (f *fleet) start(ctx context.Context) error {
	places := Places(f.size.Zones, f.size.Regions)
	engines, err := f.world.StartHollowEngines(0, f.size.Runners, f.size.Zones, f.size.Regions, engineMemory)
	if err != nil {
		return err
	}
	f.hollow = append(f.hollow, engines)
	for index := range realNodes {
		place := places[index%len(places)]
		f.world.Adjust = func(s *settings.Settings) {
			s.Log.Level = "error"
			s.Region = place.Region
			s.Sleep.FixedKeepAlive = time.Hour
		}
		node, err := f.world.StartNode(fmt.Sprintf("real-%d", index), place.Zone)
		if err != nil {
			return err
		}
		f.real = append(f.real, node)
	}
	for started, number := realNodes, 0; started < f.size.Nodes; number++ {
		count := min(hollowAProcess, f.size.Nodes-started)
		process, err := f.world.StartHollowNodes(number, count, f.size.Zones, f.size.Regions)
		if err != nil {
			return err
		}
		f.hollow = append(f.hollow, process)
		started += count
	}
	if err := f.applyModels(ctx); err != nil {
		return err
	}
	return f.waitUp(ctx)
}

func modelName(index int) string { return fmt.Sprintf("model-%05d", index) }

func (f *fleet) applyModels(ctx context.Context) error {
	for first := 0; first < f.size.Models; first += applyBatch {
		var objects []api.Object
		for index := first; index < min(first+applyBatch, f.size.Models); index++ {
			name := modelName(index)
			objects = append(objects,
				api.NewObject(api.KindVersion, name+"-v1", api.Version{Model: name, Checkpoint: name, MemoryMiB: modelMemoryMiB}),
				api.NewObject(api.KindModel, name, api.Model{ActiveVersion: name + "-v1", Replicas: 1}))
		}
		submission := operator.Submission{Operation: "scale-" + rand.Text(), Author: "lab", Apply: objects}
		if _, err := f.real[0].Client().Submit(ctx, submission); err != nil {
			return err
		}
	}
	return nil
}

// waitUp waits until the real nodes see all nodes alive and all models granted.
func (f *fleet) waitUp(ctx context.Context) error {
	deadline := time.Now().Add(startPatience)
	var last error
	for time.Now().Before(deadline) {
		if last = f.isUp(ctx); last == nil {
			return nil
		}
		time.Sleep(pollPause)
	}
	return fmt.Errorf("the fleet did not come up: %w", last)
}

func (f *fleet) isUp(ctx context.Context) error {
	for _, node := range f.real {
		status, err := node.Client().Status(ctx)
		if err != nil {
			return err
		}
		alive := 0
		for _, member := range status.Members {
			if member.State.String() == "alive" {
				alive++
			}
		}
		granted := 0
		for _, model := range status.Models {
			granted += model.Granted
		}
		if alive < f.size.Nodes || granted < f.size.Models {
			return fmt.Errorf("%s sees %d nodes and %d grants", node.Name, alive, granted)
		}
	}
	return nil
}

// waitSettled waits until the real nodes have passed on what they learned of the
// members that joined at the start, so that the measurement shows a fleet at
// rest.
func (f *fleet) waitSettled() error {
	deadline := time.Now().Add(settlePatience)
	before, err := f.samples()
	for err == nil && time.Now().Before(deadline) {
		time.Sleep(settleLook)
		var after []Sample
		if after, err = f.samples(); err != nil {
			return err
		}
		largest := 0.0
		for index := range after {
			largest = max(largest, datagramSize(before[index], after[index]))
		}
		if largest < settledDatagram {
			return nil
		}
		before = after
	}
	if err == nil {
		err = fmt.Errorf("the fleet did not settle within %s", settlePatience)
	}
	return err
}

func (f *fleet) measure(ctx context.Context, point *Point) error {
	before, err := f.samples()
	if err != nil {
		return err
	}
	began := time.Now()
	force, err := f.change(ctx)
	if err != nil {
		return err
	}
	after, err := f.samples()
	if err != nil {
		return err
	}
	took := time.Since(began)
	costs := make([]Cost, len(before))
	for index := range before {
		costs[index] = Between(before[index], after[index], took)
	}
	point.Cost = Mean(costs)
	point.Cost.ForceSeconds = force.Seconds()
	point.Seconds = took.Seconds()
	point.Platform, err = f.world.TableCounts()
	return err
}

func (f *fleet) samples() ([]Sample, error) {
	samples := make([]Sample, len(f.real))
	for index, node := range f.real {
		sample, err := Take(node.ID(), node.Operators)
		if err != nil {
			return nil, err
		}
		samples[index] = sample
	}
	return samples, nil
}

// change makes configuration changes at the wanted rate for the time of the
// measurement and returns the longest time one took to be in force at all real
// nodes.
func (f *fleet) change(ctx context.Context) (time.Duration, error) {
	until := time.Now().Add(f.options.Measure)
	if f.size.Changes == 0 {
		time.Sleep(f.options.Measure)
		return 0, nil
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	var longest time.Duration
	ticker := time.NewTicker(time.Duration(float64(time.Second) / f.size.Changes))
	defer ticker.Stop()
	for number := 0; time.Now().Before(until); number++ {
		<-ticker.C
		object := api.NewObject(api.KindPolicy, "scale-"+rand.Text(), api.Policy{Models: []string{"none"}, Ready: "0"})
		submission := operator.Submission{Operation: "scale-" + rand.Text(), Author: "lab", Apply: []api.Object{object}}
		if _, err := f.real[number%len(f.real)].Client().Submit(ctx, submission); err != nil {
			return 0, err
		}
		accepted := time.Now()
		group.Go(func() {
			f.waitInForce(ctx, object.Name)
			mutex.Lock()
			defer mutex.Unlock()
			longest = max(longest, time.Since(accepted))
		})
	}
	group.Wait()
	return longest, nil
}

func (f *fleet) waitInForce(ctx context.Context, name string) {
	deadline := time.Now().Add(forcePatience)
	for _, node := range f.real {
		for time.Now().Before(deadline) {
			if _, err := node.Client().Get(ctx, api.KindPolicy, name); err == nil {
				break
			}
			time.Sleep(forcePause)
		}
	}
}
