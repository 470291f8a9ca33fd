package labcommand

import (
	"encoding/json"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"time"

	"go.yaml.in/yaml/v3"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"lilacvane/internal/commandline"
	"lilacvane/internal/lab/experiment"
)

type experimentCommand struct {
	Scenario string `arg:"" help:"Scenario file (YAML): deployment, configurations, options."`
	Out      string `default:"docs/experiments" help:"Directory for the report (JSON) and the plot."`
}

// scenario is the content of a scenario file: configurations that run on the same trace.
type scenario struct {
	Name              string        `yaml:"name"`
	Deployment        string        `yaml:"deployment"`
	Seed              uint64        `yaml:"seed"`
	LearnDays         int           `yaml:"learnDays"`
	MeasureDays       int           `yaml:"measureDays"`
	Deadline          time.Duration `yaml:"deadline"`
	IdlePerColdSecond float64       `yaml:"idleSecondsPerColdSecond"`
	TailPower         float64       `yaml:"tailPower"`
	Configurations    []struct {
		Name           string        `yaml:"name"`
		FixedKeepAlive time.Duration `yaml:"fixedKeepAlive"`
		WakeAhead      bool          `yaml:"wakeAhead"`
	} `yaml:"configurations"`
}

// experimentReport is the content of a report file.
type experimentReport struct {
	Scenario   string                `json:"scenario"`
	Deployment experiment.Deployment `json:"deployment"`
	Options    experiment.Options    `json:"options"`
	Outcomes   []experiment.Outcome  `json:"outcomes"`
}

// Run runs the scenario, prints a table of the outcomes and writes the report.
func (c *experimentCommand) Run(s commandline.Streams) error {
	content, err := os.ReadFile(c.Scenario)
	if err != nil {
		return err
	}
	var spec scenario
	if err := yaml.Unmarshal(content, &spec); err != nil {
		return err
	}
	deployments := map[string]experiment.Deployment{"montevideo": experiment.Montevideo, "santiago": experiment.Santiago}
	deployment, known := deployments[spec.Deployment]
	if !known {
		return fmt.Errorf("unknown deployment %q", spec.Deployment)
	}
	if spec.IdlePerColdSecond > 0 {
		deployment.IdlePerColdSecond = spec.IdlePerColdSecond
	}
	if spec.TailPower > 0 {
		deployment.TailPower = spec.TailPower
	}
	report := experimentReport{Scenario: spec.Name, Deployment: deployment, Options: experiment.Options{
		Seed: spec.Seed, LearnDays: spec.LearnDays, MeasureDays: spec.MeasureDays, Deadline: spec.Deadline,
	}}
	fmt.Fprintf(s.Out, "%-28s %9s %9s %9s %9s %9s %9s %8s %8s %6s\n", spec.Name, "coldP50", "coldP95", "coldP99", "allP95", "allP99", "idleHours", "cold", "refused", "loads")
	for _, entry := range spec.Configurations {
		configuration := experiment.Configuration{Name: entry.Name, Fixed: entry.FixedKeepAlive, Ahead: entry.WakeAhead}
		outcome, err := experiment.Run(deployment, configuration, report.Options)
		if err != nil {
			return err
		}
		report.Outcomes = append(report.Outcomes, outcome)
		fmt.Fprintf(s.Out, "%-28s %8.2fs %8.2fs %8.2fs %8.2fs %8.2fs %9.1f %8d %8d %6d of %d requests\n", outcome.Configuration.Name,
			outcome.ColdP50, outcome.ColdP95, outcome.ColdP99, outcome.AllP95, outcome.AllP99, outcome.IdleHours, outcome.Cold, outcome.Refused, outcome.Loads, outcome.Requests)
	}
	return c.write(report)
}

func (c *experimentCommand) write(report experimentReport) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	content, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.Out, report.Scenario+".json"), append(content, '\n'), 0o644); err != nil {
		return err
	}
	return plotOutcomes(filepath.Join(c.Out, report.Scenario+".svg"), report)
}

const plotSize = 14 * vg.Centimeter

// plotOutcomes writes an SVG plot of the p99 wait of all requests over the idle hours, with a
// point for each configuration.
func plotOutcomes(path string, report experimentReport) error {
	p := plot.New()
	p.Title.Text = report.Scenario
	p.X.Label.Text = "idle accelerator hours"
	p.Y.Label.Text = "p99 wait for a ready replica, all requests (s)"
	for index, outcome := range report.Outcomes {
		point, err := plotter.NewScatter(plotter.XYs{{X: outcome.IdleHours, Y: outcome.AllP99}})
		if err != nil {
			return err
		}
		const colorStep = 60
		point.Color = color.RGBA{R: uint8(index * colorStep), G: uint8(255 - index*colorStep), B: 128, A: 255}
		p.Add(point)
		p.Legend.Add(outcome.Configuration.Name, point)
	}
	p.Add(plotter.NewGrid())
	return p.Save(plotSize, plotSize, path)
}
