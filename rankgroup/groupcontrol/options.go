package groupcontrol

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
)

// LeaseClient is the part of leaselog.Client that a Controller uses.
type LeaseClient interface {
	Campaign(leaseName string)
	Token(leaseName string) (infra.Offset, bool)
	CheckToken(leaseName string, token infra.Offset) error
	CurrentToken(leaseName string) (infra.Offset, bool)
}

// TableSyncer is the part of tablesync.Syncer that a Controller uses.
type TableSyncer interface {
	Offset() infra.Offset
	Learn(infra.Offset)
}

// Timing holds the intervals and timeouts of a Controller.
type Timing struct {
	// TickInterval is the interval at which the state machines check their
	// timers.
	TickInterval time.Duration
	// PlanInterval is the interval at which expert counts are polled and the
	// planner runs.
	PlanInterval time.Duration
	// IdleReadInterval and BusyReadInterval are the intervals at which the
	// state of the ranks is read, without and during a switch. The promised
	// step is chosen from a state that is up to BusyReadInterval old.
	IdleReadInterval time.Duration
	BusyReadInterval time.Duration
	// CallTimeout bounds a call to another member or to the backend server.
	CallTimeout time.Duration
	// RetryDelay is the delay after a failed call.
	RetryDelay time.Duration
}

// DefaultTiming returns the intervals that the daemons use. At the design size
// (60 layers of 256 experts) a report has 15.4 KB, 6.3 KB compressed, so a poll
// of three members every 15 s costs the coordinator 1.3 KB/s.
func DefaultTiming() Timing {
	return Timing{
		TickInterval: 20 * time.Millisecond, PlanInterval: 15 * time.Second,
		IdleReadInterval: time.Second, BusyReadInterval: 20 * time.Millisecond,
		CallTimeout: 2 * time.Second, RetryDelay: 100 * time.Millisecond,
	}
}

// DefaultMemberSettings returns timers for messages that are sent as Connect
// calls. No message is lost while a connection works, so early retransmissions
// only add load.
func DefaultMemberSettings() mapswitch.MemberSettings {
	return mapswitch.MemberSettings{RetransmitAfter: 50 * time.Millisecond, QueryAfter: 150 * time.Millisecond}
}

// DefaultCoordinatorSettings returns settings with a SwitchLead that leaves time for
// one retransmission to each member. An idle coordinator polls the members every 5 s.
func DefaultCoordinatorSettings() mapswitch.CoordinatorSettings {
	s := mapswitch.DefaultCoordinatorSettings()
	s.SwitchLead = 270 * time.Millisecond
	s.RetransmitAfter = 50 * time.Millisecond
	s.PollInterval = 5 * time.Second
	return s
}

// Options configure a Controller. All fields are required; WithDefaults sets
// the timing and the settings.
type Options struct {
	Group string
	// MemberID is the number of this sidecar in the group, from 0, and
	// MemberCount is the number of sidecars of the group.
	MemberID    mapswitch.MemberID
	MemberCount int
	Ranks       []mapswitch.RankID
	// Incarnation grows with each process start; see NewIncarnation.
	Incarnation   uint64
	FailureDomain string
	// Model is the name of the model in the weight store.
	Model string
	// RankURL is the base URL of the rank API of the backend server.
	RankURL string
	// Addresses returns the host:port of the sidecars of a member. There may
	// be several while an instance is being replaced.
	Addresses func(mapswitch.MemberID) []string
	// PeerClient is used for calls to other members, BackendClient for calls
	// to the backend server.
	PeerClient    *http.Client
	BackendClient *http.Client
	Lease         LeaseClient
	WeightStore   infra.WeightStore
	// PlannerWeights returns the planner's weights from the service's row in
	// the table.
	PlannerWeights func() (experts.Weights, bool)
	Table          TableSyncer
	Log            zerolog.Logger

	Timing              Timing
	MemberSettings      mapswitch.MemberSettings
	CoordinatorSettings mapswitch.CoordinatorSettings
	PlannerSettings     experts.Settings

	// testHook disables rules of the event loop. Only tests set it.
	testHook func(*eventLoop)
}

// WithDefaults returns o with the timing and settings that the daemons use.
func (o Options) WithDefaults() Options {
	o.Timing = DefaultTiming()
	o.MemberSettings = DefaultMemberSettings()
	o.CoordinatorSettings = DefaultCoordinatorSettings()
	o.PlannerSettings = experts.DefaultSettings()
	return o
}

// NewIncarnation returns the incarnation of a process that starts at now. If the
// clock went backwards, the previous sidecar of the backend server may have had the
// same or a higher incarnation. The Controller then uses a higher one.
func NewIncarnation(now time.Time) uint64 { return uint64(now.UnixNano()) }

// MemberFromRanks derives the number of a member and the number of members from
// the ranks of its backend server. Every backend server of a group hosts a block of
// n consecutive ranks whose lowest number is a multiple of n.
func MemberFromRanks(ranks []int, groupRanks int) (member mapswitch.MemberID, memberCount int, err error) {
	n := len(ranks)
	if n == 0 || groupRanks%n != 0 || ranks[0]%n != 0 {
		return 0, 0, errkind.New(errkind.InvalidSettings,
			"ranks %v of %d: want an aligned block of equal size on each backend server", ranks, groupRanks)
	}
	for i, r := range ranks {
		if r != ranks[0]+i || r >= groupRanks {
			return 0, 0, errkind.New(errkind.InvalidSettings,
				"ranks %v of %d: want ascending numbers without gaps below %d", ranks, groupRanks, groupRanks)
		}
	}
	return mapswitch.MemberID(ranks[0] / n), groupRanks / n, nil
}
