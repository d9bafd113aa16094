package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/balance/liveness"
	"github.com/filbertmux/filbertmux/balance/loadshare"
	"github.com/filbertmux/filbertmux/balance/membership"
	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/balance/requestlimit"
	"github.com/filbertmux/filbertmux/balance/statement"
	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/serve/fairqueue"
	"github.com/filbertmux/filbertmux/serve/hedge"
	"github.com/filbertmux/filbertmux/serve/retry"
)

const (
	// serverQueueDepth is the number of requests that a server is sent in addition
	// to its slots. One is enough to keep a freed slot busy until the gateway
	// learns that it is free.
	serverQueueDepth = 1
	// queueCapacity limits the requests that wait for one service.
	queueCapacity = 512
	// classReserve is the fraction of the service that is reserved for each class, except
	// the most urgent one, while the class has requests. All reserves together are at most
	// maxTotalReserve.
	classReserve    = 0.05
	maxTotalReserve = 0.45
	// retryBudgetShare is the fraction of the shared retry budget that the
	// gateways use. The rest covers gateways that restart with a full budget and
	// requests that are counted in another window.
	retryBudgetShare = 0.7
	// minBudgetGateways is the least number of gateways by which the extra
	// retries are divided, so that a gateway that has discovered no peers yet
	// doesn't take a large share. Both deployments have 10 gateways, and 6 more
	// may be added.
	minBudgetGateways = 16
	// baseRetryDelay and maxRetryDelay limit the delay before a retry.
	baseRetryDelay = 5 * time.Millisecond
	maxRetryDelay  = 100 * time.Millisecond
	// overloadCooldown is the time without retries after a server refused a
	// request while the whole service was full.
	overloadCooldown = 500 * time.Millisecond
	// queueCheckInterval is the time between checks of the queue by a waiting
	// request.
	queueCheckInterval = 50 * time.Millisecond
	// waitSlack is added to the wait limit, so that the wait has expired when the
	// dispatch at its end runs.
	waitSlack = 2 * time.Millisecond
	// failureCooldown is the time without new requests for a server after a
	// failed attempt.
	failureCooldown = 700 * time.Millisecond
	// slowRankSlowdown is the slowdown from which a rank counts as slow. A slow
	// rank gets requests only if all ranks are slow.
	slowRankSlowdown = 1.3
	// silentCooldown is the time without new requests for a server that doesn't
	// answer a probe.
	silentCooldown = time.Second
	// fullCooldown is the time without new requests for a server that refused
	// one because it was full.
	fullCooldown = 100 * time.Millisecond
)

// service assigns the requests of one service to its backend servers. It is safe
// for concurrent use.
type service struct {
	name    string
	log     zerolog.Logger
	regions fleet.Regions

	mu        sync.Mutex
	scheduler *placement.Scheduler[*waiter]
	outliers  *membership.OutlierDetector
	liveness  *liveness.Tracker
	budget    *retry.Budget
	rng       *rand.Rand
	// groupByServer maps server IDs to rank groups, and serverByAddress maps
	// addresses to server IDs.
	groupByServer   map[string]string
	serverByAddress map[string]string
	// listed is the last list of the registered servers, and ejected those of them that are
	// left out because they fail.
	listed  []fleet.Server
	ejected map[string]bool
	// incarnations holds the incarnation of each server.
	incarnations map[string]string
	// evacuated lists the evacuated failure domains.
	evacuated []string
	// slowRankReportedAt is when a slow rank was last reported.
	slowRankReportedAt time.Time
	// lastProgressAt is when any server last sent a part of a response.
	lastProgressAt time.Time
	// eventGaps tracks the times between the events of this gateway's streams.
	eventGaps placement.EventGaps
	// batchLimits limits the requests of each batch of servers by these times, and
	// batchModel is the performance of their engines.
	batchLimits map[string]*placement.BatchLimit
	batchModel  placement.BatchModel
	// requestLimits holds the request limits that servers state, and statements what else
	// they state about themselves.
	requestLimits *requestlimit.Table
	statements    *statement.Table
	// paced means that the scheduler may have the pace of a limit.
	paced bool
	// coldServers holds the servers that are known to be cold, and coldDuration is how long
	// a server is cold after its start.
	coldServers  map[string]bool
	coldDuration time.Duration
	// memoryTokens is the memory of each server in tokens, or 0 if it isn't known.
	memoryTokens int
	// meanLoads is the mean number of requests on the servers of each batch at the last
	// load report.
	meanLoads map[string]float64
	// outputTimes tracks the time to the first part of a response.
	outputTimes placement.OutputTimes
	// urgencies are those of the priority classes of the scheduler.
	urgencies []fleet.Urgency
	// reportedHeldBack are the numbers of servers held back that the metrics show. They belong
	// to the goroutine that reports them and not to the mutex.
	reportedHeldBack placement.HeldBack
	// hedger decides about hedges. It is nil if requests aren't hedged, which doesn't change,
	// so that may be read without the mutex.
	hedger *hedge.Hedger
}

