package scenarios

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/examples"
	"github.com/filbertmux/filbertmux/internal/seeds"
	"github.com/filbertmux/filbertmux/measure/standin"
)

const (
	// randomFaultSteps is the number of steps of a run, each with one or two
	// faults, and stepPause the time between two steps.
	randomFaultSteps = 40
	stepPause        = 250 * time.Millisecond
	// callTimeout is the time that a caller waits for an answer. It is needed
	// because an entry may be stopped by SIGSTOP.
	callTimeout = 4 * time.Second
	// bookingCallers, lookupCallers and completionCallers are the numbers of
	// concurrent callers. Each sends one call at a time.
	bookingCallers    = 4
	lookupCallers     = 2
	completionCallers = 3
	completionTokens  = 60
	// maxBookingSends is the number of times that a caller sends a booking at most
	// while there are faults.
	maxBookingSends = 4
)

// deployedProcess is a process that is subject to faults.
type deployedProcess struct {
	name  string
	kind  kind
	flags []string
}

// deployedProcesses excludes the platform and the plain services, which hold the
// log and the run counts and are never killed, and the engines, which
// restartEngine crashes.
var deployedProcesses = []deployedProcess{
	{"book1", kindSidecar, []string{"--service=order-book", "--backend-url=http://$plain1"}},
	{"book2", kindSidecar, []string{"--service=order-book", "--backend-url=http://$plain2"}},
	{"book3", kindSidecar, []string{"--service=order-book", "--backend-url=http://$plain3"}},
	{"text1", kindSidecar, []string{"--service=text-desk", "--backend-url=http://$engine1"}},
	{"text2", kindSidecar, []string{"--service=text-desk", "--backend-url=http://$engine2"}},
	{"entry1", kindEntry, []string{"--silence-timeout=500ms", "--progress-timeout=2s"}},
	{"entry2", kindEntry, []string{"--silence-timeout=500ms", "--progress-timeout=2s"}},
}

// booking is one booking with its idempotency key.
type booking struct {
	key, body string
	// concurrent bookings are sent through both entries at once, so that a not_run
	// answer to one request does not mean that the key has not run.
	concurrent bool
}

// randomRun is the state of one run of TestRandomFaults. Its fields are owned by
// the goroutine of the test, except those that mu guards.
type randomRun struct {
	*scriptCommand
	rng *rand.Rand
	// platformLinks are the links from each process to the platform, peerLinks
	// those from the entries to each sidecar, and engineLinks those from the
	// sidecars to each engine.
	platformLinks map[string]*link
	peerLinks     map[string]*link
	engineLinks   map[string]*link

	mu           sync.Mutex
	addresses    map[string]string // at which callers reach the processes
	disturbances map[string]int    // number of signals KILL, TERM and STOP by process
	bookings     []booking
	eventCounts  map[string]int
	stopped      chan struct{}
}

// Guards against violations of the invariants under random faults of all kinds,
// several at once and also during recovery: a booking that runs twice, a not_run
// answer for a booking that ran, a truncated response that ends as if complete, a
// response to another request, a table that goes back, and a deployment that does
// not recover without an operator.
func TestRandomFaults(t *testing.T) {
	for _, seed := range seeds.ForTest(t, 2) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			scriptSlots <- struct{}{}
			defer func() { <-scriptSlots }()
			t.Logf("replay: FILBERTMUX_SEED=%d go test -race ./measure/scenarios -run 'TestRandomFaults'", seed)
			env := newEnvironment(t, t.TempDir())
			defer env.shutdown()
			r := newRandomRun(t, env, seed)
			r.injectFaults(t)
			r.endFaults(t)
			r.checkRecovered(t)
		})
	}
}

func newRandomRun(t *testing.T, env *environment, seed uint64) *randomRun {
	r := &randomRun{
		scriptCommand: &scriptCommand{environment: env}, rng: rand.New(rand.NewPCG(seed, 1)),
		platformLinks: make(map[string]*link), peerLinks: make(map[string]*link), engineLinks: make(map[string]*link),
		addresses: make(map[string]string), disturbances: make(map[string]int), eventCounts: make(map[string]int),
		stopped: make(chan struct{}),
	}
	p, err := env.start("platform", kindPlatform, "", nil)
	require.NoError(t, err)
	r.addresses["platform"] = p.address
	for _, name := range []string{"plain1", "plain2", "plain3"} {
		_, err := env.start(name, kindPlain, p.address, []string{"--service-name=order-book"})
		require.NoError(t, err)
	}
	for _, name := range []string{"engine1", "engine2"} {
		engine, err := env.start(name, kindEngine, p.address, []string{"--model=text-desk", "--token-interval=10ms"})
		require.NoError(t, err)
		r.engineLinks[name] = r.newLink(t, name, engine.address)
	}
	for _, d := range deployedProcesses {
		r.platformLinks[d.name] = r.newLink(t, d.name+"-platform", p.address)
		r.startProcess(t, d.name)
	}
	require.NoError(t, os.CopyFS(filepath.Join(env.dir, "table"), examples.Demo()))
	require.NoError(t, r.publishLiveInstances())
	code, out := r.filbertmux("table", "publish", "table", "--office=sibiu", "--platform=http://"+p.address)
	require.Zero(t, code, out)
	r.awaitReady(t)
	return r
}

