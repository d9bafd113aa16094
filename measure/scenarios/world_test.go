package scenarios

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// patience bounds each wait for a condition. It is far above the time that
	// any condition takes, so that a busy machine does not change a verdict.
	patience     = 90 * time.Second
	pollInterval = 20 * time.Millisecond
)

// raceOptions shortens the wait of the race detector at the end of a process,
// which is 1 s by default and dominated the time of the table scripts.
const raceOptions = "atexit_sleep_ms=20"

type worldKey struct{}

// world is the state of one script. Its maps belong to the goroutine of the
// script; mu guards what the goroutines of calls and watches add, and additions
// to processes.
type world struct {
	t         testing.TB
	dir       string
	processes map[string]*process
	links     map[string]*link
	calls     map[string]*call
	client    *http.Client

	mu     sync.Mutex
	faults []string
	keys   map[string]bool
}

func newWorld(t testing.TB, dir string) *world {
	return &world{
		t: t, dir: dir,
		processes: make(map[string]*process), links: make(map[string]*link), calls: make(map[string]*call),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		keys:   make(map[string]bool),
	}
}

func setup(env *testscript.Env) error {
	w := newWorld(env.T().(testing.TB), env.WorkDir)
	env.Values[worldKey{}] = w
	env.Setenv("long", strings.Repeat("x", 300))
	env.Setenv("GORACE", raceOptions)
	env.Defer(w.end)
	return nil
}

func worldOf(ts *testscript.TestScript) *world { return ts.Value(worldKey{}).(*world) }

func (w *world) fault(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, text)
}

// end checks the invariants, ends all processes and prints their last lines
// after a failure.
func (w *world) end() {
	for key := range w.keys {
		if runs := w.runs(key); runs > 1 {
			w.fault("key " + key + " ran " + strconv.Itoa(runs) + " times")
		}
	}
	w.checkGroup()
	for _, l := range w.links {
		l.close()
	}
	for _, p := range w.processes {
		p.end()
	}
	for name, p := range w.processes {
		for _, mark := range []string{"DATA RACE", "panic:", "invariant violated"} {
			if log := p.log(); strings.Contains(log, mark) {
				_, after, _ := strings.Cut(log, mark)
				w.fault(name + ": " + mark + " in its log: " + after[:min(len(after), tailBytes)])
			}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, fault := range w.faults {
		w.t.Errorf("invariant: %s", fault)
	}
	if !w.t.Failed() {
		return
	}
	for name, p := range w.processes {
		w.t.Logf("last lines of %s:\n%s", name, p.tail())
	}
}

func (w *world) plainServices() []*process {
	w.mu.Lock()
	defer w.mu.Unlock()
	var plain []*process
	for _, p := range w.processes {
		if p.kind == kindPlain {
			plain = append(plain, p)
		}
	}
	return plain
}

// runs returns how often the call with key ran at all plain services.
func (w *world) runs(key string) int {
	total := 0
	for _, p := range w.plainServices() {
		status, body, err := w.get("http://" + p.address + "/standin/runs?key=" + key)
		n, parseErr := strconv.Atoi(body)
		if err != nil || status != http.StatusOK || parseErr != nil {
			w.fault("the runs of key " + key + " could not be read from " + p.name)
			continue
		}
		total += n
	}
	return total
}
