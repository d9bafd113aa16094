package quarantine

import (
	"time"

	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// ToProto returns reports as they travel between processes.
func ToProto(reports []Report) []*pb.SuspectReport {
	var messages []*pb.SuspectReport
	for _, r := range reports {
		m := &pb.SuspectReport{
			Op: string(r.Op), Crash: r.EventID, Service: r.Service, Organisation: r.Organisation,
			BodyHash: r.BodyHash, TimeUnixNano: r.Time.UnixNano(),
		}
		if !r.RunStarted.IsZero() {
			m.BeganUnixNano = r.RunStarted.UnixNano()
		}
		messages = append(messages, m)
	}
	return messages
}

// FromProto returns the reports in messages, without those of unknown
// operation.
func FromProto(messages []*pb.SuspectReport) []Report {
	var reports []Report
	for _, m := range messages {
		r := Report{
			Op: Op(m.GetOp()), EventID: m.GetCrash(), Time: time.Unix(0, m.GetTimeUnixNano()),
			Fingerprint: Fingerprint{Service: m.GetService(), Organisation: m.GetOrganisation(), BodyHash: m.GetBodyHash()},
		}
		if m.GetBeganUnixNano() != 0 {
			r.RunStarted = time.Unix(0, m.GetBeganUnixNano())
		}
		if r.Op.known() {
			reports = append(reports, r)
		}
	}
	return reports
}

// FingerprintOf returns the fingerprint of a call as entry and sidecar see it.
func FingerprintOf(call *pb.CallRequest) Fingerprint {
	return NewFingerprint(call.GetService(), call.GetOrganisation(), call.GetMethod(), call.GetPath(), call.GetBody())
}
