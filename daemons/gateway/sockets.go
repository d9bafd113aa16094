package gateway

import (
	"github.com/filbertmux/filbertmux/daemons/inbound"
	"github.com/filbertmux/filbertmux/platform"
)

const (
	// ownSockets is the number of sockets for the listeners, the store, the other gateways,
	// probes of servers, and the connections of the platform for readiness and metrics.
	ownSockets = 48
	// adminConnections is the number of connections for readiness, and for metrics.
	adminConnections = 8
	// callerShare is the part of the other sockets that callers may have. The rest is for
	// connections to backend servers, which fewer are needed of: a caller's connection is
	// idle most of the time.
	callerShare = 5.0 / 8
)

// sockets is how the sockets of a gateway are divided.
type sockets struct {
	callers int
	servers int
}

// divideSockets divides the sockets of a gateway among callers and backend servers.
func divideSockets(s platform.Settings) sockets {
	all := inbound.Sockets(s.MaxDescriptors)
	others := max(all-ownSockets, all/2)
	callers := int(callerShare * float64(others))
	return sockets{callers: callers, servers: others - callers}
}

// memoryLimit returns the memory limit of a gateway in bytes.
func memoryLimit(s platform.Settings) int64 {
	if s.MemoryBytes > 0 {
		return s.MemoryBytes
	}
	return inbound.InstanceMemory()
}
