package quota

import (
	"math"

	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/limits"
)

// minReportedDemand is the demand in requests, tokens or requests in flight below
// which an organisation is omitted from a report. The smoothed demand of an idle
// organisation halves each second, so it never reaches zero.
const minReportedDemand = 0.01

// NextReports returns the next reports to the other entries, by instance id. It is
// called about once per second. The state of entries that are not in peers is
// removed.
func (q *Quota) NextReports(peers []string) map[string]*pb.ReportRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.refresh()
	q.removeUnlisted(peers)
	reports := make(map[string]*pb.ReportRequest, len(peers))
	for peer, r := range q.limiter.NextReports(now, peers) {
		reports[peer] = &pb.ReportRequest{
			Sender: q.config.Instance, Incarnation: q.config.Incarnation,
			Sequence: r.Sequence, Ack: r.Ack, Demands: demandsToProto(r.Organisations),
			TableOffset: uint64(q.config.View().Offset()),
		}
	}
	return reports
}

// Receive applies a report of another entry.
func (q *Quota) Receive(r *pb.ReportRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.refresh()
	sender := r.GetSender()
	if previous, ok := q.incarnations[sender]; ok && previous != r.GetIncarnation() {
		q.limiter.RemovePeer(sender)
	}
	q.incarnations[sender] = r.GetIncarnation()
	q.limiter.Receive(now, limits.Report{
		Sender: sender, Sequence: r.GetSequence(), Ack: r.GetAck(), Organisations: demandsFromProto(r.GetDemands()),
	})
}

// removeUnlisted removes the state of entries that are not in peers, which bounds
// the memory for other entries. The caller holds mu.
func (q *Quota) removeUnlisted(peers []string) {
	listed := make(map[string]bool, len(peers))
	for _, p := range peers {
		listed[p] = true
	}
	for peer := range q.incarnations {
		if !listed[peer] {
			q.limiter.RemovePeer(peer)
			delete(q.incarnations, peer)
		}
	}
}

func demandsToProto(reports map[string]limits.OrganisationReport) []*pb.Demand {
	var demands []*pb.Demand
	for name, report := range reports {
		d, g := report.Demand, report.Grant
		if max(d.Requests, d.Tokens, d.InFlight) < minReportedDemand && g == (limits.Amount{}) {
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

func demandsFromProto(demands []*pb.Demand) map[string]limits.OrganisationReport {
	reports := make(map[string]limits.OrganisationReport, len(demands))
	for _, d := range demands {
		reports[d.GetOrganisation()] = limits.OrganisationReport{
			Demand: limits.Amount{
				Requests: d.GetRequestsPerSecond(), Tokens: d.GetTokensPerSecond(), InFlight: float64(d.GetInFlight()),
			},
			Grant: limits.Amount{
				Requests: d.GetGrantedRequestsPerSecond(), Tokens: d.GetGrantedTokensPerSecond(),
				InFlight: d.GetGrantedInFlight(),
			},
		}
	}
	return reports
}
