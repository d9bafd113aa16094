package scenarios

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pollTimeout bounds each wait for a condition. It is far above the time that
	// any condition takes, so that a busy host does not cause failures.
	pollTimeout  = 90 * time.Second
	pollInterval = 20 * time.Millisecond
)

// raceDetectorOptions shortens the time that the race detector sleeps at the end
// of a process. The default of 1 s dominated the run time of the table scripts.
const raceDetectorOptions = "atexit_sleep_ms=20"

// reporter gets the results of a script or of a run with random faults. A testing.TB
// is one.
type reporter interface {
	Errorf(format string, args ...any)
	Logf(format string, args ...any)
	Failed() bool
}

// environment is the state of one script. Its maps are owned by the goroutine of
// the script. mu guards violations and bookingKeys, which other goroutines use as
// well, and additions to processes.
type environment struct {
	t         reporter
	dir       string
	processes map[string]*process
	links     map[string]*link
	calls     map[string]*call
	client    *http.Client
	// program is the name or the path of the program under test.
	program string
	// logsKept is set if the logs of the processes stay in dir.
	logsKept bool
	// checkAtShutdown, if set, runs further checks before the processes are killed.
	checkAtShutdown func()

	mu          sync.Mutex
	violations  []string
	bookingKeys map[string]bool
}

func newEnvironment(t reporter, dir string) *environment {
	return &environment{
		t: t, dir: dir, program: "filbertmux",
		processes: make(map[string]*process), links: make(map[string]*link), calls: make(map[string]*call),
		client:      &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		bookingKeys: make(map[string]bool),
	}
}

func (env *environment) recordViolation(text string) {
	env.mu.Lock()
	defer env.mu.Unlock()
	if !slices.Contains(env.violations, text) {
		env.t.Logf("violation: %s", text)
		env.violations = append(env.violations, text)
	}
}

// shutdown checks the invariants, kills all processes and, after a failure,
// prints the last lines of their logs.
func (env *environment) shutdown() {
	env.checkRuns()
	if env.checkAtShutdown != nil {
		env.checkAtShutdown()
	}
	for _, l := range env.links {
		l.close()
	}
	for _, p := range env.processes {
		p.kill()
	}
	for name, p := range env.processes {
		for _, marker := range []string{"DATA RACE", "panic:", "invariant violated"} {
			if log := p.log(); strings.Contains(log, marker) {
				_, after, _ := strings.Cut(log, marker)
				env.recordViolation(name + ": " + marker + " in its log: " + after[:min(len(after), logTailBytes)])
			}
		}
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, violation := range env.violations {
		env.t.Errorf("invariant: %s", violation)
	}
	if !env.t.Failed() || env.logsKept {
		return
	}
	for name, p := range env.processes {
		env.t.Logf("last lines of %s:\n%s", name, p.logTail())
	}
}

func (env *environment) plainProcesses() []*process {
	env.mu.Lock()
	defer env.mu.Unlock()
	var plain []*process
	for _, p := range env.processes {
		if p.kind == kindPlain {
			plain = append(plain, p)
		}
	}
	return plain
}

// checkRuns records a violation for each key that ran twice.
func (env *environment) checkRuns() {
	runs := env.runsByKey()
	for key := range env.bookingKeys {
		if runs[key] > 1 {
			env.recordViolation("key " + key + " ran " + strconv.Itoa(runs[key]) + " times")
		}
	}
}

// runsByKey returns the number of times that the plain services together ran each key.
func (env *environment) runsByKey() map[string]int {
	total := make(map[string]int)
	for _, p := range env.plainProcesses() {
		status, body, err := env.get("http://" + p.address + "/standin/runs-by-key")
		var runs map[string]int
		parseErr := json.Unmarshal([]byte(body), &runs)
		if err != nil || status != http.StatusOK || parseErr != nil {
			env.recordViolation("the runs could not be read from " + p.name)
			continue
		}
		for key, n := range runs {
			total[key] += n
		}
	}
	return total
}

// runs returns the number of times that the plain services together ran key.
func (env *environment) runs(key string) int {
	total := 0
	for _, p := range env.plainProcesses() {
		status, body, err := env.get("http://" + p.address + "/standin/runs?key=" + key)
		n, parseErr := strconv.Atoi(body)
		if err != nil || status != http.StatusOK || parseErr != nil {
			env.recordViolation("the runs of key " + key + " could not be read from " + p.name)
			continue
		}
		total += n
	}
	return total
}
