// Package capacity measures how memory, message sizes and processor time of each
// role grow with the size of a deployment, and extrapolates them linearly to the
// design size of docs/design.md.
//
// The values in docs/CAPACITY.md are measured with it.
package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Design sizes of docs/design.md, section 5.
const (
	designNodes           = 330
	designReplicas        = 600
	designGroups          = 150
	designOrganisations   = 1100
	designRequestsPerSec  = 1500
	designChangesPerDay   = 2200
	designRanks           = 32
	designExperts         = 256
	secondsPerDay         = 86400
	bookingShare          = 0.05
	designBookingsPerSec  = designRequestsPerSec * bookingShare
	designRequestsPerNode = float64(designRequestsPerSec) / designNodes
)

// Cmd is the command filbertmux-bench capacity. It prints the fitted lines and
// their values at the design size.
type Cmd struct {
	JSON bool `help:"Print one JSON object."`
}

// Run implements the kong command.
func (c *Cmd) Run() error {
	fits, err := Measure()
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(fits)
	}
	return Print(os.Stdout, fits)
}

// Point is one measurement at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// LinearFit describes how one quantity of one role grows with size.
type LinearFit struct {
	Role     string  `json:"role"`
	Quantity string  `json:"quantity"`
	SizeUnit string  `json:"size_unit"`
	Unit     string  `json:"unit"`
	Points   []Point `json:"points"`
	// Intercept and Slope define the least-squares line through Points.
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"per_size"`
	// DesignSize is the size in docs/design.md, and AtDesign the value of the
	// line at it.
	DesignSize float64 `json:"design_size"`
	AtDesign   float64 `json:"at_design"`
}

// measurementSeries describes a quantity that is measured at several sizes.
type measurementSeries struct {
	role, quantity, sizeUnit, unit string
	sizes                          []int
	designSize                     float64
	measure                        func(size int) (float64, error)
}

// Measure runs all measurements and returns their fitted lines.
func Measure() ([]LinearFit, error) {
	all := [][]measurementSeries{tableSeries(), claimSeries(), entrySeries(), wireSeries(), coordinatorSeries()}
	var fits []LinearFit
	for _, group := range all {
		for _, s := range group {
			fit, err := s.fit()
			if err != nil {
				return nil, err
			}
			fits = append(fits, fit)
		}
	}
	return fits, nil
}

func (s measurementSeries) fit() (LinearFit, error) {
	fit := LinearFit{
		Role: s.role, Quantity: s.quantity, SizeUnit: s.sizeUnit, Unit: s.unit, DesignSize: s.designSize,
	}
	var x, y []float64
	for _, size := range s.sizes {
		value, err := s.measure(size)
		if err != nil {
			return LinearFit{}, err
		}
		fit.Points = append(fit.Points, Point{Size: float64(size), Value: value})
		x = append(x, float64(size))
		y = append(y, value)
	}
	fit.Intercept, fit.Slope = stat.LinearRegression(x, y, nil, false)
	fit.AtDesign = fit.Intercept + fit.Slope*s.designSize
	return fit, nil
}

// Print writes the fitted lines as a Markdown table.
func Print(w io.Writer, fits []LinearFit) error {
	if _, err := fmt.Fprintln(w, "| role | quantity | size | measured at | slope | at design size |\n| --- | --- | --- | --- | --- | --- |"); err != nil {
		return err
	}
	for _, s := range fits {
		points := ""
		for _, p := range s.Points {
			points += fmt.Sprintf("%g: %.4g; ", p.Size, p.Value)
		}
		_, err := fmt.Fprintf(w, "| %s | %s | %s | %s| %.4g %s each | %.4g %s at %g |\n",
			s.Role, s.Quantity, s.SizeUnit, points, s.Slope, s.Unit, s.AtDesign, s.Unit, s.DesignSize)
		if err != nil {
			return err
		}
	}
	return nil
}

// minTimedDuration is the minimum run time of the loop in timePerCall.
const minTimedDuration = 50 * time.Millisecond

// timePerCall returns the average duration of a call of f in seconds.
func timePerCall(f func()) float64 {
	f()
	calls := 0
	start := time.Now()
	for time.Since(start) < minTimedDuration {
		f()
		calls++
	}
	return time.Since(start).Seconds() / float64(calls)
}

// retainedHeap returns the size of the heap that the result of build retains, in
// bytes.
func retainedHeap(build func() any) float64 {
	before := heapInUse()
	kept := build()
	after := heapInUse()
	runtime.KeepAlive(kept)
	if after < before {
		return 0
	}
	return float64(after - before)
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
