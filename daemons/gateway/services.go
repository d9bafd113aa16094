package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/balance/loadshare"
	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/serve/retry"
)

// services holds the schedulers by service name. It is safe for concurrent use.
type services struct {
	failureDomain string
	retryExtra    float64
	rng           *rand.Rand
	log           zerolog.Logger

	mu sync.Mutex
	// retries has this gateway's part of the extra retries as its burst.
	retries retry.Config
	byName  map[string]*service
	// others and staleness are the load that other gateways cause, and the age of
	// their reports.
	others    map[loadshare.ServerKey]int
	staleness time.Duration
}

func newServices(s platform.Settings, rng *rand.Rand, log zerolog.Logger) *services {
	return &services{
		failureDomain: s.FailureDomain, retryExtra: s.Bounds.RetryExtra, retries: retryConfig(s.Bounds), rng: rng, log: log, byName: make(map[string]*service),
	}
}

// get returns a service, with its present servers if it is new.
func (s *services) get(name string, view *ClusterState) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	if svc, ok := s.byName[name]; ok {
		return svc
	}
	rng := rand.New(rand.NewPCG(s.rng.Uint64(), s.rng.Uint64()))
	svc := newService(name, s.failureDomain, s.retries, rng, s.log)
	s.byName[name] = svc
	now := clock.Now()
	svc.setServers(now, view.UsableServers(name))
	svc.setOthers(now, s.others, s.staleness)
	return svc
}

// all returns all services.
func (s *services) all() []*service {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*service, 0, len(s.byName))
	for _, svc := range s.byName {
		list = append(list, svc)
	}
	return list
}

// refresh takes the registered servers from view.
func (s *services) refresh(view *ClusterState) {
	now := clock.Now()
	for _, svc := range s.all() {
		svc.setServers(now, view.UsableServers(svc.name))
	}
}

// setOthers takes the load that other gateways cause.
func (s *services) setOthers(load map[loadshare.ServerKey]int, staleness time.Duration) {
	s.mu.Lock()
	s.others, s.staleness = load, staleness
	s.mu.Unlock()
	now := clock.Now()
	for _, svc := range s.all() {
		svc.setOthers(now, load, staleness)
	}
}

// slowRank takes the report of the agent beside a slow rank.
func (s *services) slowRank(address string, pace float64) {
	if pace < slowRankPace {
		return
	}
	now := clock.Now()
	for _, svc := range s.all() {
		svc.slowRank(now, address)
	}
}

// setGateways shares the extra retries among the gateways.
func (s *services) setGateways(n int) {
	burst := retryBurst(s.retryExtra, n)
	s.mu.Lock()
	s.retries.Burst = burst
	s.mu.Unlock()
	for _, svc := range s.all() {
		svc.setRetryBurst(burst)
	}
}

// retryBurst is one gateway's part of the extra retries.
func retryBurst(extra float64, gateways int) float64 {
	return max(extra*retryBudgetMargin/float64(max(gateways, minBudgetGateways)), 1)
}

// own returns the requests of this gateway on each server.
func (s *services) own() map[string]int {
	load := make(map[string]int)
	for _, svc := range s.all() {
		svc.own(func(id string, inFlight int) { load[id] = inFlight })
	}
	return load
}
