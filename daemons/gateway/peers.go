package gateway

import (
	"context"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/balance/loadshare"
	"github.com/filbertmux/filbertmux/base/clock"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

const (
	// reportInterval is the longest time between two reports, and minReportGap
	// the shortest.
	reportInterval = 500 * time.Millisecond
	minReportGap   = 50 * time.Millisecond
	// reportBytesPerSecond bounds the reports to all peers, which keeps control
	// traffic within 10 KB/s at any size of the fleet.
	reportBytesPerSecond = 10_000
	// rediscoverInterval is the time between reads of the gateways' addresses.
	rediscoverInterval = 30 * time.Second
	maxDatagram        = 8 << 10
	// crashSends is how often a crash is told, crashSendGap the time between. Some
	// datagrams get lost, and all gateways have to know within the 3 s for which
	// instances may be out of touch.
	crashSends   = 3
	crashSendGap = 300 * time.Millisecond
)

// peers exchanges load reports with the other gateways.
type peers struct {
	self        string
	incarnation uint64
	conn        *net.UDPConn
	services    *services
	crashes     *crashes
	store       *platform.StoreClient
	log         zerolog.Logger

	mu       sync.Mutex
	table    *loadshare.Table
	sequence uint64
}

func newPeers(conn *net.UDPConn, g *Gateway, store *platform.StoreClient, log zerolog.Logger) *peers {
	self := conn.LocalAddr().String()
	p := &peers{
		self:        self,
		incarnation: uint64(clock.Now().UnixNano()),
		conn:        conn,
		services:    g.services,
		crashes:     g.crashes,
		store:       store,
		log:         log,
		table:       loadshare.New(self),
	}
	g.crashes.tell = func(f quarantine.Fingerprint, crash string) { go p.tellCrash(f, crash) }
	return p
}

// receive takes reports until the socket is closed.
func (p *peers) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.log.Debug().Err(err).Msg("report not received")
			continue
		}
		var m pb.Datagram
		if err := proto.Unmarshal(buffer[:n], &m); err != nil {
			p.log.Warn().Err(err).Msg("datagram is not readable")
			continue
		}
		if load := m.GetLoad(); load != nil {
			p.take(load)
		}
		if c := m.GetCrash(); c != nil {
			p.crashes.note(quarantine.Fingerprint{
				Service: c.GetService(), Organisation: c.GetOrganisation(), BodyHash: c.GetBodyHash(),
			}, c.GetCrash())
		}
		if pace := m.GetPace(); pace != nil {
			p.services.slowRank(pace.GetServer(), pace.GetPace())
		}
	}
}

func (p *peers) take(m *pb.LoadReport) {
	r := loadshare.Report{
		Sender:      m.GetSender(),
		Incarnation: m.GetIncarnation(),
		Sequence:    m.GetSequence(),
		Leaving:     m.GetLeaving(),
		InFlight:    make(map[loadshare.ServerKey]int, len(m.GetServers())),
	}
	if len(m.GetServers()) != len(m.GetInFlight()) {
		p.log.Warn().Str("peer", m.GetSender()).Msg("load report is not usable")
		return
	}
	for i, key := range m.GetServers() {
		r.InFlight[loadshare.ServerKey(key)] = int(m.GetInFlight()[i])
	}
	now := clock.Now()
	p.mu.Lock()
	fresh := p.table.Receive(now, r)
	others, staleness := p.table.PeerLoad(now), p.table.Staleness(now)
	p.mu.Unlock()
	if fresh {
		p.services.setOthers(others, staleness)
	}
}

// send reports the load of this gateway whenever it changes, within the bound on
// bytes, and at least at the report interval.
func (p *peers) send(ctx context.Context) error {
	var last map[string]int
	var lastAt time.Time
	gap := minReportGap
	for ctx.Err() == nil {
		clock.Sleep(ctx, gap)
		now := clock.Now()
		load := p.services.own()
		due := now.Sub(lastAt) >= reportInterval
		if !due && maps.Equal(load, last) {
			continue
		}
		bytes := p.report(now, load, false)
		gap = max(minReportGap, time.Duration(bytes)*time.Second/reportBytesPerSecond)
		last, lastAt = load, now
		if due {
			p.refresh(now)
		}
	}
	return nil
}

