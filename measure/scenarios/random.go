package scenarios

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/examples"
)

const (
	// randomFaultSteps is the number of steps of a run, each with one or two
	// faults, and stepPause the time between two steps.
	randomFaultSteps = 40
	stepPause        = 250 * time.Millisecond
	// seriesPause is how long a single fault lasts.
	seriesPause = time.Second
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
// restartEngine crashes. Each service has backend servers in several failure domains.
var deployedProcesses = []deployedProcess{
	{"book1", kindSidecar, []string{"--service=order-book", "--backend-url=http://$plain1"}},
	{"book2", kindSidecar, []string{"--service=order-book", "--backend-url=http://$plain2", "--failure-domain=sibiu-b"}},
	{"book3", kindSidecar, []string{"--service=order-book", "--backend-url=http://$plain3", "--failure-domain=medias"}},
	{"text1", kindSidecar, []string{"--service=text-desk", "--backend-url=http://$engine1"}},
	{"text2", kindSidecar, []string{"--service=text-desk", "--backend-url=http://$engine2", "--failure-domain=sibiu-b"}},
	{"entry1", kindEntry, entryFlags},
	{"entry2", kindEntry, append([]string{"--failure-domain=sibiu-b"}, entryFlags...)},
}

var entryFlags = []string{"--silence-timeout=500ms", "--progress-timeout=2s", fmt.Sprintf("--max-body-bytes=%d", maxBodyBytes)}

var (
	plainServices = []string{"plain1", "plain2", "plain3"}
	engines       = []string{"engine1", "engine2"}
)

// booking is one booking with its idempotency key.
type booking struct {
	key, body string
	// concurrent bookings are sent through both entries at once, so that a not_run
	// answer to one request does not mean that the key has not run.
	concurrent bool
}

// randomRun is the state of a run with random faults. Its fields are owned by
// the goroutine that injects them, except those that mu guards.
type randomRun struct {
	*environment
	rng *rand.Rand
	// platformLinks are the links from each process to the platform, peerLinks
	// those from the entries to each sidecar, and engineLinks those from the
	// sidecars to each engine.
	platformLinks map[string]*link
	peerLinks     map[string]*link
	engineLinks   map[string]*link

	evacuations *evacuationChecker
	watchers    sync.WaitGroup // of the calls that backend servers get
	crowd       *crowd
	// inSeries is set while each fault ends before the next one begins.
	inSeries bool
	// checkMemory is false if the race detector, which multiplies the memory, is part
	// of the program.
	checkMemory  bool
	peakMemoryMB map[string]int // by kind of process
	began        time.Time

	mu           sync.Mutex
	reachable    map[string]*process // the processes that callers use
	impaired     map[string]bool     // got one of the signals KILL, TERM and STOP
	disturbances map[string]int      // number of such signals and of starts by process
	bookings     []booking           // to be checked
	eventCounts  map[string]int
	faults       []Fault
	served       map[string][]int // complete answers by kind of call and second
	stopped      chan struct{}
}

func newRandomRun(env *environment, seed uint64, checkMemory bool) (*randomRun, error) {
	r := &randomRun{
		environment: env, rng: rand.New(rand.NewPCG(seed, 1)),
		platformLinks: make(map[string]*link), peerLinks: make(map[string]*link), engineLinks: make(map[string]*link),
		evacuations: newEvacuationChecker(), checkMemory: checkMemory, peakMemoryMB: make(map[string]int), began: time.Now(),
		reachable: make(map[string]*process), impaired: make(map[string]bool), disturbances: make(map[string]int),
		eventCounts: make(map[string]int), served: make(map[string][]int), stopped: make(chan struct{}),
	}
	if err := r.startAll(); err != nil {
		return nil, err
	}
	if err := os.CopyFS(filepath.Join(env.dir, "table"), examples.Demo()); err != nil {
		return nil, err
	}
	if err := r.publishLiveInstances(); err != nil {
		return nil, err
	}
	code, out := r.filbertmux("table", "publish", "table", "--office=sibiu", r.platformFlag())
	if code != 0 {
		return nil, fmt.Errorf("publish the table: exit code %d: %s", code, out)
	}
	return r, r.awaitReady()
}

// startAll starts the platform, the backend servers and deployedProcesses.
func (r *randomRun) startAll() error {
	p, err := r.start("platform", kindPlatform, "", nil)
	if err != nil {
		return err
	}
	r.reachable["platform"] = p
	for _, name := range plainServices {
		plain, err := r.start(name, kindPlain, p.address, []string{"--service-name=order-book"})
		if err != nil {
			return err
		}
		r.watchers.Go(func() { r.watchReceived(plain) })
	}
	for _, name := range engines {
		engine, err := r.start(name, kindEngine, p.address, []string{"--model=text-desk", "--token-interval=10ms"})
		if err != nil {
			return err
		}
		r.watchers.Go(func() { r.watchReceived(engine) })
		if r.engineLinks[name], err = r.newLink(name, engine.address); err != nil {
			return err
		}
	}
	for _, d := range deployedProcesses {
		if r.platformLinks[d.name], err = r.newLink(d.name+"-platform", p.address); err != nil {
			return err
		}
		if err := r.startProcess(d.name); err != nil {
			return err
		}
	}
	return nil
}

// platformFlag is the flag of the table commands.
func (r *randomRun) platformFlag() string { return "--platform=http://" + r.addressOf("platform") }

func (r *randomRun) newLink(name, target string) (*link, error) {
	l, err := newLink(target)
	if err == nil {
		r.links[name] = l
	}
	return l, err
}

// startProcess starts or restarts one of deployedProcesses.
func (r *randomRun) startProcess(name string) error {
	i := slices.IndexFunc(deployedProcesses, func(d deployedProcess) bool { return d.name == name })
	flags := append(limitFlags(), deployedProcesses[i].flags...)
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
	p, err := r.start(name, deployedProcesses[i].kind, r.platformLinks[name].address, flags)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.reachable[name] = p
	r.impaired[name] = false
	r.disturbances[name]++
	r.mu.Unlock()
	if p.kind != kindSidecar {
		return nil
	}
	if l := r.peerLinks[name]; l != nil {
		l.retarget(p.address)
		return nil
	}
	r.peerLinks[name], err = r.newLink(name+"-peer", p.address)
	return err
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

func (r *randomRun) awaitReady() error {
	for _, d := range deployedProcesses {
		if err := r.ready([]string{d.name}); err != nil {
			return err
		}
	}
	return nil
}

// filbertmux runs a command of the program and returns its exit code and output.
func (r *randomRun) filbertmux(args ...string) (code int, output string) {
	cmd := exec.Command(r.program, args...)
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

// startCallers lets callers send calls until stopped is closed.
func (r *randomRun) startCallers() *sync.WaitGroup {
	var callers sync.WaitGroup
	for n := range bookingCallers {
		rng := rand.New(rand.NewPCG(r.rng.Uint64(), 2))
		callers.Go(func() { r.callBookings(rng, n) })
	}
	for n := range lookupCallers {
		rng := rand.New(rand.NewPCG(r.rng.Uint64(), 3))
		callers.Go(func() { r.callLookups(rng, n) })
	}
	for n := range completionCallers {
		rng := rand.New(rand.NewPCG(r.rng.Uint64(), 4))
		callers.Go(func() { r.callCompletions(rng, n) })
	}
	return &callers
}

// startOperators lets operators publish changes until stop is closed.
func (r *randomRun) startOperators(stop <-chan struct{}) *sync.WaitGroup {
	var operators sync.WaitGroup
	weights := rand.New(rand.NewPCG(r.rng.Uint64(), 5))
	operators.Go(func() { r.publishRaces(weights, stop) })
	evacuations := rand.New(rand.NewPCG(r.rng.Uint64(), 6))
	operators.Go(func() { r.changeEvacuationsRandomly(evacuations, stop) })
	return &operators
}
