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

// scenario is an experiment: configurations run side by side over one trace.
type scenario struct {
	Name           string        `yaml:"name"`
	Deployment     string        `yaml:"deployment"`
	Seed           uint64        `yaml:"seed"`
	LearnDays      int           `yaml:"learnDays"`
	MeasureDays    int           `yaml:"measureDays"`
	Deadline       time.Duration `yaml:"deadline"`
	Exchange       float64       `yaml:"idleSecondsPerColdSecond"`
	TailPower      float64       `yaml:"tailPower"`
	Configurations []struct {
		Name           string        `yaml:"name"`
		FixedKeepAlive time.Duration `yaml:"fixedKeepAlive"`
		WakeAhead      bool          `yaml:"wakeAhead"`
	} `yaml:"configurations"`
}

type experimentReport struct {
	Scenario   string                `json:"scenario"`
	Deployment experiment.Deployment `json:"deployment"`
	Options    experiment.Options    `json:"options"`
	Outcomes   []experiment.Outcome  `json:"outcomes"`
}

// Run runs the scenario and writes its report.
func (c *experimentCommand) Run(s commandline.Streams) error {
	content, err := os.ReadFile(c.Scenario)
	if err != nil {
		return err
	}
	var described scenario
	if err := yaml.Unmarshal(content, &described); err != nil {
		return err
	}
	deployments := map[string]experiment.Deployment{"montevideo": experiment.Montevideo, "santiago": experiment.Santiago}
	deployment, known := deployments[described.Deployment]
	if !known {
		return fmt.Errorf("unknown deployment %q", described.Deployment)
	}
	if described.Exchange > 0 {
		deployment.Exchange = described.Exchange
	}
	if described.TailPower > 0 {
		deployment.TailPower = described.TailPower
	}
	report := experimentReport{Scenario: described.Name, Deployment: deployment, Options: experiment.Options{
		Seed: described.Seed, LearnDays: described.LearnDays, MeasureDays: described.MeasureDays, Deadline: described.Deadline,
	}}
	fmt.Fprintf(s.Out, "%-28s %9s %9s %9s %9s %9s %9s %8s %8s %6s\n", described.Name, "coldP50", "coldP95", "coldP99", "allP95", "allP99", "idleHours", "cold", "refused", "loads")
	for _, configured := range described.Configurations {
		configuration := experiment.Configuration{Name: configured.Name, Fixed: configured.FixedKeepAlive, Ahead: configured.WakeAhead}
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

const outcomePlotSide = 14 * vg.Centimeter

// plotOutcomes draws each configuration by its idle hours and the p99 wait of
// all requests.
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
		const shade = 60
		point.Color = color.RGBA{R: uint8(index * shade), G: uint8(255 - index*shade), B: 128, A: 255}
		p.Add(point)
		p.Legend.Add(outcome.Configuration.Name, point)
	}
	p.Add(plotter.NewGrid())
	return p.Save(outcomePlotSide, outcomePlotSide, path)
}
