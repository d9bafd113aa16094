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
	// slowdownReportInterval is the time between two reports of a slow rank. Gateways
	// route requests away from the rank for a second after each report, so that two
	// reports in a row may be lost.
	slowdownReportInterval = 300 * time.Millisecond
	// gatewayRefreshInterval is the time between two readings of the gateways'
	// addresses while the rank is slow.
	gatewayRefreshInterval = 5 * time.Second
)

// slowdownReporter reports to the gateways that the rank beside this agent is slow. It
// is not safe for concurrent use.
type slowdownReporter struct {
	store  *platform.StoreClient
	server string
	log    zerolog.Logger

	conn        *net.UDPConn
	gateways    []*net.UDPAddr
	refreshedAt time.Time
	sentAt      time.Time
	slow        bool
}

// update reports the current slowdown of the rank, if the rank is slow and the last
// report is older than slowdownReportInterval.
func (p *slowdownReporter) update(ctx context.Context, slowdown float64) {
	slow := slowdown > slowdownThreshold
	if slow != p.slow {
		p.slow = slow
		p.log.Info().Float64("pace", slowdown).Bool("slow", slow).Msg("rank became slow or returned to normal speed")
	}
	now := clock.Now()
	if !slow || now.Sub(p.sentAt) < slowdownReportInterval {
		return
	}
	p.sentAt = now
	if now.Sub(p.refreshedAt) > gatewayRefreshInterval || p.refreshedAt.IsZero() {
		p.refresh(ctx, now)
	}
	p.send(slowdown)
}

// refresh reads the addresses of the gateways. If that fails, the previous addresses
// stay in use.
func (p *slowdownReporter) refresh(ctx context.Context, now time.Time) {
	records, _, err := p.store.ReadNewest(ctx, platform.GatewayTopic)
	if err != nil {
		p.log.Warn().Err(err).Msg("cannot read the addresses of the gateways; using the previous ones")
		return
	}
	p.refreshedAt = now
	p.gateways = p.gateways[:0]
	for _, r := range records {
		address, err := platform.DecodeGatewayAddress(r)
		if err != nil {
			p.log.Debug().Err(err).Str("key", r.Key).Msg("no address of a gateway")
			continue
		}
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			p.log.Warn().Err(err).Str("gateway", address).Msg("gateway has an invalid address")
			continue
		}
		p.gateways = append(p.gateways, to)
	}
}

// send sends one report to each known gateway.
func (p *slowdownReporter) send(slowdown float64) {
	if p.conn == nil {
		conn, err := net.ListenUDP("udp4", nil)
		if err != nil {
			p.log.Warn().Err(err).Msg("cannot open a socket for slowdown reports")
			return
		}
		p.conn = conn
	}
	report := &pb.PaceReport{Server: p.server, Pace: slowdown}
	data, err := proto.Marshal(&pb.Datagram{Kind: &pb.Datagram_Pace{Pace: report}})
	if err != nil {
		p.log.Error().Err(err).Msg("cannot encode a slowdown report")
		return
	}
	for _, g := range p.gateways {
		if _, err := p.conn.WriteToUDP(data, g); err != nil {
			p.log.Debug().Err(err).Stringer("gateway", g).Msg("cannot send a slowdown report")
		}
	}
}
