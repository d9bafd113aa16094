package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/topicproof"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

const (
	// sharedPollTimeout is the duration of a long poll on whose proof other gateways rely. It
	// is shorter than configPollTimeout, so that their knowledge, which is older by up to 0.4 s
	// between two requests, is as young as if they polled: 2 x 0.55 + 0.4 s against 2 x 0.8 s.
	// sharedPollJitter keeps the pollers, whose polls end together with each new record, from
	// polling in step.
	sharedPollTimeout = 450 * time.Millisecond
	sharedPollJitter  = 100 * time.Millisecond
	// freshEnoughToWait is the age of the knowledge from which a read doesn't wait for new
	// records, because its response is needed at once.
	freshEnoughToWait = time.Second
	// lostStoreInterval is the time between two reads of a gateway that relies on proofs
	// because it can't read the store. They find out when it can.
	lostStoreInterval = 5 * time.Second
	// askCheckInterval is the time between two checks whether a request for a proof is due.
	askCheckInterval = topicproof.AnswerTimeout
	// configTopicNumber stands for the topic of the configuration in proofs.
	configTopicNumber = 0
	// maxReportedAge is the age up to which knowledge is of use to another gateway.
	maxReportedAge = time.Hour
)

// lostStore is the reason of the reads each lostStoreInterval.
const lostStore topicproof.ReadReason = "store_lost"

// proofExchange shares the reads of the configuration topic with the other gateways: it
// decides when this gateway reads the store, asks others for proofs and answers their
// requests. It is safe for concurrent use.
type proofExchange struct {
	state       *ClusterState
	evacuations *evacuationTracker
	metrics     *telemetry.Metrics
	log         zerolog.Logger
	// send sends a datagram to a gateway.
	send func(to string, data []byte)
	// changed is signalled when a read may have become necessary.
	changed chan struct{}

	mu        sync.Mutex
	knowledge topicproof.Knowledge
	asker     *topicproof.Asker
	pollers   topicproof.Pollers
	self      string
	// lostAt is when the last read failed, or zero if the last one succeeded.
	lostAt time.Time
	// relying means that proofs stand in for the store, which is lost.
	relying bool
	reads   map[topicproof.ReadReason]int
}

func newProofExchange(self string, g *Gateway, send func(string, []byte), log zerolog.Logger) *proofExchange {
	return &proofExchange{
		self: self, state: g.state, evacuations: g.evacuations, metrics: g.metrics, log: log, send: send,
		changed: make(chan struct{}, 1),
		asker:   topicproof.NewAsker(rand.Uint64()), pollers: topicproof.Choose(self, nil),
		reads: make(map[topicproof.ReadReason]int),
	}
}

// setLive replaces the addresses of the other live gateways.
func (p *proofExchange) setLive(live []string) {
	pollers := topicproof.Choose(p.self, live)
	p.mu.Lock()
	defer p.mu.Unlock()
	if pollers.Poller != p.pollers.Poller {
		p.log.Info().Bool("poller", pollers.Poller).Int("gateways", len(live)+1).
			Msg("part in reading the configuration changed")
		p.signal()
	}
	p.pollers = pollers
	p.asker.SetPollers(pollers)
}

func (p *proofExchange) signal() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// waitUntilNeeded waits until the store has to be read, and returns the reason. It returns
// false if ctx has ended.
func (p *proofExchange) waitUntilNeeded(ctx context.Context) (topicproof.ReadReason, bool) {
	for ctx.Err() == nil {
		reason, idle := p.readReason(clock.Now())
		if reason != topicproof.Idle {
			p.metrics.AddToLabelled("store_reads", "reason", string(reason), 1)
			return reason, true
		}
		timer := time.NewTimer(idle)
		select {
		case <-p.changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return topicproof.Idle, false
}

// readReason returns why the store has to be read now, or for how long it needn't be.
func (p *proofExchange) readReason(now time.Time) (topicproof.ReadReason, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reason, until := p.knowledge.ReadReason(now, p.pollers.Poller), p.knowledge.IdleUntil()
	if reason == topicproof.Idle && !p.lostAt.IsZero() {
		retryAt := p.lostAt.Add(lostStoreInterval)
		if !now.Before(retryAt) {
			reason = lostStore
		}
		if retryAt.Before(until) {
			until = retryAt
		}
	}
	if reason != topicproof.Idle {
		p.reads[reason]++
	}
	// The knowledge is too old only after that time.
	return reason, until.Sub(now) + 1
}

// pollTimeout returns for how long the next read waits for new records.
func (p *proofExchange) pollTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, _ := p.knowledge.CurrentAt()
	now := clock.Now()
	reason := p.knowledge.ReadReason(now, p.pollers.Poller)
	switch {
	case now.Sub(current) > freshEnoughToWait, reason != topicproof.Poll && reason != topicproof.NoProof:
		return 0
	case reason == topicproof.Poll && p.pollers.Asked:
		return sharedPollTimeout + rand.N(sharedPollJitter)
	default:
		return configPollTimeout
	}
}

// recordRead records a read whose records are installed.
func (p *proofExchange) recordRead(r topicproof.Read) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.knowledge.RecordRead(r)
	p.lostAt = time.Time{}
	p.updateRelying(clock.Now())
}

