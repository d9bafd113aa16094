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
	// randomSteps is the number of faults of one run, stepPause the time
	// between two of them.
	randomSteps = 40
	stepPause   = 250 * time.Millisecond
	// callTimeout is how long a caller waits, because an entry may be frozen.
	callTimeout = 4 * time.Second
	// bookingCallers, lookupCallers and completionCallers send one call at a
	// time each.
	bookingCallers    = 4
	lookupCallers     = 2
	completionCallers = 3
	completionTokens  = 60
	// maxSends bounds how often a caller sends a booking while faults last.
	maxSends = 4
)

// deployed is a process that a run disturbs.
type deployed struct {
	name  string
	kind  kind
	flags []string
}

// deployment leaves out the platform and the plain services, which hold the
// log and the counts of runs and are never killed.
var deployment = []deployed{
	{"book1", kindSidecar, []string{"--service=order-book", "--backend-url=http://$plain1"}},
	{"book2", kindSidecar, []string{"--service=order-book", "--backend-url=http://$plain2"}},
	{"book3", kindSidecar, []string{"--service=order-book", "--backend-url=http://$plain3"}},
	{"text1", kindSidecar, []string{"--service=text-desk", "--backend-url=http://$engine1"}},
	{"text2", kindSidecar, []string{"--service=text-desk", "--backend-url=http://$engine2"}},
	{"entry1", kindEntry, []string{"--silence-timeout=500ms", "--progress-timeout=2s"}},
	{"entry2", kindEntry, []string{"--silence-timeout=500ms", "--progress-timeout=2s"}},
}

// booking is one key and what its callers were told.
type booking struct {
	key, body string
	// concurrent bookings are sent through both entries at once, so a not_run
	// answer to one send says nothing about the other one.
	concurrent bool
}

// randomRun disturbs a deployment. Its fields belong to the goroutine of the
// test, except those that mu guards.
type randomRun struct {
	*run
	rng *rand.Rand
	// platformLinks and peerLinks lead from a process to the platform and from
	// the entries to a sidecar.
	platformLinks map[string]*link
	peerLinks     map[string]*link
	engineLinks   map[string]*link

	mu        sync.Mutex
	addresses map[string]string // for callers
	kills     map[string]int    // by process, with frozen and terminated ones
	bookings  []booking
	tally     map[string]int
	stopped   chan struct{}
}

// Guards against any violation of the invariants while faults of all kinds
// come at random, several at once and again during recovery: a booking that
// runs twice, a not_run that is not true, a cut answer that ends clean, an
// answer to another request, a table that reverts, and a deployment that does
// not recover by itself.
func TestRandomFaults(t *testing.T) {
	for _, seed := range seeds.ForTest(t, 2) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			scriptSlots <- struct{}{}
			defer func() { <-scriptSlots }()
			t.Logf("replay: FILBERTMUX_SEED=%d go test -race ./scenarios -run 'TestRandomFaults'", seed)
			w := newWorld(t, t.TempDir())
			defer w.end()
			r := newRandomRun(t, w, seed)
			r.disturb(t)
			r.heal(t)
			r.checkRecovered(t)
		})
	}
}