// refresh drops the load of gateways that fell silent, and shares the retries
// among those that live.
func (p *peers) refresh(now time.Time) {
	p.mu.Lock()
	others, staleness, live := p.table.PeerLoad(now), p.table.Staleness(now), p.table.LivePeers(now)
	p.mu.Unlock()
	p.services.setOthers(others, staleness)
	p.services.setGateways(live + 1)
}

// report sends one report and returns the number of bytes sent.
func (p *peers) report(now time.Time, load map[string]int, leaving bool) int {
	p.mu.Lock()
	p.sequence++
	m := &pb.LoadReport{Sender: p.self, Incarnation: p.incarnation, Sequence: p.sequence, Leaving: leaving}
	due := p.table.DuePeers(now)
	p.mu.Unlock()
	for id, n := range load {
		m.Servers = append(m.Servers, uint32(loadshare.ServerKeyOf(id)))
		m.InFlight = append(m.InFlight, uint32(n))
	}
	data, err := proto.Marshal(&pb.Datagram{Kind: &pb.Datagram_Load{Load: m}})
	if err != nil {
		p.log.Error().Err(err).Msg("load report not encoded")
		return 0
	}
	p.sendTo(due, data)
	return len(data) * len(due)
}

// sendTo sends a datagram to some gateways.
func (p *peers) sendTo(addresses []string, data []byte) {
	for _, address := range addresses {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			p.log.Warn().Err(err).Str("peer", address).Msg("address of a gateway is not usable")
			continue
		}
		if _, err := p.conn.WriteToUDP(data, to); err != nil {
			p.log.Debug().Err(err).Str("peer", address).Msg("datagram not sent")
		}
	}
}

// tellCrash tells the other gateways of a request that was in flight when its
// server was lost.
func (p *peers) tellCrash(f quarantine.Fingerprint, crash string) {
	report := &pb.CrashReport{Service: f.Service, Organisation: f.Organisation, BodyHash: f.BodyHash, Crash: crash}
	data, err := proto.Marshal(&pb.Datagram{Kind: &pb.Datagram_Crash{Crash: report}})
	if err != nil {
		p.log.Error().Err(err).Msg("crash report not encoded")
		return
	}
	for range crashSends {
		p.mu.Lock()
		known := p.table.Peers()
		p.mu.Unlock()
		p.sendTo(known, data)
		time.Sleep(crashSendGap)
	}
}

// discover announces this gateway and reads the addresses of the others.
func (p *peers) discover(ctx context.Context) error {
	announced := false
	for ctx.Err() == nil {
		if !announced {
			announced = p.announce(ctx)
		}
		records, _, err := p.store.ReadNewest(ctx, platform.GatewayTopic)
		if err != nil || !announced {
			if err != nil {
				p.log.Debug().Err(err).Msg("gateways not read")
			}
			clock.Sleep(ctx, maxBackoff)
			continue
		}
		p.learn(records)
		clock.Sleep(ctx, rediscoverInterval)
	}
	return nil
}

func (p *peers) learn(records []platform.KeyedRecord) {
	now := clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range records {
		if len(r.Value) > 0 {
			p.table.AddPeer(now, string(r.Value))
		}
	}
}

func (p *peers) announce(ctx context.Context) bool {
	record := platform.KeyedRecord{Key: p.self, Value: []byte(p.self)}
	if err := p.store.AppendKeyed(ctx, platform.GatewayTopic, record); err != nil {
		p.log.Warn().Err(err).Msg("address of this gateway not announced")
		return false
	}
	return true
}

// withdraw tells the others that this gateway leaves.
func (p *peers) withdraw() { p.report(clock.Now(), nil, true) }
