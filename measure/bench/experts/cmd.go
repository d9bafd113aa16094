// Package experts compares the expert planner with simpler placement policies
// in a simulation of one rank group.
package experts

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	planner "github.com/filbertmux/filbertmux/rankgroup/experts"
)

// Cmd is the command filbertmux-bench experts.
type Cmd struct {
	Seed     uint64   `help:"Seed of the workload." default:"1"`
	JSON     bool     `help:"Print the results as JSON." name:"json"`
	Plot     string   `help:"Directory for PNG plots." type:"path" placeholder:"DIR"`
	Parallel int      `help:"Number of runs at the same time. Planner times are only meaningful at 1." default:"4"`
	Size     []string `help:"Only these sizes." enum:"today,design" default:"today,design"`
	Policy   []string `help:"Only these policies." enum:"never,replan-each,threshold,skew-weighted,cost-weighted" default:"never,replan-each,threshold,skew-weighted,cost-weighted"`
	// Search, Layers and Hours allow comparisons with other settings.
	Search   float64  `help:"Part of the layers that one plan searches." default:"1"`
	Layers   int      `help:"Number of layers in place of that of the size."`
	Hours    float64  `help:"Simulated hours from midnight." default:"24"`
	Scenario []string `help:"Only these scenarios." enum:"drift,mix-change,spike,stalled-rank" default:"drift,mix-change,spike,stalled-rank"`
}

// Run simulates all selected policies in all selected scenarios and prints the
// results.
func (c *Cmd) Run() error {
	results, err := c.simulateAll()
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := writePlots(c.Plot, results); err != nil {
			return err
		}
	}
	if c.JSON {
		enc := json.NewEncoder(os.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(results)
	}
	return c.print(os.Stdout, results)
}

func (c *Cmd) simulateAll() ([]Result, error) {
	settings := planner.DefaultSettings()
	settings.SearchShare = c.Search
	last := min(intervals, int(c.Hours*60*perMinute))
	var jobs []func() (Result, error)
	for _, sz := range c.sizes() {
		for _, sc := range c.scenarios() {
			for _, p := range allPolicies(settings) {
				if !slices.Contains(c.Policy, p.name) {
					continue
				}
				jobs = append(jobs, func() (Result, error) { return simulateIntervals(sz, sc, c.Seed, settings, p, 0, last) })
			}
		}
	}
	results := make([]Result, len(jobs))
	var group errgroup.Group
	group.SetLimit(max(1, c.Parallel))
	for i, job := range jobs {
		group.Go(func() error {
			var err error
			results[i], err = job()
			return err
		})
	}
	return results, group.Wait()
}

func (c *Cmd) sizes() []groupSize {
	var chosen []groupSize
	for _, sz := range sizes {
		if slices.Contains(c.Size, sz.Name) {
			if c.Layers > 0 {
				sz.Layers = c.Layers
			}
			chosen = append(chosen, sz)
		}
	}
	return chosen
}

func (c *Cmd) scenarios() []scenario {
	var chosen []scenario
	for _, sc := range scenarios {
		if slices.Contains(c.Scenario, string(sc)) {
			chosen = append(chosen, sc)
		}
	}
	return chosen
}

func (c *Cmd) print(out io.Writer, results []Result) error {
	for _, sz := range c.sizes() {
		fmt.Fprintf(out, "size %s: %d ranks, %d experts, %d slots per rank, %d layers\n", //nolint:errcheck // reported by Flush
			sz.Name, sz.Ranks, sz.Experts, sz.SlotsPerRank, sz.Layers)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "size\tscenario\tpolicy\tskew p50\tskew p99\tbound p99\tratio p99\tlost s\tmoves\tplans\tGB\tstalled steps\twaiting\tplan ms p50\tp99\t") //nolint:errcheck // reported by Flush
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.4f\t%.4f\t%.4f\t%.4f\t%.0f\t%d\t%d\t%.0f\t%d\t%d\t%.2f\t%.2f\t\n", //nolint:errcheck // reported by Flush
			r.Size, r.Scenario, r.Policy, r.SkewP50, r.SkewP99, r.BoundP99, r.RatioP99,
			r.LostSeconds, r.Moves, r.Plans, r.Gigabytes, r.StalledSteps, r.WaitingSteps, r.PlanMillisP50, r.PlanMillisP99)
	}
	return w.Flush()
}
