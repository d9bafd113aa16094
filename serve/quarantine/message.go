package quarantine

import (
	"math"
	"time"

	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// ToProto converts reports to protocol buffer messages.
func ToProto(reports []Report) []*pb.SuspectReport {
	var messages []*pb.SuspectReport
	for _, r := range reports {
		m := &pb.SuspectReport{
			Op: string(r.Op), Crash: r.EventID, Service: r.Service, Organisation: r.Organisation,
			BodyHash: r.BodyHash, TimeUnixNano: r.Time.UnixNano(), PromptParts: r.PromptParts,
		}
		if !r.RunStarted.IsZero() {
			m.BeganUnixNano = r.RunStarted.UnixNano()
		}
		messages = append(messages, m)
	}
	return messages
}

// FromProto converts protocol buffer messages to reports. Messages with an
// unknown operation are skipped.
func FromProto(messages []*pb.SuspectReport) []Report {
	var reports []Report
	for _, m := range messages {
		r := Report{
			Op: Op(m.GetOp()), EventID: m.GetCrash(), Time: time.Unix(0, m.GetTimeUnixNano()),
			Fingerprint: Fingerprint{Service: m.GetService(), Organisation: m.GetOrganisation(), BodyHash: m.GetBodyHash()},
			PromptParts: m.GetPromptParts(),
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

// FingerprintOf returns the fingerprint of a call. Entries and sidecars compute
// the same fingerprint.
func FingerprintOf(call *pb.CallRequest) Fingerprint {
	return NewFingerprint(call.GetService(), call.GetOrganisation(), call.GetMethod(), call.GetPath(), call.GetBody())
}

// FeaturesToProto converts features to protocol buffer messages.
func FeaturesToProto(features []Feature) []*pb.RequestFeature {
	messages := make([]*pb.RequestFeature, len(features))
	for i, f := range features {
		messages[i] = &pb.RequestFeature{Service: f.Service, Kind: uint32(f.Kind), Id: f.ID}
	}
	return messages
}

// FeaturesFromProto converts protocol buffer messages to features.
func FeaturesFromProto(messages []*pb.RequestFeature) []Feature {
	features := make([]Feature, len(messages))
	for i, m := range messages {
		features[i] = Feature{Service: m.GetService(), Kind: FeatureKind(min(m.GetKind(), math.MaxUint8)), ID: m.GetId()}
	}
	return features
}
