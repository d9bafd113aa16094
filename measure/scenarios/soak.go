package scenarios

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"
)

// Usual values of SoakOptions.
const (
	SoakSeriesFaults     = 3
	SoakOverlappingSteps = 20
)

// SoakOptions configures Soak.
type SoakOptions struct {
	Seed uint64
	// Duration is the time during which rounds of faults begin.
	Duration time.Duration
	// SeriesFaults and OverlappingSteps are the faults of a round: those that end before the
	// next one begins, and the steps of one or two faults that overlap.
	SeriesFaults, OverlappingSteps int
	// Program is the path of filbertmux without the race detector.
	Program string
	// Dir is where the processes run and write their logs.
	Dir string
	// Print gets one line at a time.
	Print func(line string)
}

// SoakReport is what a soak run has seen.
type SoakReport struct {
	Seed       uint64           `json:"seed"`
	Seconds    float64          `json:"seconds"`
	Faults     []Fault          `json:"faults"`
	Served     map[string][]int `json:"served"` // complete answers by kind of call and second
	Answers    map[string]int   `json:"answers"`
	Violations []string         `json:"violations"`
	// PeakMemoryMB is the highest resident memory by role.
	PeakMemoryMB map[string]int `json:"peak_memory_mb"`
	// EvacuationChecks is the number of calls that were sent to an entry which had an
	// evacuation in force.
	EvacuationChecks int `json:"evacuation_checks"`
}

// Soak runs a deployment of separate processes under random faults of one seed and checks
// what is promised. The times at which the faults meet the calls differ between runs. The
// error says why a run was not possible; violations are in the report.
func Soak(ctx context.Context, o SoakOptions) (SoakReport, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return SoakReport{}, err
	}
	printer := &soakReporter{print: o.Print}
	env := newEnvironment(printer, o.Dir)
	env.program, env.logsKept = o.Program, true
	r, err := newRandomRun(env, o.Seed, true)
	if err != nil {
		printer.Errorf("the deployment did not start: %v", err)
		env.shutdown()
		return SoakReport{}, err
	}
	err = r.run(func() error { return r.soakRounds(ctx, o) })
	if err != nil && ctx.Err() == nil {
		// A condition that does not come true in time is a violation.
		printer.Errorf("%v", err)
	}
	env.shutdown()
	return r.report(o.Seed, printer.violations()), context.Cause(ctx)
}

// soakRounds repeats rounds of faults. Each ends with all promises checked.
func (r *randomRun) soakRounds(ctx context.Context, o SoakOptions) error {
	for first := true; first || time.Since(r.began) < o.Duration; first = false {
		if err := r.round(ctx, o.SeriesFaults, o.OverlappingSteps); err != nil {
			return err
		}
	}
	return nil
}

// run does the rounds while callers send calls, and checks the last bookings.
func (r *randomRun) run(rounds func() error) error {
	r.began = time.Now()
	callers := r.startCallers()
	err := rounds()
	close(r.stopped)
	callers.Wait()
	r.watchers.Wait()
	r.t.Logf("answers: %v, calls to entries with an evacuation in force: %d, peak memory in MiB: %v",
		r.eventCounts, r.evacuations.checkedCalls(), r.peakMemoryMB)
	if err != nil {
		return err
	}
	r.readAllReceived()
	return r.checkBookings()
}

func (r *randomRun) report(seed uint64, violations []string) SoakReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return SoakReport{
		Seed: seed, Seconds: time.Since(r.began).Seconds(), Faults: r.faults, Served: r.served, Answers: r.eventCounts,
		Violations: violations, PeakMemoryMB: r.peakMemoryMB, EvacuationChecks: r.evacuations.checkedCalls(),
	}
}

// soakReporter prints the lines of a run and keeps the violations. It is safe for
// concurrent use.
type soakReporter struct {
	print func(string)
	mu    sync.Mutex
	found []string
}

// Errorf implements reporter.
func (p *soakReporter) Errorf(format string, args ...any) {
	p.mu.Lock()
	p.found = append(p.found, fmt.Sprintf(format, args...))
	p.mu.Unlock()
	p.Logf("VIOLATION "+format, args...)
}

// Logf implements reporter.
func (p *soakReporter) Logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.print(fmt.Sprintf(format, args...))
}

// Failed implements reporter.
func (p *soakReporter) Failed() bool { return len(p.violations()) > 0 }

func (p *soakReporter) violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string{}, p.found...)
}
