// Package routing measures the decision packages of the entry (routing,
// fairqueue, limits, retry, membership, lifecycle) against small load models.
//
// Each experiment is a single-threaded discrete-event simulation in virtual
// time and is reproducible from its seed. The experiments share no state, so
// Run executes them in parallel.
package routing

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

// Cmd is the command filbertmux-bench routing.
type Cmd struct {
	Seed     uint64   `default:"1" help:"Seed of all random numbers."`
	JSON     bool     `help:"Print one JSON document in place of tables."`
	Replicas []int    `default:"12,600" help:"Numbers of replicas for the policies."`
	Only     []string `help:"Experiments to run (default: all)." enum:"policies,priority,limits,retry,faults,membership"`
}

// Results holds the results of all experiments of one run.
type Results struct {
	Seed       uint64             `json:"seed"`
	Policies   []PolicyResult     `json:"policies,omitempty"`
	Priority   *PriorityResult    `json:"priority,omitempty"`
	Limits     []LimitsResult     `json:"limits,omitempty"`
	Retry      []RetryResult      `json:"retry,omitempty"`
	Faults     []RetryResult      `json:"faults,omitempty"`
	Membership []MembershipResult `json:"membership,omitempty"`
}

// Run implements the kong command.
func (c *Cmd) Run() error {
	results := c.runExperiments()
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(results), "encode results")
	}
	return results.print(os.Stdout)
}

func (c *Cmd) runExperiments() *Results {
	results := &Results{Seed: c.Seed}
	var group errgroup.Group
	// A policy run at 600 replicas takes about 100 MB of memory.
	group.SetLimit(4)
	run := func(name string, f func()) {
		if !c.selected(name) {
			return
		}
		group.Go(func() error {
			f()
			return nil
		})
	}
	results.Policies = runPolicies(c.Seed, c.Replicas, run)
	run("priority", func() { results.Priority = runPriority(c.Seed) })
	run("limits", func() { results.Limits = runLimits(c.Seed) })
	run("retry", func() { results.Retry = runRetry(c.Seed) })
	run("faults", func() { results.Faults = runFaults(c.Seed) })
	run("membership", func() { results.Membership = runMembership(c.Seed) })
	_ = group.Wait()
	if !c.selected("policies") {
		results.Policies = nil
	}
	return results
}

func (c *Cmd) selected(name string) bool {
	if len(c.Only) == 0 {
		return true
	}
	for _, only := range c.Only {
		if only == name {
			return true
		}
	}
	return false
}

// print writes the results as text tables.
func (r *Results) print(w io.Writer) error {
	p := &errWriter{w: w}
	p.printLine("replay: filbertmux-bench routing --seed %d", r.Seed)
	if len(r.Policies) > 0 {
		p.printLine("\n%-10s%-32s%10s%10s%8s%12s%8s", "replicas", "policy", "p50 ms", "p99 ms", "hits", "control B/s", "skew")
	}
	for _, x := range r.Policies {
		p.printLine("%-10d%-32s%10.1f%10.1f%7.1f%%%12.0f%8.2f", x.Replicas, x.Policy, x.P50Millis, x.P99Millis,
			100*x.PrefixHitShare, x.ControlBytesPerSecond, x.InFlightSkew)
	}
	r.Priority.print(p)
	printLimits(p, r.Limits)
	printRetry(p, "retry", r.Retry)
	printRetry(p, "request life cycle", r.Faults)
	printMembership(p, r.Membership)
	return p.err
}

// errWriter writes lines until the first error and keeps that error.
type errWriter struct {
	w   io.Writer
	err error
}

func (p *errWriter) printLine(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}
