// Package capacity measures how state, bytes and processor time of each role
// grow with size, and extrapolates to the design size of docs/design.md.
//
// It is the source of the figures in docs/CAPACITY.md.
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

// Sizes of docs/design.md, section 5.
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

// Cmd prints the slopes and the figures at the design size.
type Cmd struct {
	JSON bool `help:"Print one JSON object."`
}

// Run implements kong's run interface.
func (c *Cmd) Run() error {
	slopes, err := Measure()
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(slopes)
	}
	return Print(os.Stdout, slopes)
}

// Point is one measurement at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// LinearFit is how one quantity of one role grows.
type LinearFit struct {
	Role     string  `json:"role"`
	Quantity string  `json:"quantity"`
	SizeUnit string  `json:"size_unit"`
	Unit     string  `json:"unit"`
	Points   []Point `json:"points"`
	// Intercept and Slope are the least-squares line through the points.
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"per_size"`
	// DesignSize and AtDesign are the size in docs/design.md and the value of
	// the line there.
	DesignSize float64 `json:"design_size"`
	AtDesign   float64 `json:"at_design"`
}

// series describes a quantity to be measured at several sizes.
type series struct {
	role, quantity, sizeUnit, unit string
	sizes                          []int
	designSize                     float64
	measure                        func(size int) (float64, error)
}

// Measure runs all measurements.
func Measure() ([]LinearFit, error) {
	all := [][]series{tableSeries(), claimSeries(), entrySeries(), wireSeries(), holderSeries()}
	var slopes []LinearFit
	for _, group := range all {
		for _, s := range group {
			slope, err := s.run()
			if err != nil {
				return nil, err
			}
			slopes = append(slopes, slope)
		}
	}
	return slopes, nil
}

func (s series) run() (LinearFit, error) {
	slope := LinearFit{
		Role: s.role, Quantity: s.quantity, SizeUnit: s.sizeUnit, Unit: s.unit, DesignSize: s.designSize,
	}
	var x, y []float64
	for _, size := range s.sizes {
		value, err := s.measure(size)
		if err != nil {
			return LinearFit{}, err
		}
		slope.Points = append(slope.Points, Point{Size: float64(size), Value: value})
		x = append(x, float64(size))
		y = append(y, value)
	}
	slope.Intercept, slope.Slope = stat.LinearRegression(x, y, nil, false)
	slope.AtDesign = slope.Intercept + slope.Slope*s.designSize
	return slope, nil
}

// Print writes the slopes as a Markdown table.
func Print(w io.Writer, slopes []LinearFit) error {
	if _, err := fmt.Fprintln(w, "| role | quantity | size | measured at | slope | at design size |\n| --- | --- | --- | --- | --- | --- |"); err != nil {
		return err
	}
	for _, s := range slopes {
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

// minTiming is how long a timed loop runs at the least.
const minTiming = 50 * time.Millisecond

// timePerCall returns the seconds that one call of f takes on average.
func timePerCall(f func()) float64 {
	f()
	calls := 0
	start := time.Now()
	for time.Since(start) < minTiming {
		f()
		calls++
	}
	return time.Since(start).Seconds() / float64(calls)
}

// heapOf returns the bytes of heap that the result of build keeps alive.
func heapOf(build func() any) float64 {
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
