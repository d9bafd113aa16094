package experts

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = vg.Length(680)
	plotHeight = vg.Length(340)
)

// plotAll draws two plots for each size and scenario.
func plotAll(dir string, results []Result) error {
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
	p.X.Label.Text = "minutes"
	p.Y.Label.Text = "skew (mean of the layers)"
	for i, r := range results {
		points := make(plotter.XYs, len(r.series))
		for at, skew := range r.series {
			points[at] = plotter.XY{X: float64(at) / float64(perMinute), Y: skew}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i) //nolint:misspell // name in gonum/plot
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, file)
}

func plotSkewAgainstMoves(file, title string, results []Result) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "moves"
	p.Y.Label.Text = "p99 skew"
	for i, r := range results {
		scatter, err := plotter.NewScatter(plotter.XYs{{X: float64(r.Moves), Y: r.SkewP99}})
		if err != nil {
			return err
		}
		scatter.Color = plotutil.Color(i) //nolint:misspell // name in gonum/plot
		scatter.Shape = plotutil.Shape(i)
		scatter.Radius = vg.Points(5)
		p.Add(scatter)
		p.Legend.Add(r.Policy, scatter)
	}
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, file)
}