// waiter is a request that waits for a slot.
type waiter struct {
	// outcome receives exactly one value.
	outcome chan placement.Outcome[*waiter]
}

func newService(
	name, failureDomain string, budget retry.Config, rng *rand.Rand, log zerolog.Logger,
) *service {
	return &service{
		name: name,
		log:  log.With().Str("service", name).Logger(),
		scheduler: placement.New[*waiter](placement.Config{
			FailureDomain:    failureDomain,
			ServerQueueDepth: serverQueueDepth,
			QueueCapacity:    queueCapacity,
		}, rng),
		outliers: membership.NewOutlierDetector(membership.DefaultOutlierConfig()),
		liveness: liveness.New(),
		budget:   retry.NewBudget(budget),
		rng:      rng,

		requestLimits: requestlimit.New(),
		statements:    statement.New(rng.Float64),
		batchLimits:   make(map[string]*placement.BatchLimit),
		coldServers:   make(map[string]bool),
	}
}

// setClasses replaces the priority classes, one for each urgency, the most urgent one first.
func (s *service) setClasses(urgencies []fleet.Urgency) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(urgencies, s.urgencies) {
		return
	}
	s.urgencies = slices.Clone(urgencies)
	s.scheduler.SetClasses(classesOf(urgencies))
}

func classesOf(urgencies []fleet.Urgency) []fairqueue.Class {
	list := make([]fairqueue.Class, len(urgencies))
	for i, u := range urgencies {
		list[i] = fairqueue.Class{Name: u.String()}
		if i > 0 {
			list[i].Reserve = min(classReserve, maxTotalReserve/float64(len(urgencies)))
		}
	}
	return list
}

// setServers replaces the registered servers of the service.
func (s *service) setServers(now time.Time, list []fleet.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = list
	s.applyServers(now, list)
}

// applyServers applies the list of the registered servers. The caller holds the mutex.
func (s *service) applyServers(now time.Time, list []fleet.Server) {
	known := make(map[string]bool, len(list))
	candidates := make([]membership.Server, 0, len(list))
	// Servers without requests prove nothing about the others, so the evacuated ones aren't
	// among those of which a part may be ejected.
	var evacuated []membership.Server
	byID := make(map[string]fleet.Server, len(list))
	for _, l := range list {
		known[l.ID] = true
		byID[l.ID] = l
		server := membership.Server{Instance: infra.Instance{ID: l.ID}}
		if slices.Contains(s.evacuated, l.FailureDomain) {
			evacuated = append(evacuated, server)
			continue
		}
		candidates = append(candidates, server)
	}
	s.groupByServer = make(map[string]string, len(list))
	s.serverByAddress = make(map[string]string, len(list))
	for _, l := range list {
		s.groupByServer[l.ID] = l.Group
		s.serverByAddress[l.Address] = l.ID
	}
	incarnations := make(map[string]string, len(list))
	for _, l := range list {
		incarnations[l.ID] = incarnationOf(l)
	}
	unchanged := func(id string) bool { return known[id] && s.incarnations[id] == incarnations[id] }
	s.outliers.Retain(unchanged)
	s.liveness.Retain(unchanged)
	former := s.incarnations
	s.incarnations = incarnations
	var kept []placement.Server
	for _, c := range append(s.outliers.Filter(now, candidates), evacuated...) {
		kept = append(kept, s.placementServer(byID[c.ID]))
		delete(byID, c.ID)
	}
	s.scheduler.SetServers(kept)
	s.setEjected(byID)
	s.meanLoads = s.scheduler.MeanLoads()
	maps.DeleteFunc(s.batchLimits, func(key string, _ *placement.BatchLimit) bool {
		_, listed := s.meanLoads[key]
		return !listed
	})
	s.setBatchLimits(now)
	s.recordColdServers(now, list, former)
	// Applying the limits starts waiting requests, so what the servers have stated comes first.
	s.retainStatements(now, list)
	s.retainRequestLimits(now)
	s.deliver(s.scheduler.Dispatch(now))
}

// placementServer converts a registered server.
func (s *service) placementServer(l fleet.Server) placement.Server {
	return placement.Server{
		ID: l.ID, FailureDomain: l.FailureDomain, Region: s.regions.Of(l.FailureDomain),
		Slots: l.Slots, Group: l.Group, Incarnation: s.incarnations[l.ID],
		MemoryTokens: s.memoryTokens,
	}
}

