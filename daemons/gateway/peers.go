package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/balance/loadshare"
	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/telemetry"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

const (
	// maxReportInterval and minReportInterval are the longest and the shortest
	// time between two load reports.
	maxReportInterval = 500 * time.Millisecond
	minReportInterval = 50 * time.Millisecond
	// reportBytesPerSecond limits the load reports to all peers together. It keeps
	// control traffic within 10 KB/s for any number of gateways.
	reportBytesPerSecond = 10_000
	// discoveryInterval is the time between reads of the gateways' addresses.
	discoveryInterval = 30 * time.Second
	// maxRewriteDelay bounds the random delay before a gateway writes again what the store
	// has lost. With 300 gateways it keeps the writes far below the limits of the store.
	maxRewriteDelay = 3 * time.Second
	maxDatagram     = 8 << 10
	// reportSendCount is how many times a report on crashes is sent, and
	// reportSendInterval the time between. Datagrams may be lost, and all gateways
	// have to know of a crash within the 3 s for which instances may be out of
	// contact.
	reportSendCount    = 3
	reportSendInterval = 300 * time.Millisecond
)

// peerExchange exchanges load and crash reports with the other gateways, and
// receives the slowdown reports of rank agents.
type peerExchange struct {
	self        string
	incarnation uint64
	conn        *net.UDPConn
	services    *serviceRegistry
	crashes     *crashTracker
	refusals    *refusalKeeper
	evacuations *evacuationTracker
	// proofs is nil if this gateway doesn't share its reads of the store.
	proofs  *proofExchange
	metrics *telemetry.Metrics
	store   *platform.StoreClient
	log     zerolog.Logger

	mu       sync.Mutex
	table    *loadshare.Table
	sequence uint64
}

func newPeerExchange(conn *net.UDPConn, g *Gateway, store *platform.StoreClient, log zerolog.Logger) *peerExchange {
	self := conn.LocalAddr().String()
	p := &peerExchange{
		self:        self,
		incarnation: uint64(clock.Now().UnixNano()),
		conn:        conn,
		services:    g.services,
		crashes:     g.crashes,
		evacuations: g.evacuations,
		metrics:     g.metrics,
		store:       store,
		log:         log,
		table:       loadshare.New(self),
	}
	p.refusals = newRefusalKeeper(store, g.crashes, func(m *pb.Datagram) { go p.broadcast(m) }, log)
	g.crashes.reportCrash = func(r lostRequest, crashID string) {
		go p.broadcast(&pb.Datagram{Kind: &pb.Datagram_Crash{Crash: &pb.CrashReport{
			Service: r.fingerprint.Service, Organisation: r.fingerprint.Organisation, BodyHash: r.fingerprint.BodyHash,
			Crash: crashID, PromptParts: r.promptParts, Events: uint32(r.events),
		}}})
	}
	g.crashes.reportResponse = func(features []quarantine.Feature) {
		go p.broadcast(&pb.Datagram{Kind: &pb.Datagram_Response{Response: &pb.ResponseReport{
			Features: quarantine.FeaturesToProto(features),
		}}})
	}
	return p
}

// shareReads makes the gateway share its reads of the configuration with the others. It is
// called before the first datagram is sent or received.
func (p *peerExchange) shareReads(g *Gateway) {
	p.proofs = newProofExchange(p.self, g, func(to string, data []byte) { p.sendTo([]string{to}, data) }, p.log)
}

