package scale

import (
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"math"
	"os"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Series is a set of measurements in which one size varies.
type Series struct {
	Varies string  `json:"varies"`
	Points []Point `json:"points"`
	Fits   []Fit   `json:"fits"`
}

// Fit is a straight line through the points: cost = Base + Slope * size.
// Residual is the standard deviation of the points from it.
type Fit struct {
	Cost     string  `json:"cost"`
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope"`
	Residual float64 `json:"residual"`
	// Target is the size to extrapolate to, AtTarget the line's value there.
	Target   float64 `json:"target"`
	AtTarget float64 `json:"atTarget"`
}

// costs names the figures that are fitted.
var costs = []struct {
	name string
	of   func(Cost) float64
}{
	{"cpuPercent", func(c Cost) float64 { return c.CPUPercent }},
	{"rssMiB", func(c Cost) float64 { return c.RSSMiB }},
	{"peerBytesPerSecond", func(c Cost) float64 { return c.PeerBytes }},
	{"platformBytesPerSecond", func(c Cost) float64 { return c.PlatformBytes }},
	{"runnerBytesPerSecond", func(c Cost) float64 { return c.RunnerBytes }},
	{"forceSeconds", func(c Cost) float64 { return c.ForceSeconds }},
}

// FitAll fits every cost against the size that varies.
func (s *Series) FitAll(size func(Size) float64, target float64) {
	sizes := make([]float64, len(s.Points))
	for index, point := range s.Points {
		sizes[index] = size(point.Size)
	}
	for _, cost := range costs {
		values := make([]float64, len(s.Points))
		for index, point := range s.Points {
			values[index] = cost.of(point.Cost)
		}
		base, slope := stat.LinearRegression(sizes, values, nil, false)
		s.Fits = append(s.Fits, Fit{
			Cost: cost.name, Base: base, Slope: slope, Residual: residual(sizes, values, base, slope),
			Target: target, AtTarget: base + slope*target,
		})
	}
}

func residual(sizes, values []float64, base, slope float64) float64 {
	total := 0.0
	for index := range sizes {
		difference := values[index] - base - slope*sizes[index]
		total += difference * difference
	}
	return math.Sqrt(total / float64(max(1, len(sizes)-2)))
}

// Print writes the points and fits as text.
func (s *Series) Print(out io.Writer) {
	for _, point := range s.Points {
		c := point.Cost
		fmt.Fprintf(out, "%s %+v: cpu %.2f%% rss %.1f MiB peers %.0f B/s platform %.0f B/s runners %.0f B/s force %.3f s\n",
			s.Varies, point.Size, c.CPUPercent, c.RSSMiB, c.PeerBytes, c.PlatformBytes, c.RunnerBytes, c.ForceSeconds)
	}
	for _, fit := range s.Fits {
		fmt.Fprintf(out, "%s: %s = %.4g + %.4g * size, residual %.3g, at %g: %.4g\n", s.Varies, fit.Cost, fit.Base, fit.Slope, fit.Residual, fit.Target, fit.AtTarget)
	}
}

// Store writes the series as JSON.
func Store(path string, series []*Series) error {
	content, err := json.MarshalIndent(series, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(content, '\n'), 0o644)
}

const plotSide = 12 * vg.Centimeter

// Plot draws one cost of a series with its line.
func (s *Series) Plot(path string, size func(Size) float64, cost int) error {
	p := plot.New()
	p.Title.Text = costs[cost].name + " against " + s.Varies
	p.X.Label.Text = s.Varies
	p.Y.Label.Text = costs[cost].name
	points := make(plotter.XYs, len(s.Points))
	for index, point := range s.Points {
		points[index] = plotter.XY{X: size(point.Size), Y: costs[cost].of(point.Cost)}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	fit := s.Fits[cost]
	line := plotter.NewFunction(func(x float64) float64 { return fit.Base + fit.Slope*x })
	line.Color = color.Gray{Y: 128}
	p.Add(scatter, line, plotter.NewGrid())
	return p.Save(plotSide, plotSide, path)
}

// CostCount is the number of costs a series has, in the order of its Fits.
func CostCount() int { return len(costs) }