// recordFailure records that the store couldn't be read.
func (p *proofExchange) recordFailure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostAt = clock.Now()
	p.updateRelying(p.lostAt)
}

// updateRelying logs when proofs begin and cease to stand in for the store. The caller holds
// the mutex.
func (p *proofExchange) updateRelying(now time.Time) {
	proven, lost := !now.After(p.knowledge.IdleUntil()), !p.lostAt.IsZero()
	if p.relying == (proven && lost) {
		return
	}
	p.relying = !p.relying
	current, _ := p.knowledge.CurrentAt()
	if p.relying {
		p.log.Warn().Dur("age_ms", now.Sub(current)).
			Msg("store lost, but other gateways prove that the configuration is current; relying on their proofs")
		return
	}
	p.log.Info().Bool("store_regained", !lost).Dur("age_ms", now.Sub(current)).
		Msg("no longer relying on proofs of other gateways instead of the store")
}

// run asks other gateways for proofs until ctx ends.
func (p *proofExchange) run(ctx context.Context) error {
	for clock.Sleep(ctx, askCheckInterval) {
		p.mu.Lock()
		now := clock.Now()
		p.updateRelying(now)
		var request topicproof.Request
		due := p.knowledge.WantsProof(now, p.pollers.Poller)
		if due {
			request, due = p.asker.Due(now)
		}
		p.mu.Unlock()
		if due {
			p.sendDatagram(request.To, &pb.Datagram{Kind: &pb.Datagram_ProofRequest{
				ProofRequest: &pb.ProofRequest{Number: request.Number},
			}})
		}
	}
	return nil
}

func (p *proofExchange) sendDatagram(to string, m *pb.Datagram) {
	data, err := proto.Marshal(m)
	if err != nil {
		p.log.Error().Err(err).Msg("encoding a message about proofs failed")
		return
	}
	p.send(to, data)
}

// handle handles a datagram if it is about proofs.
func (p *proofExchange) handle(from netip.AddrPort, m *pb.Datagram) {
	if request := m.GetProofRequest(); request != nil {
		p.answer(from, request)
	}
	if response := m.GetProofResponse(); response != nil {
		p.receive(response)
	}
}

// answer answers the request of the gateway at an address.
func (p *proofExchange) answer(from netip.AddrPort, m *pb.ProofRequest) {
	p.mu.Lock()
	// The time is read after the request has arrived. The age in the response relies on that.
	proof, ok := p.knowledge.Proof(clock.Now())
	p.mu.Unlock()
	if !ok || proof.Age > maxReportedAge || proof.ResponseAge > maxReportedAge {
		return
	}
	p.sendDatagram(from.String(), &pb.Datagram{Kind: &pb.Datagram_ProofResponse{ProofResponse: &pb.ProofResponse{
		Number: m.GetNumber(),
		Topics: []*pb.TopicProof{{
			Topic: configTopicNumber, Next: proof.Next, Digest: proof.Digest,
			AgeMs: roundUpToMs(proof.Age), ResponseAgeMs: roundUpToMs(proof.ResponseAge),
		}},
	}}})
}

// roundUpToMs rounds an age up, because a proof must not look younger than it is.
func roundUpToMs(age time.Duration) uint32 {
	return uint32((age + time.Millisecond - 1) / time.Millisecond)
}

// receive applies the proof in a response.
func (p *proofExchange) receive(m *pb.ProofResponse) {
	p.metrics.AddToCounter("proofs_received", 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	asked, ok := p.asker.Resolve(m.GetNumber())
	if !ok {
		return
	}
	for _, topic := range m.GetTopics() {
		if topic.GetTopic() == configTopicNumber {
			p.apply(asked, topicproof.Proof{
				Next: topic.GetNext(), Digest: topic.GetDigest(),
				Age:         time.Duration(topic.GetAgeMs()) * time.Millisecond,
				ResponseAge: time.Duration(topic.GetResponseAgeMs()) * time.Millisecond,
			})
		}
	}
}

// apply applies a proof. One that confirms the knowledge counts like a read that found
// nothing new. The caller holds the mutex.
func (p *proofExchange) apply(asked time.Time, proof topicproof.Proof) {
	switch p.knowledge.Apply(clock.Now(), asked, proof) {
	case topicproof.Confirmed:
		current, responded := p.knowledge.CurrentAt()
		p.state.ConfirmConfig(current, responded)
		p.evacuations.confirm(current)
		p.metrics.AddToCounter("proofs_used", 1)
	case topicproof.Contradicted:
		p.signal()
	case topicproof.Ignored:
	}
}