// receive handles datagrams until the socket is closed.
func (p *peerExchange) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.log.Debug().Err(err).Msg("receiving a datagram failed")
			continue
		}
		var m pb.Datagram
		if err := proto.Unmarshal(buffer[:n], &m); err != nil {
			p.log.Warn().Err(err).Msg("datagram can't be decoded")
			continue
		}
		if load := m.GetLoad(); load != nil {
			p.receiveLoad(load)
		}
		if c := m.GetCrash(); c != nil {
			p.crashes.recordReport(lostRequest{
				fingerprint: quarantine.Fingerprint{
					Service: c.GetService(), Organisation: c.GetOrganisation(), BodyHash: c.GetBodyHash(),
				},
				promptParts: c.GetPromptParts(), events: int(c.GetEvents()),
			}, c.GetCrash())
		}
		if r := m.GetResponse(); r != nil {
			p.crashes.clear(quarantine.FeaturesFromProto(r.GetFeatures()))
		}
		if r := m.GetRefusal(); r != nil {
			p.refusals.receive(r)
		}
		if p.proofs != nil {
			p.proofs.handle(from, &m)
		}
		if report := m.GetPace(); report != nil {
			p.services.avoidSlowRank(report.GetServer(), report.GetPace())
		}
	}
}

func (p *peerExchange) receiveLoad(m *pb.LoadReport) {
	r := loadshare.Report{
		Sender:      m.GetSender(),
		Incarnation: m.GetIncarnation(),
		Sequence:    m.GetSequence(),
		Leaving:     m.GetLeaving(),
		InFlight:    make(map[loadshare.ServerKey]int, len(m.GetServers())),
	}
	if len(m.GetServers()) != len(m.GetInFlight()) {
		p.log.Warn().Str("peer", m.GetSender()).Msg("load report has unequal numbers of servers and loads")
		return
	}
	for i, key := range m.GetServers() {
		r.InFlight[loadshare.ServerKey(key)] = int(m.GetInFlight()[i])
	}
	now := clock.Now()
	p.mu.Lock()
	fresh := p.table.Receive(now, r)
	peerLoad, staleness := p.table.PeerLoad(now), p.table.Staleness(now)
	p.mu.Unlock()
	if fresh {
		p.evacuations.receive(m)
		p.services.setPeerLimits(decodeLimits(now, m.GetLimits()))
		p.services.setPeerLoad(peerLoad, staleness)
	}
}

// send reports the load of this gateway whenever it changes, limited by
// reportBytesPerSecond, and at least once per maxReportInterval.
func (p *peerExchange) send(ctx context.Context) error {
	var last map[string]int
	var schedule reportSchedule
	interval := minReportInterval
	for ctx.Err() == nil {
		clock.Sleep(ctx, interval)
		now := clock.Now()
		load := p.services.ownLoad()
		send, expire := schedule.next(now, !maps.Equal(load, last))
		if send {
			bytes := p.sendLoad(now, load, false)
			interval = max(minReportInterval, time.Duration(bytes)*time.Second/reportBytesPerSecond)
			last = load
		}
		if expire {
			p.expirePeers(now)
		}
	}
	return nil
}

// reportSchedule decides when load reports are sent and silent peers expired.
type reportSchedule struct {
	sentAt, expiredAt time.Time
}

// next reports whether a report is sent now, and whether peers are expired. changed means that
// the load has changed since the last report.
func (s *reportSchedule) next(now time.Time, changed bool) (send, expire bool) {
	send = changed || now.Sub(s.sentAt) >= maxReportInterval
	expire = now.Sub(s.expiredAt) >= maxReportInterval
	if send {
		s.sentAt = now
	}
	if expire {
		s.expiredAt = now
	}
	return send, expire
}

// expirePeers drops the load of gateways that no longer send reports, and divides
// the retry budget and the limits of the servers among the gateways.
func (p *peerExchange) expirePeers(now time.Time) {
	p.mu.Lock()
	peerLoad, staleness := p.table.PeerLoad(now), p.table.Staleness(now)
	list := gatewayList{self: p.self, live: p.table.LivePeers(now)}
	list.known, list.listed = p.table.KnownPeers()
	p.mu.Unlock()
	p.services.setPeerLoad(peerLoad, staleness)
	p.services.setGateways(list)
	if p.proofs != nil {
		p.proofs.setLive(list.live)
	}
	p.metrics.SetGauge(coldServersGauge, float64(p.services.coldServers()))
	p.services.reportHeldBack(now, p.metrics)
}

