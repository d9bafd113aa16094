package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/balance/liveness"
	"github.com/filbertmux/filbertmux/balance/loadshare"
	"github.com/filbertmux/filbertmux/balance/membership"
	"github.com/filbertmux/filbertmux/balance/placement"
	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/serve/fairqueue"
	"github.com/filbertmux/filbertmux/serve/retry"
)

const (
	// placementDepth is how many requests beyond its slots a server holds. One
	// keeps a freed slot busy while the news of it travels.
	placementDepth = 1
	// queueCapacity bounds the requests that wait for one service.
	queueCapacity = 512
	// classes is the number of priority classes, and classReserve the part of
	// the service that each one but the first gets while it has work.
	classes      = 10
	classReserve = 0.05
	// retryBudgetMargin is the part of the shared retry budget that is used.
	// The rest covers gateways that restart with a full budget and requests
	// that are counted in another window.
	retryBudgetMargin = 0.7
	// minBudgetGateways is the least number of gateways that the extra retries
	// are divided by, so that a gateway that knows no peer yet takes no large
	// part. Both deployments have 10, and 6 more that may be added.
	minBudgetGateways = 16
	// retryDelay and maxRetryDelay bound the pause before a retry.
	retryDelay    = 5 * time.Millisecond
	maxRetryDelay = 100 * time.Millisecond
	// overloadHold is the time without retries after a server was full.
	overloadHold = 500 * time.Millisecond
	// stepInterval is the time between looks at the queue by a request that waits
	// in it.
	stepInterval = 50 * time.Millisecond
	// waitSlack is added to the limit of a wait, so that the step at its end
	// finds it over.
	waitSlack = 2 * time.Millisecond
	// failureHold keeps work away from a server after a broken connection.
	failureHold = 700 * time.Millisecond
	// firstSmoothing is the weight of an answer in the mean time to the first
	// part of one.
	firstSmoothing = 0.05
	// slowRankPace is the pace from which a rank gets work only if all are slow.
	slowRankPace = 1.3
	// silentHold keeps work away from a server that doesn't answer at all.
	silentHold = time.Second
	// fullHold keeps work away from a server that refused for lack of room.
	fullHold = 100 * time.Millisecond
)

// service places the requests of one service. It is safe for concurrent use.
type service struct {
	name string
	log  zerolog.Logger

	mu        sync.Mutex
	scheduler *placement.Scheduler[*waiter]
	outliers  *membership.OutlierDetector
	liveness  *liveness.Tracker
	budget    *retry.Budget
	rng       *rand.Rand
	// groups holds the rank group of each server, addresses the server at each
	// address.
	groups    map[string]string
	addresses map[string]string
	// slowAt is when a slow rank was last reported.
	slowAt time.Time
	// progressed is when any server last sent a part of an answer.
	progressed time.Time
	// pauses are those of the streams of this gateway.
	pauses placement.EventGaps
	// meanFirst is the smoothed time to the first part of an answer.
	meanFirst time.Duration
}

// waiter is a request that waits for a place.
type waiter struct {
	// placed gets exactly one outcome.
	placed chan placement.Outcome[*waiter]
}

func newService(
	name, failureDomain string, budget retry.Config, rng *rand.Rand, log zerolog.Logger,
) *service {
	return &service{
		name: name,
		log:  log.With().Str("service", name).Logger(),
		scheduler: placement.New[*waiter](placement.Config{
			FailureDomain:    failureDomain,
			ServerQueueDepth: placementDepth,
			Classes:          priorityClasses(),
			QueueCapacity:    queueCapacity,
		}, rng),
		outliers: membership.NewOutlierDetector(membership.DefaultOutlierConfig()),
		liveness: liveness.New(),
		budget:   retry.NewBudget(budget),
		rng:      rng,
	}
}

func priorityClasses() []fairqueue.Class {
	list := make([]fairqueue.Class, classes)
	for i := range list {
		list[i] = fairqueue.Class{Name: className(i), Reserve: classReserve}
	}
	list[0].Reserve = 0
	return list
}

// className returns the name of a priority in queues, logs and metrics.
func className(priority int) string {
	return "p" + strconv.Itoa(min(max(priority, 0), classes-1))
}

