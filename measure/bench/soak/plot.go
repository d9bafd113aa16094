package soak

import (
	"image/color" //nolint:misspell // name in the standard library
	"maps"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/filbertmux/filbertmux/measure/scenarios"
)

const (
	plotWidth  = vg.Length(900)
	plotHeight = vg.Length(380)
	// legendAxisFactor extends the time axis by the width of the legend.
	legendAxisFactor = 1.2
)

// faultGroups are the faults that share a mark, by the beginning of their text. Faults
// with other beginnings end or ease something and are not marked.
var faultGroups = []struct {
	name     string
	prefixes []string
}{
	{"process", []string{"KILL ", "TERM ", "STOP ", "HUP ", "crash of "}},
	{"network", []string{"platform link ", "peer link "}},
	{"store", []string{"platform {"}},
	{"clients", []string{"crowd of "}},
	{"operators", []string{"operator of "}},
	{"end of all faults", []string{"end of all faults"}},
}

// writePlot plots the complete answers in each second, with a row of marks for the faults
// of each group below the axis and a line at the end of all faults.
func writePlot(file string, report scenarios.SoakReport) error {
	p := plot.New()
	p.X.Label.Text = "s"
	p.Y.Label.Text = "complete answers in each second"
	highest := 1.0
	for i, kind := range slices.Sorted(maps.Keys(report.Served)) {
		points := make(plotter.XYs, len(report.Served[kind]))
		for second, n := range report.Served[kind] {
			points[second] = plotter.XY{X: float64(second), Y: float64(n)}
			highest = max(highest, float64(n))
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i) //nolint:misspell // name in gonum/plot
		p.Add(line)
		p.Legend.Add(kind, line)
	}
	for i, group := range faultGroups {
		if err := addMarks(p, i, group.name, marks(report.Faults, group.prefixes, -highest*float64(i+1)/20)); err != nil {
			return err
		}
	}
	p.X.Min, p.X.Max = 0, report.Seconds*legendAxisFactor
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, file)
}

func marks(faults []scenarios.Fault, prefixes []string, y float64) plotter.XYs {
	var points plotter.XYs
	for _, f := range faults {
		if slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(f.Text, prefix) }) {
			points = append(points, plotter.XY{X: f.After.Seconds(), Y: y})
		}
	}
	return points
}

func addMarks(p *plot.Plot, i int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	scatter.Color = color.Gray{Y: 90} //nolint:misspell // name in the standard library
	scatter.Shape = plotutil.Shape(i)
	scatter.Radius = vg.Points(2.5)
	p.Add(scatter)
	p.Legend.Add(name, scatter)
	return nil
}