// sendLoad sends one load report to the peers that are due and returns the number
// of bytes sent.
func (p *peerExchange) sendLoad(now time.Time, load map[string]int, leaving bool) int {
	p.mu.Lock()
	p.sequence++
	m := &pb.LoadReport{Sender: p.self, Incarnation: p.incarnation, Sequence: p.sequence, Leaving: leaving}
	due := p.table.DuePeers(now)
	p.mu.Unlock()
	for id, n := range load {
		m.Servers = append(m.Servers, uint32(loadshare.ServerKeyOf(id)))
		m.InFlight = append(m.InFlight, uint32(n))
	}
	m.Limits = encodeLimits(now, p.services.ownLimits(now))
	p.evacuations.report(m)
	data, err := proto.Marshal(&pb.Datagram{Kind: &pb.Datagram_Load{Load: m}})
	if err != nil {
		p.log.Error().Err(err).Msg("encoding a load report failed")
		return 0
	}
	p.sendTo(due, data)
	return len(data) * len(due)
}

// sendTo sends a datagram to the gateways at these addresses.
func (p *peerExchange) sendTo(addresses []string, data []byte) {
	for _, address := range addresses {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			p.log.Warn().Err(err).Str("peer", address).Msg("gateway has an invalid address")
			continue
		}
		if _, err := p.conn.WriteToUDP(data, to); err != nil {
			p.log.Debug().Err(err).Str("peer", address).Msg("sending a datagram failed")
		}
	}
}

// broadcast sends a report to the other gateways several times.
func (p *peerExchange) broadcast(m *pb.Datagram) {
	data, err := proto.Marshal(m)
	if err != nil {
		p.log.Error().Err(err).Msg("encoding a report failed")
		return
	}
	for range reportSendCount {
		p.mu.Lock()
		known := p.table.Peers()
		p.mu.Unlock()
		p.sendTo(known, data)
		time.Sleep(reportSendInterval)
	}
}

// discover registers the address of this gateway in the metadata store and
// periodically reads the addresses of the other gateways.
func (p *peerExchange) discover(ctx context.Context) error {
	announced := false
	lost := p.store.EraChanges()
	for ctx.Err() == nil {
		if !announced {
			announced = p.announce(ctx)
		}
		records, _, err := p.store.ReadNewest(ctx, platform.GatewayTopic)
		if err != nil || !announced {
			if err != nil {
				p.log.Debug().Err(err).Msg("reading the gateways' addresses failed")
			}
			clock.Sleep(ctx, maxBackoff)
			continue
		}
		p.addPeers(records)
		announced = !waitForEra(ctx, lost, discoveryInterval)
	}
	return nil
}

// waitForEra waits for a time, or until the store has come back from an older copy. Then it
// returns true, after a random delay, because all gateways write to the store again.
func waitForEra(ctx context.Context, changes <-chan platform.Era, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changes:
		clock.Sleep(ctx, rand.N(maxRewriteDelay))
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (p *peerExchange) addPeers(records []platform.KeyedRecord) {
	now := clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := make([]string, 0, len(records))
	for _, r := range records {
		if r.Err == nil && len(r.Value) == 0 {
			continue
		}
		address, err := platform.DecodeGatewayAddress(r)
		if err != nil {
			p.log.Warn().Err(err).Str("key", r.Key).Msg("address of a gateway can't be read")
			continue
		}
		p.table.AddPeer(now, address)
		addresses = append(addresses, address)
	}
	p.table.SetListed(now, addresses)
}

func (p *peerExchange) announce(ctx context.Context) bool {
	record := platform.KeyedRecord{Key: p.self, Value: []byte(p.self)}
	if err := p.store.AppendKeyed(ctx, platform.GatewayTopic, record); err != nil {
		p.log.Warn().Err(err).Msg("announcing the address of this gateway failed")
		return false
	}
	return true
}

// announceShutdown reports to the other gateways that this one shuts down.
func (p *peerExchange) announceShutdown() { p.sendLoad(clock.Now(), nil, true) }