// setEvacuated replaces the evacuated failure domains.
func (s *service) setEvacuated(now time.Time, domains []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated = domains
	s.deliver(s.scheduler.SetEvacuated(now, domains))
	s.meanLoads = s.scheduler.MeanLoads()
	s.setBatchLimits(now)
	s.deliver(s.scheduler.Dispatch(now))
}

// domainLoad returns the number of servers in a failure domain, and the requests of this
// gateway that are in flight there.
func (s *service) domainLoad(domain string) (servers, inFlight int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.DomainLoad(domain)
}

// incarnationOf identifies a run of a server at an address.
func incarnationOf(s fleet.Server) string {
	return s.Address + "@" + strconv.FormatInt(s.StartedUnixMs, 10)
}

// setPeerLoad replaces the load that the other gateways put on each server.
// staleness is the sum of the ages of their reports.
func (s *service) setPeerLoad(now time.Time, load map[loadshare.ServerKey]int, staleness time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetPeerLoad(func(id string) int { return load[loadshare.ServerKeyOf(id)] })
	s.scheduler.SetPeerStaleness(staleness)
	s.meanLoads = s.scheduler.MeanLoads()
	s.setBatchLimits(now)
	s.deliver(s.scheduler.Dispatch(now))
}

// dispatch runs the scheduler, which ends the waits that have expired.
func (s *service) dispatch(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.scheduler.Dispatch(now))
}

// load returns the numbers of requests in flight, slots and waiting requests, for
// log lines.
func (s *service) load() (inFlight, slots, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight, slots = s.scheduler.TotalLoad()
	return inFlight, slots, s.scheduler.QueueLen()
}

// ownLoad calls report for each server that has requests of this gateway in
// flight.
func (s *service) ownLoad(report func(id string, inFlight int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.VisitOwnLoad(report)
}

// acquire waits for a slot and returns the ID of its server. The request counts
// towards the load of that server until release is called.
func (s *service) acquire(ctx context.Context, r placement.Request[*waiter]) (string, error) {
	w := &waiter{outcome: make(chan placement.Outcome[*waiter], 1)}
	r.Value = w
	s.mu.Lock()
	ticket, outcomes := s.scheduler.Place(clock.Now(), r)
	s.deliver(outcomes)
	s.mu.Unlock()
	if len(w.outcome) == 0 {
		s.awaitOutcome(ctx, w, r.MaxWait)
	}
	if len(w.outcome) > 0 {
		return serverOrError(<-w.outcome)
	}
	s.mu.Lock()
	waiting := ticket != nil && s.scheduler.Cancel(ticket)
	s.mu.Unlock()
	if waiting {
		return "", errkind.Wrap(errkind.Canceled, context.Cause(ctx), "cancelled while waiting for a slot")
	}
	// The outcome arrived concurrently. The caller releases the slot.
	return serverOrError(<-w.outcome)
}

// awaitOutcome returns when ctx has ended or the outcome of w has arrived, which
// it leaves in the channel. At the wait limit dispatch ends the wait.
func (s *service) awaitOutcome(ctx context.Context, w *waiter, limit time.Duration) {
	timer := time.NewTimer(min(limit+waitSlack, queueCheckInterval))
	defer timer.Stop()
	for {
		select {
		case o := <-w.outcome:
			w.outcome <- o
			return
		case <-ctx.Done():
			return
		case <-timer.C:
			s.dispatch(clock.Now())
			timer.Reset(queueCheckInterval)
		}
	}
}

func serverOrError(o placement.Outcome[*waiter]) (string, error) {
	if o.Err != nil {
		return "", o.Err
	}
	return o.Server, nil
}

// deliver sends outcomes to their waiters. The caller holds the mutex; sending
// doesn't block, because each channel has a buffer for its only outcome.
func (s *service) deliver(outcomes []placement.Outcome[*waiter]) {
	for _, o := range outcomes {
		o.Value.outcome <- o
	}
}

// setRetryBurst sets this gateway's share of the extra retries.
func (s *service) setRetryBurst(burst float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetBurst(burst)
}

// recordFirstAttempt adds a new request to the retry budget.
func (s *service) recordFirstAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordFirstAttempt()
}

// decideRetry decides whether and when a failed attempt is retried.
func (s *service) decideRetry(now time.Time, a retry.Attempt) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Decide(now, a, s.rng)
}

// recordProgress records that a server sent a part of a response, which shows
// that its rank group is up.
func (s *service) recordProgress(now time.Time, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastProgressAt = now
	s.liveness.RecordActivity(now, server)
	if s.scheduler.MarkGroupUp(s.groupByServer[server]) {
		s.log.Info().Str("group", s.groupByServer[server]).Str("server", server).Msg("rank group serves again")
		s.deliver(s.scheduler.Dispatch(now))
	}
}

// lastProgress returns when any server last sent a part of a response.
func (s *service) lastProgress() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastProgressAt
}
