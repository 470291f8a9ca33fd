package labcommand

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"lilacvane/internal/lab/scale"
)

type scaleCommand struct {
	Vary    []string      `default:"nodes,runners,models,owned,changes,zones,active" help:"Sizes to vary, one at a time."`
	Out     string        `default:"docs/capacity" help:"Directory for points (JSON) and plots."`
	Settle  time.Duration `default:"8s" help:"Time to settle before a measurement."`
	Measure time.Duration `default:"20s" help:"Length of a measurement."`
}

// dimension is one size that is varied.
type dimension struct {
	values []float64
	set    func(*scale.Size, float64)
	of     func(scale.Size) float64
	target float64
}

var baseSize = scale.Size{Nodes: 24, Runners: 24, Models: 100, Changes: 0.5, Zones: 6, Regions: 3, Active: 8}

var dimensions = map[string]dimension{
	"nodes":   {[]float64{12, 24, 48, 96, 192}, func(s *scale.Size, v float64) { s.Nodes = int(v) }, func(s scale.Size) float64 { return float64(s.Nodes) }, 2100},
	"runners": {[]float64{24, 48, 96, 192}, func(s *scale.Size, v float64) { s.Runners = int(v) }, func(s scale.Size) float64 { return float64(s.Runners) / float64(s.Nodes) }, 10000.0 / 2100},
	"models":  {[]float64{100, 400, 1600, 3200}, func(s *scale.Size, v float64) { s.Models = int(v) }, func(s scale.Size) float64 { return float64(s.Models) }, 11093},
	"changes": {[]float64{0.25, 1, 2, 4}, func(s *scale.Size, v float64) { s.Changes = v }, func(s scale.Size) float64 { return s.Changes }, 25000.0 / 86400},
	// owned varies the models that one node coordinates, at a fixed number of
	// models, to tell its cost from that of knowing the models.
	"owned":  {[]float64{12, 24, 48, 96}, func(s *scale.Size, v float64) { s.Nodes, s.Models = int(v), 1600 }, func(s scale.Size) float64 { return float64(s.Models) / float64(s.Nodes) }, 11093.0 / 2100},
	"zones":  {[]float64{3, 6, 9, 12}, func(s *scale.Size, v float64) { s.Zones = int(v) }, func(s scale.Size) float64 { return float64(s.Zones) }, 11},
	"active": {[]float64{0, 8, 16, 32}, func(s *scale.Size, v float64) { s.Active = int(v) }, func(s scale.Size) float64 { return float64(s.Active) }, 30},
}

// Run measures the slopes and stores points, fits and plots.
func (c *scaleCommand) Run(s streams) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	for _, name := range c.Vary {
		d, known := dimensions[name]
		if !known {
			return fmt.Errorf("unknown size %q", name)
		}
		if err := c.series(s, name, d, filepath.Dir(executable)); err != nil {
			return err
		}
	}
	return nil
}

func (c *scaleCommand) series(s streams, name string, d dimension, programs string) error {
	series := &scale.Series{Varies: name}
	for _, value := range d.values {
		size := baseSize
		d.set(&size, value)
		point, err := c.point(size, programs)
		if err != nil {
			return fmt.Errorf("%s %g: %w", name, value, err)
		}
		series.Points = append(series.Points, point)
		fmt.Fprintf(s.err, "%s %g: %+v\n", name, value, point.Cost)
	}
	series.FitAll(d.of, d.target)
	series.Print(s.out)
	if err := scale.Store(filepath.Join(c.Out, name+".json"), []*scale.Series{series}); err != nil {
		return err
	}
	const cpu, peers = 0, 2
	for _, cost := range []int{cpu, peers} {
		path := filepath.Join(c.Out, fmt.Sprintf("%s-%s.svg", name, series.Fits[cost].Cost))
		if err := series.Plot(path, d.of, cost); err != nil {
			return err
		}
	}
	return nil
}

func (c *scaleCommand) point(size scale.Size, programs string) (scale.Point, error) {
	directory, err := os.MkdirTemp("", "lilacvane-scale-")
	if err != nil {
		return scale.Point{}, err
	}
	defer os.RemoveAll(directory)
	return scale.Run(context.Background(), size, scale.Options{Directory: directory, Programs: programs, Settle: c.Settle, Measure: c.Measure})
}
