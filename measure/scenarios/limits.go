package scenarios

import (
	"fmt"

	"github.com/filbertmux/filbertmux/measure/untrusted"
)

// Limits of the entries and sidecars of a run with random faults, set by their flags.
const (
	memoryLimitMB  = 96
	maxConnections = 64
)

// maxSockets returns the limit that docs/operators.md states for --max-connections, and
// the sockets for the process itself.
func (k kind) maxSockets() int {
	const ownSockets = 48
	if k == kindEntry {
		return 5*maxConnections/2 + ownSockets
	}
	return 2*maxConnections + ownSockets
}

// limitFlags are the flags of all entries and sidecars of a run with random faults.
func limitFlags() []string {
	return []string{fmt.Sprintf("--memory-limit=%d", memoryLimitMB<<20), fmt.Sprintf("--max-connections=%d", maxConnections)}
}

// checkProcesses records a violation if a process has ended by itself or exceeds its
// limits.
func (r *randomRun) checkProcesses() {
	for name, p := range r.processes {
		if p.ended() {
			if !p.endExpected.Swap(true) {
				r.recordViolation(fmt.Sprintf("%s ended by itself: %s", name, p.cmd.ProcessState))
			}
			continue
		}
		if p.kind == kindEntry || p.kind == kindSidecar {
			r.checkLimits(p)
		}
	}
}

func (r *randomRun) checkLimits(p *process) {
	pid := p.cmd.Process.Pid
	// A process that has just ended can't be read.
	if sockets, err := untrusted.Sockets(pid); err == nil && sockets > p.kind.maxSockets() {
		r.recordViolation(fmt.Sprintf("%s has %d sockets, at most %d are allowed", p.name, sockets, p.kind.maxSockets()))
	}
	memory, err := untrusted.PeakMemoryMB(pid)
	if err != nil {
		return
	}
	r.peakMemoryMB[string(p.kind)] = max(r.peakMemoryMB[string(p.kind)], memory)
	if r.checkMemory && memory > memoryLimitMB {
		r.recordViolation(fmt.Sprintf("%s had %d MiB resident, at most %d are allowed", p.name, memory, memoryLimitMB))
	}
}
