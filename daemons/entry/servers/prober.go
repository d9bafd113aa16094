package servers

import (
	"context"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/balance/routing"
	"github.com/filbertmux/filbertmux/base/infra"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

const (
	// probeTick is the time between two looks at the due probes. The bounds of
	// package membership are given for it.
	probeTick = 50 * time.Millisecond
	// probeWait is the longest time for which a request waits for the probes
	// that it asked for. A probe within a region takes about 2 ms.
	probeWait = 3 * time.Millisecond
	// maxProbes bounds the probes in flight, so that silent servers can't pile
	// up goroutines. 600 servers fail their probes within 500 ms.
	maxProbes = 1024
)

// ProbeFunc asks the sidecar of a server for its load.
type ProbeFunc func(ctx context.Context, server infra.Instance) (*pb.ProbeResponse, error)

// Prober sends the probes of Servers. It is safe for concurrent use.
type Prober struct {
	servers *Servers
	probe   ProbeFunc
	slots   chan struct{}
}

// NewProber returns a prober for servers.
func NewProber(servers *Servers, probe ProbeFunc) *Prober {
	return &Prober{servers: servers, probe: probe, slots: make(chan struct{}, maxProbes)}
}

// Run sends the probes that the membership view asks for until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	ticker := time.NewTicker(probeTick)
	defer ticker.Stop()
	for {
		p.start(ctx, p.servers.due())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// BeforePick sends the probes that the policy asks for because of r, and waits
// a little for their answers. The probes outlive the request.
func (p *Prober) ProbeBeforePick(ctx context.Context, r Request) {
	targets := p.servers.probesFor(r)
	if len(targets) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	select {
	case <-p.start(context.WithoutCancel(ctx), targets):
	case <-ctx.Done():
	}
}

// start probes the targets and returns a channel that is closed after the last
// answer. A target without a free slot counts as answered and is probed again
// once membership times it out.
func (p *Prober) start(ctx context.Context, targets []infra.Instance) <-chan struct{} {
	var pending sync.WaitGroup
	for _, target := range targets {
		select {
		case p.slots <- struct{}{}:
		default:
			continue
		}
		pending.Add(1)
		go func() {
			defer func() { <-p.slots }()
			defer pending.Done()
			p.send(ctx, target)
		}()
	}
	done := make(chan struct{})
	go func() {
		pending.Wait()
		close(done)
	}()
	return done
}

func (p *Prober) send(ctx context.Context, target infra.Instance) {
	sent := p.servers.config.Now()
	limited, cancel := context.WithTimeout(ctx, p.servers.config.Membership.ProbeTimeout)
	defer cancel()
	answer, err := p.probe(limited, target)
	switch {
	case err == nil:
		p.servers.RecordResponse(target, sent, answer.GetLoad(), routing.Probed)
	case ctx.Err() != nil:
	default:
		p.servers.RecordConnectionFailure(target, sent, limited.Err() != nil)
	}
}

// due returns the servers that the membership view wants to be probed now.
func (s *Servers) due() []infra.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyList()
	return s.instances(s.view.DueProbes(s.config.Now()))
}

// probesFor returns the servers that the policy wants to be probed because of
// a request. Bookings follow their key and need no load.
func (s *Servers) probesFor(r Request) []infra.Instance {
	if r.IdempotencyKey != "" {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyList()
	candidates := routingCandidates(s.candidates(r))
	if len(candidates) < 2 {
		return nil
	}
	return s.instances(s.service(r.Service).policy.Probes(s.routingRequest(s.config.Now(), r, candidates)))
}

func (s *Servers) instances(ids []string) []infra.Instance {
	found := make([]infra.Instance, 0, len(ids))
	for _, id := range ids {
		if m, ok := s.view.Get(id); ok {
			found = append(found, m.Instance)
		}
	}
	return found
}
