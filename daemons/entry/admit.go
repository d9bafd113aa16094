package entry

import (
	"context"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/daemons/entry/admission"
)

// refreshInterval is the time between two looks at a changed table and at the
// number of usable servers.
const refreshInterval = 100 * time.Millisecond

// run admits the request within the limits of its organisation, waits for a
// place toward the backend servers and runs it. The limits come first, so that
// an organisation above its limit can't fill the queue. The limit of requests
// in flight is also the bound on the concurrent streams of one caller.
func (s *Server) run(ctx context.Context, r *request, out *answer) error {
	x := s.dispatcher.newExchange(r, out)
	free, err := s.quota.Admit(r.call.GetOrganisation(), r.cost)
	if err != nil {
		return x.refused(ctx, err)
	}
	x.limitPassed(ctx)
	ran := false
	defer func() { free(ran) }()
	release, err := s.enter(ctx, r)
	if err != nil {
		s.dispatcher.noteRefusal(r, err)
		return x.refused(ctx, err)
	}
	defer release()
	err = x.run(ctx)
	ran = err == nil || errkind.Of(err).Execution != errkind.NotRun
	return err
}

// enter waits for a place toward the backend servers of the service.
func (s *Server) enter(ctx context.Context, r *request) (release func(), err error) {
	start := time.Now()
	deadline, _ := ctx.Deadline()
	release, err = s.admission.Acquire(ctx, admission.Request{
		Service:      r.call.GetService(),
		Class:        r.call.GetClass(),
		Organisation: r.call.GetOrganisation(),
		Cost:         r.cost,
		Deadline:     deadline,
	})
	s.metrics.ObserveQueueWait(labels(r), time.Since(start))
	return release, err
}

// refresh follows the table and the backend servers until ctx ends.
func (s *Server) refresh(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		s.quota.Refresh()
		s.admission.Refresh()
		s.metrics.SetGauge("queued", float64(s.admission.QueueLength()))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// concurrency returns the most requests of this entry toward the backend
// servers of a service: the fixed setting, or this entry's part of the places
// at the usable servers. Without a usable server it still lets requests pass,
// which routing refuses at once.
func (s *Server) concurrency(service string) int {
	if s.settings.MaxConcurrent > 0 {
		return s.settings.MaxConcurrent
	}
	places := s.settings.ServerConcurrency * max(1, s.servers.UsableCount(service))
	return max(minConcurrency, places/s.liveEntries())
}

// placesPerServer returns this entry's part of the places at one server.
func (s *Server) placesPerServer() int {
	return max(minConcurrency, s.settings.ServerConcurrency/s.liveEntries())
}

// minConcurrency is the least bound of an entry. With many entries and few
// servers the derived part is below one request.
const minConcurrency = 4

// liveEntries returns the number of live entries, including this one.
func (s *Server) liveEntries() int { return 1 + len(s.otherEntries()) }

// otherEntries returns the live entries without this one.
func (s *Server) otherEntries() []infra.Instance {
	list := s.instances()
	if list == nil {
		return nil
	}
	var others []infra.Instance
	for _, i := range *list {
		if i.Role == infra.RoleEntry && i.State == infra.StateLive && i.ID != s.settings.Instance {
			others = append(others, i)
		}
	}
	return others
}
