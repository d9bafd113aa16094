package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/fleet"
	"github.com/filbertmux/filbertmux/platform"
)

const (
	// evacuationCheckInterval is the time between two checks whether the requests in
	// flight in evacuated failure domains have ended. They serve the log and the metrics
	// only.
	evacuationCheckInterval = 100 * time.Millisecond
	// storeSource is the source of what was read from the store, in log lines.
	storeSource = "store"
)

var errEvacuated = errors.New("the failure domain of the server is evacuated")

// evacuationTracker applies the evacuations of failure domains at one gateway, and logs
// when they begin, when the last request there has ended, and when they are taken back. It
// is safe for concurrent use.
type evacuationTracker struct {
	regions  fleet.Regions
	services *serviceRegistry
	metrics  *telemetry.Metrics
	log      zerolog.Logger
	// domains holds the evacuated failure domains, or nil if there are none.
	domains atomic.Pointer[[]string]
	// began is signalled when an evacuation has begun.
	began chan struct{}

	mu          sync.Mutex
	evacuations fleet.Evacuations
	// busy holds the evacuated failure domains in which requests of this gateway were in
	// flight when they were last checked, with the time at which the evacuation began.
	busy map[string]time.Time
}

func newEvacuationTracker(
	regions fleet.Regions, services *serviceRegistry, metrics *telemetry.Metrics, log zerolog.Logger,
) *evacuationTracker {
	t := &evacuationTracker{
		regions: regions, services: services, metrics: metrics, log: log,
		began: make(chan struct{}, 1), busy: make(map[string]time.Time),
	}
	metrics.SetGauge("evacuated_domains", 0)
	metrics.SetGauge("evacuated_in_flight", 0)
	return t
}

// includes reports whether a failure domain is evacuated.
func (t *evacuationTracker) includes(domain string) bool {
	domains := t.domains.Load()
	return domains != nil && slices.Contains(*domains, domain)
}

// applyRead applies a read of the topic with the evacuations.
func (t *evacuationTracker) applyRead(u topicUpdate) {
	read := fleet.EvacuationRead{
		Snapshot: u.snapshot, Complete: u.snapshot || len(u.records) == 0, EndOffset: u.next, Sent: u.sent,
		Era: int64(u.era), StartedOver: u.startedOver,
	}
	for _, r := range u.records {
		change, ok, err := platform.DecodeEvacuation(r)
		if err != nil {
			t.log.Error().Err(err).Str("key", r.Key).Int64("offset", r.Offset).
				Msg("record of an evacuation can't be read; ignoring it")
		}
		if ok {
			read.Changes = append(read.Changes, change)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(t.evacuations.ApplyRead(read), storeSource)
}

// confirm records that the store had no further records at a time, as other gateways prove.
func (t *evacuationTracker) confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(t.evacuations.Confirm(at), storeSource)
}

// apply puts evacuations that have begun or ended into force. The caller holds the mutex.
func (t *evacuationTracker) apply(changed fleet.EvacuationTransitions, source string) {
	if changed.Empty() {
		return
	}
	names := t.evacuations.View().Names()
	if len(changed.Ended) > 0 {
		// Requests are placed there again from the next line on.
		t.setDomains(names)
	}
	t.services.setEvacuated(names)
	t.setDomains(names)
	now := clock.Now()
	for _, e := range changed.Began {
		t.logBegin(e, source)
		t.busy[e.Domain] = now
	}
	for _, e := range changed.Ended {
		servers, _ := t.services.domainLoad(e.Domain)
		t.log.Info().Str("failure_domain", e.Domain).Str("source", source).Int("servers", servers).
			Msg("evacuation taken back; using the backend servers of the failure domain again")
		delete(t.busy, e.Domain)
	}
	t.metrics.SetGauge("evacuated_domains", float64(len(names)))
	t.checkBusy(now)
	select {
	case t.began <- struct{}{}:
	default:
	}
}

func (t *evacuationTracker) setDomains(names []string) {
	if len(names) == 0 {
		t.domains.Store(nil)
		return
	}
	t.domains.Store(&names)
}

// logBegin logs that an evacuation has begun. One of a failure domain that isn't known has
// no effect unless servers register there later.
func (t *evacuationTracker) logBegin(e fleet.Evacuation, source string) {
	servers, inFlight := t.services.domainLoad(e.Domain)
	line, text := t.log.Info(), "failure domain evacuated; sending no more requests to its backend servers"
	if servers == 0 && !t.regions.Has(e.Domain) {
		line, text = t.log.Warn(), "evacuation of an unknown failure domain; ignoring it while no backend server is there"
	}
	line.Str("failure_domain", e.Domain).Str("source", source).Int64("offset", e.Offset).
		Int("servers", servers).Int("in_flight", inFlight).Msg(text)
}

// watch checks for the end of the requests that are in flight in evacuated failure domains.
func (t *evacuationTracker) watch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.began:
		}
		for t.anyBusy() && clock.Sleep(ctx, evacuationCheckInterval) {
			t.mu.Lock()
			t.checkBusy(clock.Now())
			t.mu.Unlock()
		}
	}
}

func (t *evacuationTracker) anyBusy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.busy) > 0
}

// checkBusy logs the failure domains whose last request in flight has ended. The caller
// holds the mutex.
func (t *evacuationTracker) checkBusy(now time.Time) {
	total := 0
	for _, domain := range slices.Sorted(maps.Keys(t.busy)) {
		_, inFlight := t.services.domainLoad(domain)
		total += inFlight
		if inFlight > 0 {
			continue
		}
		t.log.Info().Str("failure_domain", domain).Dur("after_ms", now.Sub(t.busy[domain])).
			Msg("no more requests are in flight in the evacuated failure domain")
		delete(t.busy, domain)
	}
	t.metrics.SetGauge("evacuated_in_flight", float64(total))
}