// setServers takes the registered servers of the service.
func (s *service) setServers(now time.Time, list []fleet.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := make(map[string]bool, len(list))
	candidates := make([]membership.Server, 0, len(list))
	byID := make(map[string]fleet.Server, len(list))
	for _, l := range list {
		known[l.ID] = true
		byID[l.ID] = l
		candidates = append(candidates, membership.Server{Instance: infra.Instance{ID: l.ID}})
	}
	s.groups = make(map[string]string, len(list))
	s.addresses = make(map[string]string, len(list))
	for _, l := range list {
		s.groups[l.ID] = l.Group
		s.addresses[l.Address] = l.ID
	}
	s.outliers.Retain(func(id string) bool { return known[id] })
	s.liveness.Retain(func(id string) bool { return known[id] })
	var kept []placement.Server
	for _, c := range s.outliers.Filter(now, candidates) {
		l := byID[c.ID]
		kept = append(kept, placement.Server{
			ID: l.ID, FailureDomain: l.FailureDomain, Slots: l.Slots, Group: l.Group,
		})
	}
	s.scheduler.SetServers(kept)
	s.deliver(s.scheduler.Dispatch(now))
}

// setOthers takes the load that the other gateways cause.
func (s *service) setOthers(now time.Time, load map[loadshare.ServerKey]int, staleness time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetPeerLoad(func(id string) int { return load[loadshare.ServerKeyOf(id)] })
	s.scheduler.SetPeerStaleness(staleness)
	s.deliver(s.scheduler.Dispatch(now))
}

// step ends the waits that are over.
func (s *service) step(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.scheduler.Dispatch(now))
}

// load returns the requests, slots and waiting requests, for log lines.
func (s *service) load() (inFlight, slots, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight, slots = s.scheduler.TotalLoad()
	return inFlight, slots, s.scheduler.QueueLen()
}

// own calls report for each server with requests of this gateway.
func (s *service) own(report func(id string, inFlight int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.VisitOwnLoad(report)
}

// acquire waits for a place and returns the id of the server on which the
// request is counted until release.
func (s *service) acquire(ctx context.Context, r placement.Request[*waiter]) (string, error) {
	w := &waiter{placed: make(chan placement.Outcome[*waiter], 1)}
	r.Value = w
	s.mu.Lock()
	ticket, outcomes := s.scheduler.Place(clock.Now(), r)
	s.deliver(outcomes)
	s.mu.Unlock()
	if len(w.placed) == 0 {
		s.await(ctx, w, r.MaxWait)
	}
	if len(w.placed) > 0 {
		return outcome(<-w.placed)
	}
	s.mu.Lock()
	waiting := ticket != nil && s.scheduler.Cancel(ticket)
	s.mu.Unlock()
	if waiting {
		return "", errkind.Wrap(errkind.Canceled, context.Cause(ctx), "left while waiting")
	}
	// The outcome came at the same moment; the caller releases the place.
	return outcome(<-w.placed)
}

// await returns when w got its outcome or ctx ended. The wait for a place ends
// by a step of the scheduler at its limit.
func (s *service) await(ctx context.Context, w *waiter, limit time.Duration) {
	timer := time.NewTimer(min(limit+waitSlack, stepInterval))
	defer timer.Stop()
	for {
		select {
		case o := <-w.placed:
			w.placed <- o
			return
		case <-ctx.Done():
			return
		case <-timer.C:
			s.step(clock.Now())
			timer.Reset(stepInterval)
		}
	}
}

func outcome(o placement.Outcome[*waiter]) (string, error) {
	if o.Err != nil {
		return "", o.Err
	}
	return o.Server, nil
}

// deliver hands outcomes to their waiters. The caller holds the mutex; each
// channel has room for its only outcome.
func (s *service) deliver(outcomes []placement.Outcome[*waiter]) {
	for _, o := range outcomes {
		o.Value.placed <- o
	}
}

// setRetryBurst takes this gateway's part of the extra retries.
func (s *service) setRetryBurst(burst float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.SetBurst(burst)
}

// firstAttempt notes a new request.
func (s *service) firstAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.RecordFirstAttempt()
}

// decideRetry decides about a failed attempt.
func (s *service) decideRetry(now time.Time, a retry.Attempt) retry.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Decide(now, a, s.rng)
}

// noteProgress notes a part of an answer. It is a sign that the rank group of the
// server serves.
func (s *service) noteProgress(now time.Time, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progressed = now
	s.liveness.RecordActivity(now, server)
	if s.scheduler.MarkGroupUp(s.groups[server]) {
		s.log.Info().Str("group", s.groups[server]).Str("server", server).Msg("rank group serves again")
		s.deliver(s.scheduler.Dispatch(now))
	}
}

// notePause takes the time between two events of a stream.
func (s *service) notePause(now time.Time, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pauses.Observe(now, pause)
}

// canFinish reports whether a stream with that many events may end in time.
func (s *service) canFinish(now time.Time, events int, objective, left time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pauses.CanFinish(now, events, objective, left)
}

// lastProgress returns when any server last sent a part of an answer.
func (s *service) lastProgress() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progressed
}
