// Package gateway is the daemon that serves callers on the users' platform. It
// follows the configuration and the registered backend servers in the metadata
// store, and sends each request straight to a backend server.
package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertmux/filbertmux/config/fleet"
)

// ClusterState is what the gateway knows of the deployment. It is safe for concurrent
// use.
type ClusterState struct {
	index atomic.Pointer[fleet.Index]

	mu        sync.Mutex
	freshness fleet.Freshness
	servers   fleet.Servers
	// listed says that the servers were read at least once.
	listed bool
}

// NewClusterState returns a view that knows nothing.
func NewClusterState() *ClusterState { return &ClusterState{} }

// Index returns the configuration in force, or nil.
func (v *ClusterState) Index() *fleet.Index { return v.index.Load() }

// InstallConfig puts a configuration in force unless a newer one is. It reports
// whether it did.
func (v *ClusterState) InstallConfig(c *fleet.Config) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if old := v.index.Load(); old != nil && old.Config.Version >= c.Version {
		return false
	}
	v.index.Store(fleet.NewIndex(c))
	return true
}

// ConfirmConfig notes that a read of the configuration that was sent at sent showed
// all changes.
func (v *ClusterState) ConfirmConfig(sent, received time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.freshness.RecordRead(sent, received)
}

// ConfigFreshness returns how old the proof of the configuration is, and the time
// since the store last answered.
func (v *ClusterState) ConfigFreshness(now time.Time) (age, silence time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.freshness.Age(now), v.freshness.SinceResponse(now)
}

// Server returns a registered server.
func (v *ClusterState) Server(id string) (fleet.Server, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.servers.Get(id)
}

// UpdateServers changes the list of servers.
func (v *ClusterState) UpdateServers(update func(*fleet.Servers)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	update(&v.servers)
	v.listed = true
}

// UsableServers returns the servers of a service that take new work.
func (v *ClusterState) UsableServers(service string) []fleet.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.servers.Usable(service)
}

// Loaded reports whether both the configuration and the servers were read.
func (v *ClusterState) Loaded() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.listed && v.index.Load() != nil
}
