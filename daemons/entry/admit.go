package entry

import (
	"context"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/daemons/entry/admission"
)

// refreshInterval is the interval at which changes of the table and of the number
// of usable servers are applied.
const refreshInterval = 100 * time.Millisecond

// run checks the limits of the organisation, waits for a concurrency slot of the
// service and runs the request. The limits are checked first, so that an
// organisation above its limit can't fill the queue. The limit of requests in
// flight also bounds the concurrent streams of one organisation.
func (s *Server) run(ctx context.Context, r *request, out *responseWriter) error {
	x := s.dispatcher.newExchange(r, out)
	releaseQuota, err := s.quota.Admit(r.call.GetOrganisation(), r.cost)
	if err != nil {
		return x.refuse(ctx, err)
	}
	x.limitPassed(ctx)
	ran := false
	defer func() { releaseQuota(ran) }()
	releaseSlot, err := s.acquireSlot(ctx, r)
	if err != nil {
		s.dispatcher.recordQueueRefusal(r, err)
		return x.refuse(ctx, err)
	}
	x.releaseSlot = sync.OnceFunc(releaseSlot)
	defer x.releaseSlot()
	err = x.run(ctx)
	ran = err == nil || errkind.Of(err).Execution != errkind.NotRun
	return err
}

// acquireSlot waits for a concurrency slot of the service.
func (s *Server) acquireSlot(ctx context.Context, r *request) (release func(), err error) {
	start := time.Now()
	deadline, _ := ctx.Deadline()
	release, err = s.admission.Acquire(ctx, admission.Request{
		Service:      r.call.GetService(),
		Class:        r.call.GetClass(),
		Organisation: r.call.GetOrganisation(),
		Cost:         r.cost,
		Deadline:     deadline,
	})
	s.metrics.ObserveQueueWait(metricLabels(r), time.Since(start))
	return release, err
}

// refresh periodically applies changes of the table and of the backend servers
// until ctx ends.
func (s *Server) refresh(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		s.quota.Refresh()
		s.admission.Refresh()
		s.metrics.SetGauge("queued", float64(s.admission.QueueLength()))
		s.evacuations.refresh()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// concurrencyLimit returns the maximum number of requests of this entry in flight
// to the backend servers of a service: the fixed setting, or this entry's share of
// the slots of the usable servers. Without a usable server it is still positive,
// so that routing refuses the requests at once instead of letting them queue.
func (s *Server) concurrencyLimit(service string) int {
	if s.settings.MaxConcurrent > 0 {
		return s.settings.MaxConcurrent
	}
	slots := s.settings.ServerConcurrency * max(1, s.servers.UsableCount(service))
	return max(minConcurrencyLimit, slots/s.liveEntries())
}

// slotsPerServer returns this entry's share of the slots of one server.
func (s *Server) slotsPerServer() int {
	return max(minConcurrencyLimit, s.settings.ServerConcurrency/s.liveEntries())
}

// minConcurrencyLimit is the minimum concurrency limit of an entry. With many
// entries and few servers the computed share is below one request.
const minConcurrencyLimit = 4

// liveEntries returns the number of live entries, including this one.
func (s *Server) liveEntries() int { return 1 + len(s.otherEntries()) }

// otherEntries returns the live entries other than this one.
func (s *Server) otherEntries() []infra.Instance {
	list := s.instances()
	if list == nil {
		return nil
	}
	var others []infra.Instance
	for _, instance := range *list {
		if instance.Role == infra.RoleEntry && instance.State == infra.StateLive && instance.ID != s.settings.Instance {
			others = append(others, instance)
		}
	}
	return others
}
