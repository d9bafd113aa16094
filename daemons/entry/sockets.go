package entry

import (
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/daemons/inbound"
)

const (
	// ownSockets is the number of sockets for the listeners, the platform, probes and
	// reports.
	ownSockets = 48
	// socketsPerCaller is the number of sockets for each connection of a caller: itself, the
	// one to a sidecar while its request is in progress, and the shares below.
	socketsPerCaller = 2.5
	// peerShare and idleShare are the numbers of connections of other processes and of idle
	// connections to sidecars, relative to that of callers; both are at least minOthers.
	peerShare = 0.25
	idleShare = 0.25
	minOthers = 16
	// peerMessageBytes bounds a message of another process. A report about 1,100
	// organisations has 50 KB.
	peerMessageBytes = 1 << 20
)

// sockets is how the sockets of an entry are divided.
type sockets struct {
	callers      int
	peers        int
	idleSidecars int
}

func divideSockets(s settings.Entry) sockets {
	callers := s.MaxConnections
	if callers == 0 {
		callers = int(float64(max(inbound.Sockets(0)-ownSockets, ownSockets)) / socketsPerCaller)
	}
	return sockets{
		callers:      callers,
		peers:        max(int(peerShare*float64(callers)), minOthers),
		idleSidecars: max(int(idleShare*float64(callers)), minOthers),
	}
}

// memoryLimit returns the memory limit of an entry in bytes.
func memoryLimit(s settings.Entry) int64 {
	if s.MemoryLimit > 0 {
		return s.MemoryLimit
	}
	return inbound.InstanceMemory()
}
