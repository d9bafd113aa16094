package scenarios

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"syscall"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/measure/standin"
)

// round injects faults while operators publish changes, first one after the other and
// then overlapping ones, ends them and checks that the deployment recovers.
func (r *randomRun) round(ctx context.Context, inSeries, overlapping int) error {
	stop := make(chan struct{})
	operators := r.startOperators(stop)
	err := r.injectInSeries(ctx, inSeries)
	if err == nil {
		err = r.injectOverlapping(ctx, overlapping)
	}
	close(stop)
	if err == nil {
		err = r.endFaults()
	}
	operators.Wait() // publishing takes long while the log is down
	if err != nil {
		return err
	}
	return r.checkRecovered()
}

func (r *randomRun) injectInSeries(ctx context.Context, n int) error {
	r.inSeries = true
	defer func() { r.inSeries = false }()
	for range n {
		if err := r.injectStep(); err != nil {
			return err
		}
		if !clock.Sleep(ctx, seriesPause) {
			return ctx.Err()
		}
		r.checkProcesses()
		if err := r.endFaults(); err != nil {
			return err
		}
	}
	return nil
}

func (r *randomRun) injectOverlapping(ctx context.Context, n int) error {
	for range n {
		for range 1 + r.rng.IntN(2) {
			if err := r.injectStep(); err != nil {
				return err
			}
		}
		if !clock.Sleep(ctx, stepPause) {
			return ctx.Err()
		}
		r.checkProcesses()
	}
	return nil
}

func (r *randomRun) injectStep() error {
	fault, err := r.injectFault()
	if err == nil {
		r.fault(fault)
	}
	return err
}

func (r *randomRun) running() bool {
	select {
	case <-r.stopped:
		return false
	default:
		return true
	}
}

// linkModes are the modes of links while faults overlap. Mode pass is listed several times,
// so that calls are in flight at most faults.
var linkModes = []string{"refuse", "reset", "silence", "swallow", "one-way", "delay", "pass", "pass", "pass"}

const (
	// disturbingModes and disturbingFaults are the first linkModes and cases of
	// injectFault, which begin a fault.
	disturbingModes  = 6
	disturbingFaults = 10
	allFaults        = 18
)

// injectFault starts or ends one random fault and describes it.
func (r *randomRun) injectFault() (string, error) {
	name := deployedProcesses[r.rng.IntN(len(deployedProcesses))].name
	p := r.processes[name]
	n := allFaults
	if r.inSeries {
		n = disturbingFaults
	}
	switch r.rng.IntN(n) {
	case 0:
		return r.signalProcess(p, "KILL"), nil
	case 1:
		return r.signalProcess(p, "TERM"), nil
	case 2:
		return r.signalProcess(p, "STOP"), nil
	case 3:
		return r.hangUp(), nil
	case 4, 5:
		return r.changeLinkMode("platform link of "+name, r.platformLinks[name]), nil
	case 6:
		return r.changePeerLinkMode(), nil
	case 7:
		return r.restartEngine()
	case 8:
		return r.setPlatformFaults(), nil
	case 9:
		return r.changeCrowd(), nil
	case 10:
		return r.holdOrReleasePlain(), nil
	case 11, 12:
		return fmt.Sprintf("list live instances: %v", r.publishLiveInstances()), nil
	default:
		// Processes are started more often than stopped, so that calls are in
		// flight at most faults.
		_ = p.signal(syscall.SIGCONT)
		if p.ended() {
			return "start " + name, r.startProcess(name)
		}
		return "CONT " + name, nil
	}
}

// hangUp sends SIGHUP to any process, which has to go on.
func (r *randomRun) hangUp() string {
	names := slices.Sorted(maps.Keys(r.processes))
	name := names[r.rng.IntN(len(names))]
	_ = r.processes[name].signal(syscall.SIGHUP) // it may have ended
	return "HUP " + name
}

func (r *randomRun) signalProcess(p *process, name string) string {
	r.mu.Lock()
	r.disturbances[p.name]++
	r.impaired[p.name] = true
	r.mu.Unlock()
	_ = p.signal(signals[name]) // it may have ended
	if name == "KILL" {
		<-p.done
	}
	return name + " " + p.name
}

func (r *randomRun) changePeerLinkMode() string {
	names := slices.Sorted(maps.Keys(r.peerLinks))
	name := names[r.rng.IntN(len(names))]
	return r.changeLinkMode("peer link of "+name, r.peerLinks[name])
}

func (r *randomRun) changeLinkMode(name string, l *link) string {
	modes := linkModes
	if r.inSeries {
		modes = linkModes[:disturbingModes]
	}
	mode := modes[r.rng.IntN(len(modes))]
	if mode == "refuse" {
		// In mode refuse the listener is closed and must not be closed again.
		_ = l.setMode("pass")
	}
	return fmt.Sprintf("%s: %s %v", name, mode, l.setMode(mode))
}

func (r *randomRun) restartEngine() (string, error) {
	name := engines[r.rng.IntN(len(engines))]
	p := r.processes[name]
	r.readReceived(p)
	p.kill()
	p, err := r.start(name, kindEngine, r.processes["platform"].address, p.flags)
	if err != nil {
		return "", err
	}
	r.watchers.Go(func() { r.watchReceived(p) })
	r.engineLinks[name].retarget(p.address)
	return "crash of " + name, nil
}

func (r *randomRun) holdOrReleasePlain() string {
	name := plainServices[r.rng.IntN(len(plainServices))]
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
func (r *randomRun) endFaults() error {
	r.fault("end of all faults")
	r.endCrowd()
	if err := r.put(standin.FaultsPath, standin.Faults{}); err != nil {
		return err
	}
	if err := r.release(plainServices); err != nil {
		return err
	}
	for _, l := range r.links {
		// Connections whose bytes were dropped stay silent, as in a network that
		// has lost their state.
		if err := l.setMode("pass"); err != nil {
			return err
		}
	}
	for _, d := range deployedProcesses {
		if err := r.replaceDisturbed(d.name); err != nil {
			return err
		}
	}
	if err := r.publishLiveInstances(); err != nil {
		return err
	}
	return r.awaitReady()
}

// replaceDisturbed replaces a process that has been killed, is draining, which ends
// by itself, or has been stopped and resumed.
func (r *randomRun) replaceDisturbed(name string) error {
	p := r.processes[name]
	_ = p.signal(syscall.SIGCONT)
	if !r.isImpaired(name) {
		return nil
	}
	_ = r.signalProcess(p, "TERM")
	if err := r.awaitExit(p); err != nil {
		return err
	}
	return r.startProcess(name)
}

func (r *randomRun) awaitExit(p *process) error {
	return poll(func() error {
		if !p.ended() {
			return fmt.Errorf("%s does not end after SIGTERM", p.name)
		}
		return nil
	})
}
