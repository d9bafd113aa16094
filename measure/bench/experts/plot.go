package experts

import (
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = vg.Length(680)
	plotHeight = vg.Length(340)
)

// writePlots writes two plots for each size and scenario.
func writePlots(dir string, results []Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	groups := make(map[string][]Result)
	for _, r := range results {
		key := r.Size + "-" + r.Scenario
		groups[key] = append(groups[key], r)
	}
	for key, group := range groups {
		if err := plotSkewOverTime(filepath.Join(dir, key+"-skew.png"), key, group); err != nil {
			return err
		}
		if err := plotSkewAgainstMoves(filepath.Join(dir, key+"-moves.png"), key, group); err != nil {
			return err
		}
	}
	return nil
}

func plotSkewOverTime(file, title string, results []Result) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "hours"
	p.X.Tick.Marker = hourTicks
	p.Y.Label.Text = "largest skew in ten minutes (log scale)"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = skewTicks
	for i, r := range results {
		line, err := plotter.NewLine(windowMaxima(r.series))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i) //nolint:misspell // name in gonum/plot
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	// The legend is placed beside the lines, so that it does not cover them.
	p.X.Max *= legendAxisFactor
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, file)
}

// legendAxisFactor extends the time axis by the width of the legend.
const legendAxisFactor = 1.2

var hourTicks = plot.ConstantTicks{
	{Value: 0, Label: "0"},
	{Value: 6, Label: "6"},
	{Value: 12, Label: "12"},
	{Value: 18, Label: "18"},
	{Value: 24, Label: "24"},
}

// skewTicks are denser near 1, where the results of the planner lie.
var skewTicks = plot.ConstantTicks{
	{Value: 1, Label: "1.00"},
	{Value: 1.02, Label: "1.02"},
	{Value: 1.05, Label: "1.05"},
	{Value: 1.1, Label: "1.1"},
	{Value: 1.2, Label: "1.2"},
	{Value: 1.5, Label: "1.5"},
	{Value: 2, Label: "2"},
	{Value: 3, Label: "3"},
	{Value: 5, Label: "5"},
}

// windowMaxima returns the largest value of each ten minutes. A line through
// all 5760 intervals of a day would be a solid band that hides the other
// policies.
func windowMaxima(series []float64) plotter.XYs {
	const window = 10 * perMinute
	var points plotter.XYs
	for chunk := range slices.Chunk(series, window) {
		points = append(points, plotter.XY{X: float64(len(points)*window) / (60 * perMinute), Y: slices.Max(chunk)})
	}
	return points
}

func plotSkewAgainstMoves(file, title string, results []Result) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "moves (log scale, 0 drawn as 1)"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = moveTicks
	p.Y.Label.Text = "p99 skew (log scale)"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = skewTicks
	for i, r := range results {
		scatter, err := plotter.NewScatter(plotter.XYs{{X: float64(max(1, r.Moves)), Y: r.SkewP99}})
		if err != nil {
			return err
		}
		scatter.Color = plotutil.Color(i) //nolint:misspell // name in gonum/plot
		scatter.Shape = plotutil.Shape(i)
		scatter.Radius = vg.Points(5)
		p.Add(scatter)
		p.Legend.Add(r.Policy, scatter)
	}
	p.Y.Min = 1
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, file)
}

var moveTicks = plot.ConstantTicks{
	{Value: 1, Label: "1"},
	{Value: 1e1, Label: "10"},
	{Value: 1e2, Label: "100"},
	{Value: 1e3, Label: "1k"},
	{Value: 1e4, Label: "10k"},
	{Value: 1e5, Label: "100k"},
	{Value: 1e6, Label: "1M"},
	{Value: 1e7, Label: "10M"},
}