func (r *randomRun) newLink(t *testing.T, name, target string) *link {
	l, err := newLink(target)
	require.NoError(t, err)
	r.links[name] = l
	return l
}

// startProcess starts or restarts one of deployedProcesses.
func (r *randomRun) startProcess(t *testing.T, name string) {
	i := slices.IndexFunc(deployedProcesses, func(d deployedProcess) bool { return d.name == name })
	flags := slices.Clone(deployedProcesses[i].flags)
	for n, f := range flags {
		for backend, p := range r.processes {
			address := p.address
			if l := r.engineLinks[backend]; l != nil {
				address = l.address
			}
			f = strings.ReplaceAll(f, "$"+backend, address)
		}
		flags[n] = f
	}
	p, err := r.environment.start(name, deployedProcesses[i].kind, r.platformLinks[name].address, flags)
	require.NoError(t, err)
	r.mu.Lock()
	r.addresses[name] = p.address
	r.mu.Unlock()
	if p.kind != kindSidecar {
		return
	}
	if l := r.peerLinks[name]; l != nil {
		l.retarget(p.address)
		return
	}
	r.peerLinks[name] = r.newLink(t, name+"-peer", p.address)
}

// publishLiveInstances publishes the instance list of the processes that
// currently run.
func (r *randomRun) publishLiveInstances() error {
	list := []infra.Instance{}
	for _, d := range deployedProcesses {
		if r.processes[d.name].ended() {
			continue
		}
		row, err := r.row(d.name)
		if err != nil {
			return err
		}
		if l := r.peerLinks[d.name]; l != nil {
			row.Address = l.address
		}
		list = append(list, row)
	}
	return r.put(infra.InstancePath, list)
}

func (r *randomRun) awaitReady(t *testing.T) {
	for _, d := range deployedProcesses {
		require.NoError(t, r.ready([]string{d.name}))
	}
}

// filbertmux runs a command of the program and returns its exit code and output.
func (r *randomRun) filbertmux(args ...string) (code int, output string) {
	cmd := exec.Command("filbertmux", args...)
	cmd.Dir = r.dir
	cmd.Env = append(os.Environ(), "GORACE="+raceDetectorOptions)
	out, _ := cmd.CombinedOutput() // the exit code is returned
	return cmd.ProcessState.ExitCode(), string(out)
}

func (r *randomRun) countEvent(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eventCounts[event]++
}

// injectFaults injects random faults while callers send calls and operators
// publish changes.
func (r *randomRun) injectFaults(t *testing.T) {
	var background sync.WaitGroup
	for n := range bookingCallers {
		rng := rand.New(rand.NewPCG(r.rng.Uint64(), 2))
		background.Go(func() { r.callBookings(rng, n) })
	}
	for n := range lookupCallers {
		rng := rand.New(rand.NewPCG(r.rng.Uint64(), 3))
		background.Go(func() { r.callLookups(rng, n) })
	}
	for n := range completionCallers {
		rng := rand.New(rand.NewPCG(r.rng.Uint64(), 4))
		background.Go(func() { r.callCompletions(rng, n) })
	}
	operators := rand.New(rand.NewPCG(r.rng.Uint64(), 5))
	background.Go(func() { r.publishRaces(operators) })
	for range randomFaultSteps {
		for range 1 + r.rng.IntN(2) {
			t.Log(r.injectFault(t))
		}
		time.Sleep(stepPause)
	}
	close(r.stopped)
	background.Wait()
	t.Logf("answers: %v", r.eventCounts)
}

func (r *randomRun) running() bool {
	select {
	case <-r.stopped:
		return false
	default:
		return true
	}
}

var linkModes = []string{"refuse", "reset", "silence", "swallow", "pass", "pass", "pass"}

