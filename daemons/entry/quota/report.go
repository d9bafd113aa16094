package quota

import (
	"math"

	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/limits"
)

// leastDemand is the demand in requests, tokens or requests in flight below
// which an organisation is left out of a report. The smoothed demand of an
// idle organisation halves each second and would never reach zero.
const leastDemand = 0.01

// Reports returns the next round of reports to the other entries, by instance
// id. The caller calls it about once a second. Entries that are not listed any
// more are forgotten.
func (q *Quota) NextReports(peers []string) map[string]*pb.ReportRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.refresh()
	q.forgetUnlisted(peers)
	out := make(map[string]*pb.ReportRequest, len(peers))
	for peer, r := range q.limiter.NextReports(now, peers) {
		out[peer] = &pb.ReportRequest{
			Sender: q.config.Instance, Incarnation: q.config.Incarnation,
			Sequence: r.Sequence, Ack: r.Ack, Demands: encode(r.Organisations),
			TableOffset: uint64(q.config.View().Offset()),
		}
	}
	return out
}

// Receive takes a report of another entry.
func (q *Quota) Receive(r *pb.ReportRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.refresh()
	sender := r.GetSender()
	if known, ok := q.incarnations[sender]; ok && known != r.GetIncarnation() {
		q.limiter.RemovePeer(sender)
	}
	q.incarnations[sender] = r.GetIncarnation()
	q.limiter.Receive(now, limits.Report{
		Sender: sender, Sequence: r.GetSequence(), Ack: r.GetAck(), Organisations: decode(r.GetDemands()),
	})
}

// forgetUnlisted bounds what is kept about other entries. The caller holds mu.
func (q *Quota) forgetUnlisted(peers []string) {
	listed := make(map[string]bool, len(peers))
	for _, p := range peers {
		listed[p] = true
	}
	for known := range q.incarnations {
		if !listed[known] {
			q.limiter.RemovePeer(known)
			delete(q.incarnations, known)
		}
	}
}

func encode(lines map[string]limits.OrganisationReport) []*pb.Demand {
	var demands []*pb.Demand
	for name, line := range lines {
		d, g := line.Demand, line.Grant
		if max(d.Requests, d.Tokens, d.InFlight) < leastDemand && g == (limits.Amount{}) {
			continue
		}
		demands = append(demands, &pb.Demand{
			Organisation:             name,
			RequestsPerSecond:        d.Requests,
			TokensPerSecond:          d.Tokens,
			InFlight:                 uint32(math.Ceil(d.InFlight)),
			GrantedRequestsPerSecond: g.Requests,
			GrantedTokensPerSecond:   g.Tokens,
			GrantedInFlight:          g.InFlight,
		})
	}
	return demands
}

func decode(demands []*pb.Demand) map[string]limits.OrganisationReport {
	lines := make(map[string]limits.OrganisationReport, len(demands))
	for _, d := range demands {
		lines[d.GetOrganisation()] = limits.OrganisationReport{
			Demand: limits.Amount{
				Requests: d.GetRequestsPerSecond(), Tokens: d.GetTokensPerSecond(), InFlight: float64(d.GetInFlight()),
			},
			Grant: limits.Amount{
				Requests: d.GetGrantedRequestsPerSecond(), Tokens: d.GetGrantedTokensPerSecond(),
				InFlight: d.GetGrantedInFlight(),
			},
		}
	}
	return lines
}
