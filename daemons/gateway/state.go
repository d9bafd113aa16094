// Package gateway implements the gateway daemon, which serves callers on the
// users' platform. It follows the configuration and the registered backend
// servers in the metadata store and forwards each request directly to a backend
// server.
package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/filbertmux/filbertmux/config/fleet"
)

// ClusterState holds the configuration and the backend servers that the gateway
// has read from the metadata store. It is safe for concurrent use.
type ClusterState struct {
	index atomic.Pointer[fleet.Index]

	mu        sync.Mutex
	freshness fleet.Freshness
	servers   fleet.Servers
	// listed is set once the servers have been read.
	listed bool
}

// NewClusterState returns an empty state.
func NewClusterState() *ClusterState { return &ClusterState{} }

// Index returns the current configuration, or nil if none was read yet.
func (s *ClusterState) Index() *fleet.Index { return s.index.Load() }

// currentConfig returns the current configuration, or nil if none was read yet.
func (s *ClusterState) currentConfig() *fleet.Config {
	if index := s.index.Load(); index != nil {
		return index.Config
	}
	return nil
}

// Config returns the current configuration, or nil if none was read yet, with the time
// since it was last known to be the newest one and the time since the last response of the
// store. The configuration is at least as new as these times say: it is read after them,
// and installed before it is confirmed.
func (s *ClusterState) Config(now time.Time) (index *fleet.Index, age, silence time.Duration) {
	age, silence = s.ConfigFreshness(now)
	return s.index.Load(), age, silence
}

// InstallConfig makes c the current configuration and reports true, unless the
// current one has the same or a higher version. One goroutine calls it.
func (s *ClusterState) InstallConfig(c *fleet.Config) bool {
	if !c.Supersedes(s.currentConfig()) {
		return false
	}
	// The index of many organisations takes a while, and requests ask for the freshness
	// meanwhile, so it is built without the mutex.
	s.index.Store(fleet.NewIndex(c))
	return true
}

// ConfirmConfig records that the current configuration was the newest one when a
// read of the store was sent. received is when the response arrived.
func (s *ClusterState) ConfirmConfig(sent, received time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshness.RecordRead(sent, received)
}

// ConfigFreshness returns the time since the configuration was last known to be
// the newest one, and the time since the last response of the store.
func (s *ClusterState) ConfigFreshness(now time.Time) (age, silence time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.freshness.Age(now), s.freshness.SinceResponse(now)
}

// Server returns a registered backend server by its ID.
func (s *ClusterState) Server(id string) (fleet.Server, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers.Get(id)
}

// UpdateServers applies update to the list of servers.
func (s *ClusterState) UpdateServers(update func(*fleet.Servers)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.servers)
	s.listed = true
}

// UsableServers returns the servers of a service that accept new requests.
func (s *ClusterState) UsableServers(service string) []fleet.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servers.Usable(service)
}

// Loaded reports whether both the configuration and the servers have been read.
func (s *ClusterState) Loaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed && s.index.Load() != nil
}