// injectFault starts or ends one random fault and describes it.
func (r *randomRun) injectFault(t *testing.T) string {
	name := deployedProcesses[r.rng.IntN(len(deployedProcesses))].name
	p := r.processes[name]
	switch r.rng.IntN(16) {
	case 0:
		return r.signalProcess(p, "KILL")
	case 1:
		return r.signalProcess(p, "TERM")
	case 2:
		return r.signalProcess(p, "STOP")
	case 3, 4, 11, 12, 13:
		// Processes are started more often than stopped, so that calls are in
		// flight at most faults.
		_ = p.signal(syscall.SIGCONT)
		if p.ended() {
			r.startProcess(t, name)
			return "start " + name
		}
		return "CONT " + name
	case 5, 6:
		return r.changeLinkMode("platform link of "+name, r.platformLinks[name])
	case 7:
		return r.changeLinkMode("peer link of "+name, r.peerLinks[name])
	case 8:
		return r.restartEngine(t)
	case 9:
		return r.holdOrReleasePlain()
	case 10, 14:
		return fmt.Sprintf("list live instances: %v", r.publishLiveInstances())
	default:
		return r.setPlatformFaults()
	}
}

func (r *randomRun) signalProcess(p *process, name string) string {
	r.mu.Lock()
	r.disturbances[p.name]++
	r.mu.Unlock()
	_ = p.signal(signals[name]) // it may have ended
	if name == "KILL" {
		<-p.done
	}
	return name + " " + p.name
}

func (r *randomRun) changeLinkMode(name string, l *link) string {
	if l == nil {
		return "no fault"
	}
	mode := linkModes[r.rng.IntN(len(linkModes))]
	if mode == "refuse" {
		// In mode refuse the listener is closed and must not be closed again.
		_ = l.setMode("pass")
	}
	return fmt.Sprintf("%s: %s %v", name, mode, l.setMode(mode))
}

func (r *randomRun) restartEngine(t *testing.T) string {
	name := []string{"engine1", "engine2"}[r.rng.IntN(2)]
	p := r.processes[name]
	_ = p.signal(syscall.SIGKILL)
	<-p.done
	p, err := r.environment.start(name, kindEngine, r.processes["platform"].address, p.flags)
	require.NoError(t, err)
	r.engineLinks[name].retarget(p.address)
	return "crash of " + name
}

func (r *randomRun) holdOrReleasePlain() string {
	name := []string{"plain1", "plain2", "plain3"}[r.rng.IntN(3)]
	if r.rng.IntN(3) == 0 {
		return fmt.Sprintf("hold %s: %v", name, r.hold([]string{name}))
	}
	return fmt.Sprintf("release %s: %v", name, r.release([]string{name}))
}

func (r *randomRun) setPlatformFaults() string {
	f := standin.Faults{
		LogDown:             r.rng.IntN(5) == 0,
		LogDelayMS:          []int64{0, 0, 0, 50, 700}[r.rng.IntN(5)],
		LoseAppendResponses: r.rng.IntN(6),
		StreamPrefix:        []string{"", "claims.", "table"}[r.rng.IntN(3)],
		ListDown:            r.rng.IntN(5) == 0,
		ListFrozen:          r.rng.IntN(5) == 0,
	}
	return fmt.Sprintf("platform %+v: %v", f, r.put(standin.FaultsPath, f))
}

// endFaults ends all faults and restarts the processes that were signalled.
func (r *randomRun) endFaults(t *testing.T) {
	require.NoError(t, r.put(standin.FaultsPath, standin.Faults{}))
	require.NoError(t, r.release([]string{"plain1", "plain2", "plain3"}))
	for _, l := range r.links {
		require.NoError(t, l.setMode("pass"))
		// Connections whose bytes were dropped stay silent, as in a network that
		// has lost their state.
	}
	for _, d := range deployedProcesses {
		p := r.processes[d.name]
		_ = p.signal(syscall.SIGCONT)
		if r.disturbanceCount(d.name) > 0 {
			// The process has been killed, is draining, which ends by itself, or
			// has been stopped and resumed.
			_ = p.signal(syscall.SIGTERM)
			require.NoError(t, r.awaitExit(p))
			r.startProcess(t, d.name)
		}
	}
	require.NoError(t, r.publishLiveInstances())
	r.awaitReady(t)
}

func (r *randomRun) awaitExit(p *process) error {
	return poll(func() error {
		if !p.ended() {
			return fmt.Errorf("%s does not end after SIGTERM", p.name)
		}
		return nil
	})
}
