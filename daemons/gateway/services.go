package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/balance/loadshare"
	"github.com/filbertmux/filbertmux/balance/requestlimit"
	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/serve/hedge"
	"github.com/filbertmux/filbertmux/serve/retry"
)

// serviceRegistry holds the services by name. It is safe for concurrent use.
type serviceRegistry struct {
	failureDomain string
	regions       fleet.Regions
	retryExtra    float64
	rng           *rand.Rand
	log           zerolog.Logger

	mu sync.Mutex
	// retryConfig has this gateway's share of the extra retries as its burst.
	retryConfig retry.Config
	byName      map[string]*service
	gateways    gatewayList
	// bounds holds the current bounds of the gateway.
	bounds *atomic.Pointer[platform.Bounds]
	// peerLoad is the load that other gateways put on each server, and staleness
	// is the sum of the ages of their reports.
	peerLoad  map[loadshare.ServerKey]int
	staleness time.Duration
	// evacuated lists the evacuated failure domains.
	evacuated []string
	// hedging is the configuration of the hedgers. It doesn't change while the gateway serves.
	hedging hedge.Config
}

// gatewayList holds the addresses of this gateway and of the others.
type gatewayList struct {
	self string
	// live holds the others that have sent reports recently.
	live []string
	// known holds all others that may be running. listed means that the list in the store
	// has been read.
	known  []string
	listed bool
}

func newServiceRegistry(s platform.Settings, bounds *atomic.Pointer[platform.Bounds], rng *rand.Rand, log zerolog.Logger) *serviceRegistry {
	return &serviceRegistry{
		failureDomain: s.FailureDomain, regions: s.Regions, retryExtra: s.Bounds.RetryExtra, retryConfig: retryConfig(s.Bounds),
		bounds: bounds, rng: rng, log: log, byName: make(map[string]*service),
	}
}

// get returns the service with this name. It creates the service if necessary,
// with the current servers and peer load.
func (s *serviceRegistry) get(name string, state *ClusterState) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	if svc, ok := s.byName[name]; ok {
		return svc
	}
	rng := rand.New(rand.NewPCG(s.rng.Uint64(), s.rng.Uint64()))
	svc := newService(name, s.failureDomain, s.retryConfig, rng, s.log)
	s.byName[name] = svc
	now := clock.Now()
	svc.regions = s.regions
	svc.hedger = newHedger(s.hedging)
	svc.setEvacuated(now, s.evacuated)
	svc.configure(state)
	svc.setGateways(now, s.gateways)
	s.setColdLimitOf(now, svc, state)
	svc.setServers(now, state.UsableServers(name))
	svc.setPeerLoad(now, s.peerLoad, s.staleness)
	return svc
}

func (s *serviceRegistry) all() []*service {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*service, 0, len(s.byName))
	for _, svc := range s.byName {
		list = append(list, svc)
	}
	return list
}

// refreshServers updates the servers of all services from state.
func (s *serviceRegistry) refreshServers(state *ClusterState) {
	now := clock.Now()
	for _, svc := range s.all() {
		svc.configure(state)
		s.setColdLimitOf(now, svc, state)
		svc.setServers(now, state.UsableServers(svc.name))
	}
}

// setPeerLoad replaces the load that other gateways put on each server. staleness
// is the sum of the ages of their reports.
func (s *serviceRegistry) setPeerLoad(load map[loadshare.ServerKey]int, staleness time.Duration) {
	s.mu.Lock()
	s.peerLoad, s.staleness = load, staleness
	s.mu.Unlock()
	now := clock.Now()
	for _, svc := range s.all() {
		svc.setPeerLoad(now, load, staleness)
	}
}

// setEvacuated replaces the evacuated failure domains.
func (s *serviceRegistry) setEvacuated(domains []string) {
	s.mu.Lock()
	s.evacuated = domains
	s.mu.Unlock()
	now := clock.Now()
	for _, svc := range s.all() {
		svc.setEvacuated(now, domains)
	}
}

// domainLoad returns the number of servers in a failure domain, and the requests of this
// gateway that are in flight there.
func (s *serviceRegistry) domainLoad(domain string) (servers, inFlight int) {
	for _, svc := range s.all() {
		ofService, requests := svc.domainLoad(domain)
		servers, inFlight = servers+ofService, inFlight+requests
	}
	return servers, inFlight
}

// avoidSlowRank handles a slowdown report of a rank agent. address is the address
// of the rank's backend server.
func (s *serviceRegistry) avoidSlowRank(address string, slowdown float64) {
	if slowdown < slowRankSlowdown {
		return
	}
	now := clock.Now()
	for _, svc := range s.all() {
		svc.avoidSlowRank(now, address)
	}
}

// setGateways divides the extra retries and the limits of the servers among this
// gateway and the others, by their addresses.
func (s *serviceRegistry) setGateways(list gatewayList) {
	burst := retryBurst(s.retryExtra, len(list.live)+1)
	s.mu.Lock()
	s.retryConfig.Burst, s.gateways = burst, list
	s.mu.Unlock()
	now := clock.Now()
	for _, svc := range s.all() {
		svc.setRetryBurst(burst)
		svc.setGateways(now, list)
	}
}

// setPeerLimits records what servers have stated in responses to other gateways.
func (s *serviceRegistry) setPeerLimits(statements map[loadshare.ServerKey]requestlimit.Statement) {
	if len(statements) == 0 {
		return
	}
	now := clock.Now()
	for _, svc := range s.all() {
		svc.recordPeerLimits(now, statements)
	}
}

// ownLimits returns what servers have stated in responses to this gateway.
func (s *serviceRegistry) ownLimits(now time.Time) map[loadshare.ServerKey]requestlimit.Statement {
	limits := make(map[loadshare.ServerKey]requestlimit.Statement)
	for _, svc := range s.all() {
		svc.reportRequestLimits(now, func(key loadshare.ServerKey, statement requestlimit.Statement) { limits[key] = statement })
	}
	return limits
}

// retryBurst returns one gateway's share of the extra retries, at least 1.
func retryBurst(extra float64, gateways int) float64 {
	return max(extra*retryBudgetShare/float64(max(gateways, minBudgetGateways)), 1)
}

// ownLoad returns the number of this gateway's requests in flight on each server.
func (s *serviceRegistry) ownLoad() map[string]int {
	load := make(map[string]int)
	for _, svc := range s.all() {
		svc.ownLoad(func(id string, inFlight int) { load[id] = inFlight })
	}
	return load
}

// configure updates the engine and the priority classes of a service from the
// configuration.
func (s *service) configure(state *ClusterState) {
	if index := state.Index(); index != nil {
		s.setEngine(clock.Now(), index.Config.Services[s.name].Engine, index.Config.EventGapObjective(s.name))
		s.setClasses(index.Urgencies(s.name))
	}
}