func newRandomRun(t *testing.T, w *world, seed uint64) *randomRun {
	r := &randomRun{
		run: &run{world: w}, rng: rand.New(rand.NewPCG(seed, 1)),
		platformLinks: make(map[string]*link), peerLinks: make(map[string]*link), engineLinks: make(map[string]*link),
		addresses: make(map[string]string), kills: make(map[string]int), tally: make(map[string]int),
		stopped: make(chan struct{}),
	}
	p, err := w.start("platform", kindPlatform, "", nil)
	require.NoError(t, err)
	r.addresses["platform"] = p.address
	for _, name := range []string{"plain1", "plain2", "plain3"} {
		_, err := w.start(name, kindPlain, p.address, []string{"--service-name=order-book"})
		require.NoError(t, err)
	}
	for _, name := range []string{"engine1", "engine2"} {
		engine, err := w.start(name, kindEngine, p.address, []string{"--model=text-desk", "--token-interval=10ms"})
		require.NoError(t, err)
		r.engineLinks[name] = r.newLink(t, name, engine.address)
	}
	for _, d := range deployment {
		r.platformLinks[d.name] = r.newLink(t, d.name+"-platform", p.address)
		r.startDeployed(t, d.name)
	}
	require.NoError(t, os.CopyFS(filepath.Join(w.dir, "table"), examples.Demo()))
	require.NoError(t, r.listLive())
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

// startDeployed starts a process of the deployment, for the first time or
// again.
func (r *randomRun) startDeployed(t *testing.T, name string) {
	i := slices.IndexFunc(deployment, func(d deployed) bool { return d.name == name })
	flags := slices.Clone(deployment[i].flags)
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
	p, err := r.world.start(name, deployment[i].kind, r.platformLinks[name].address, flags)
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

// listLive publishes the instance list of the processes that run now.
func (r *randomRun) listLive() error {
	list := []infra.Instance{}
	for _, d := range deployment {
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
	for _, d := range deployment {
		require.NoError(t, r.ready([]string{d.name}))
	}
}

// filbertmux runs a command to its end.
func (r *randomRun) filbertmux(args ...string) (code int, output string) {
	cmd := exec.Command("filbertmux", args...)
	cmd.Dir = r.dir
	cmd.Env = append(os.Environ(), "GORACE="+raceOptions)
	out, _ := cmd.CombinedOutput() // the exit code is returned
	return cmd.ProcessState.ExitCode(), string(out)
}

func (r *randomRun) count(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally[event]++
}

// disturb applies random faults while callers and operators are busy.
func (r *randomRun) disturb(t *testing.T) {
	var busy sync.WaitGroup
	for n := range bookingCallers {
		rng := rand.New(rand.NewPCG(r.rng.Uint64(), 2))
		busy.Go(func() { r.callBookings(rng, n) })
	}
	for n := range lookupCallers {
		rng := rand.New(rand.NewPCG(r.rng.Uint64(), 3))
		busy.Go(func() { r.callLookups(rng, n) })
	}
	for n := range completionCallers {
		rng := rand.New(rand.NewPCG(r.rng.Uint64(), 4))
		busy.Go(func() { r.callCompletions(rng, n) })
	}
	operators := rand.New(rand.NewPCG(r.rng.Uint64(), 5))
	busy.Go(func() { r.publishRaces(operators) })
	for range randomSteps {
		for range 1 + r.rng.IntN(2) {
			t.Log(r.step(t))
		}
		time.Sleep(stepPause)
	}
	close(r.stopped)
	busy.Wait()
	t.Logf("answers: %v", r.tally)
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

// step applies one fault, or the end of one, and describes it.
func (r *randomRun) step(t *testing.T) string {
	name := deployment[r.rng.IntN(len(deployment))].name
	p := r.processes[name]
	switch r.rng.IntN(16) {
	case 0:
		return r.disturbProcess(p, "KILL")
	case 1:
		return r.disturbProcess(p, "TERM")
	case 2:
		return r.disturbProcess(p, "STOP")
	case 3, 4, 11, 12, 13:
		// More starts than ends, so that calls are in flight at most faults.
		_ = p.signal(syscall.SIGCONT)
		if p.ended() {
			r.startDeployed(t, name)
			return "start " + name
		}
		return "CONT " + name
	case 5, 6:
		return r.disturbLink("platform link of "+name, r.platformLinks[name])
	case 7:
		return r.disturbLink("peer link of "+name, r.peerLinks[name])
	case 8:
		return r.disturbEngine(t)
	case 9:
		return r.holdPlain()
	case 10, 14:
		return fmt.Sprintf("list live instances: %v", r.listLive())
	default:
		return r.disturbPlatform()
	}
}

func (r *randomRun) disturbProcess(p *process, name string) string {
	r.mu.Lock()
	r.kills[p.name]++
	r.mu.Unlock()
	_ = p.signal(signals[name]) // it may have ended
	if name == "KILL" {
		<-p.done
	}
	return name + " " + p.name
}

func (r *randomRun) disturbLink(name string, l *link) string {
	if l == nil {
		return "nothing"
	}
	mode := linkModes[r.rng.IntN(len(linkModes))]
	if mode == "refuse" {
		// A second refuse would close a listener that is closed.
		_ = l.set("pass")
	}
	return fmt.Sprintf("%s: %s %v", name, mode, l.set(mode))
}

func (r *randomRun) disturbEngine(t *testing.T) string {
	name := []string{"engine1", "engine2"}[r.rng.IntN(2)]
	p := r.processes[name]
	_ = p.signal(syscall.SIGKILL)
	<-p.done
	p, err := r.world.start(name, kindEngine, r.processes["platform"].address, p.flags)
	require.NoError(t, err)
	r.engineLinks[name].retarget(p.address)
	return "crash of " + name
}

func (r *randomRun) holdPlain() string {
	name := []string{"plain1", "plain2", "plain3"}[r.rng.IntN(3)]
	if r.rng.IntN(3) == 0 {
		return fmt.Sprintf("hold %s: %v", name, r.hold([]string{name}))
	}
	return fmt.Sprintf("release %s: %v", name, r.release([]string{name}))
}

func (r *randomRun) disturbPlatform() string {
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

// heal ends all faults.
func (r *randomRun) heal(t *testing.T) {
	require.NoError(t, r.put(standin.FaultsPath, standin.Faults{}))
	require.NoError(t, r.release([]string{"plain1", "plain2", "plain3"}))
	for _, l := range r.links {
		require.NoError(t, l.set("pass"))
		// Connections that were silenced stay so, as in a network that has
		// lost track of them.
	}
	for _, d := range deployment {
		p := r.processes[d.name]
		_ = p.signal(syscall.SIGCONT)
		if r.killsOf(d.name) > 0 {
			// It may be draining, which ends by itself; a killed one has ended.
			_ = p.signal(syscall.SIGTERM)
			require.NoError(t, r.awaitEnd(p))
			r.startDeployed(t, d.name)
		}
	}
	require.NoError(t, r.listLive())
	r.awaitReady(t)
}

func (r *randomRun) awaitEnd(p *process) error {
	return poll(func() error {
		if !p.ended() {
			return fmt.Errorf("%s does not end after SIGTERM", p.name)
		}
		return nil
	})
}
