package rankagent

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/base/clock"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
)

const (
	// paceInterval is the time between two reports of a slow rank. Gateways keep
	// work away for a second after each, so two may be lost.
	paceInterval = 300 * time.Millisecond
	// gatewayRefresh is the time between readings of the gateways' addresses
	// while the rank is slow.
	gatewayRefresh = 5 * time.Second
)

// paceReporter tells the gateways that the rank beside this agent is slow. It
// belongs to one goroutine.
type paceReporter struct {
	store  *platform.StoreClient
	server string
	log    zerolog.Logger

	conn      *net.UDPConn
	gateways  []*net.UDPAddr
	refreshed time.Time
	sent      time.Time
	slow      bool
}

// note takes the pace of the rank and reports a slow one.
func (p *paceReporter) note(ctx context.Context, pace float64) {
	slow := pace > slowPace
	if slow != p.slow {
		p.slow = slow
		p.log.Info().Float64("pace", pace).Bool("slow", slow).Msg("pace of the rank")
	}
	now := clock.Now()
	if !slow || now.Sub(p.sent) < paceInterval {
		return
	}
	p.sent = now
	if now.Sub(p.refreshed) > gatewayRefresh || p.refreshed.IsZero() {
		p.refresh(ctx, now)
	}
	p.send(pace)
}

func (p *paceReporter) refresh(ctx context.Context, now time.Time) {
	records, _, err := p.store.ReadNewest(ctx, platform.GatewayTopic)
	if err != nil {
		p.log.Warn().Err(err).Msg("gateways not read; the known ones get the reports")
		return
	}
	p.refreshed = now
	p.gateways = p.gateways[:0]
	for _, r := range records {
		address, err := net.ResolveUDPAddr("udp4", string(r.Value))
		if err != nil || address.Port == 0 {
			continue // a gateway that withdrew its address
		}
		p.gateways = append(p.gateways, address)
	}
}

func (p *paceReporter) send(pace float64) {
	if p.conn == nil {
		conn, err := net.ListenUDP("udp4", nil)
		if err != nil {
			p.log.Warn().Err(err).Msg("no socket for reports")
			return
		}
		p.conn = conn
	}
	report := &pb.PaceReport{Server: p.server, Pace: pace}
	data, err := proto.Marshal(&pb.Datagram{Kind: &pb.Datagram_Pace{Pace: report}})
	if err != nil {
		p.log.Error().Err(err).Msg("report not encoded")
		return
	}
	for _, g := range p.gateways {
		if _, err := p.conn.WriteToUDP(data, g); err != nil {
			p.log.Debug().Err(err).Stringer("gateway", g).Msg("report not sent")
		}
	}
}
