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
	// probeInterval is the interval at which due probes are sent. The detection
	// times stated in package membership assume it.
	probeInterval = 50 * time.Millisecond
	// maxProbeWait is the maximum time for which a request waits for the probes
	// that it triggered. A probe within a region takes about 2 ms.
	maxProbeWait = 3 * time.Millisecond
	// maxProbesInFlight bounds the concurrent probes, so that unresponsive servers
	// can't accumulate goroutines. The probes of 600 servers fail within 500 ms.
	maxProbesInFlight = 1024
)

// ProbeFunc probes the sidecar of a server.
type ProbeFunc func(ctx context.Context, server infra.Instance) (*pb.ProbeResponse, error)

// Prober sends the probes of Servers. It is safe for concurrent use.
type Prober struct {
	servers *Servers
	probe   ProbeFunc
	slots   chan struct{}
}

// NewProber returns a prober for servers.
func NewProber(servers *Servers, probe ProbeFunc) *Prober {
	return &Prober{servers: servers, probe: probe, slots: make(chan struct{}, maxProbesInFlight)}
}

// Run sends the probes that the membership view needs until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		p.start(ctx, p.servers.dueProbes())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// ProbeBeforePick sends the probes that the policy needs to route r, and waits for
// their responses for at most maxProbeWait. The probes continue after that.
func (p *Prober) ProbeBeforePick(ctx context.Context, r Request) {
	targets := p.servers.policyProbes(r)
	if len(targets) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxProbeWait)
	defer cancel()
	select {
	case <-p.start(context.WithoutCancel(ctx), targets):
	case <-ctx.Done():
	}
}

// start probes the targets and returns a channel that is closed after the last
// response. A target for which no slot is free is skipped; it is probed again when
// its probe times out in the membership view.
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
	probeCtx, cancel := context.WithTimeout(ctx, p.servers.config.Membership.ProbeTimeout)
	defer cancel()
	response, err := p.probe(probeCtx, target)
	switch {
	case err == nil:
		p.servers.RecordResponse(target, sent, response.GetLoad(), routing.Probed)
	case ctx.Err() != nil:
	default:
		p.servers.RecordConnectionFailure(target, sent, probeCtx.Err() != nil)
	}
}

// dueProbes returns the servers whose probe is due in the membership view.
func (s *Servers) dueProbes() []infra.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyList()
	return s.instances(s.view.DueProbes(s.config.Now()))
}

// policyProbes returns the servers that the policy needs to probe to route a
// request. Non-idempotent requests are routed by their key and need no load.
func (s *Servers) policyProbes(r Request) []infra.Instance {
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
	return s.instances(s.serviceState(r.Service).policy.Probes(s.routingRequest(s.config.Now(), r, candidates)))
}

func (s *Servers) instances(ids []string) []infra.Instance {
	instances := make([]infra.Instance, 0, len(ids))
	for _, id := range ids {
		if server, ok := s.view.Get(id); ok {
			instances = append(instances, server.Instance)
		}
	}
	return instances
}
