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

// LeaseClient is the part of leaselog.Client that a Control uses.
type LeaseClient interface {
	Campaign(duty string)
	Token(duty string) (infra.Offset, bool)
	CheckToken(duty string, token infra.Offset) error
	CurrentToken(duty string) (infra.Offset, bool)
}

// TableSyncer is the part of tablesync.Syncer that a Control uses.
type TableSyncer interface {
	Offset() infra.Offset
	Learn(infra.Offset)
}

// Timing holds the intervals of a Control.
type Timing struct {
	// Tick is the interval at which the state machines check their timers.
	TickInterval time.Duration
	// Plan is the interval of the planner, and of the polls of expert counts.
	PlanInterval time.Duration
	// ReadIdle and ReadBusy are the intervals at which the state of the ranks
	// is read, without and during a switch. The choice of the promised step
	// is late by up to ReadBusy.
	IdleReadInterval time.Duration
	BusyReadInterval time.Duration
	// Call bounds a call to another member or to the backend server.
	CallTimeout time.Duration
	// Retry is the pause after a failed call.
	RetryDelay time.Duration
}

// DefaultTiming returns the intervals that the daemons use. At the design size
// (60 layers of 256 experts) a report has 15.4 KB, 6.3 KB compressed, so
// polls of three members each 15 s cost the holder 1.3 KB/s.
func DefaultTiming() Timing {
	return Timing{
		TickInterval: 20 * time.Millisecond, PlanInterval: 15 * time.Second,
		IdleReadInterval: time.Second, BusyReadInterval: 20 * time.Millisecond,
		CallTimeout: 2 * time.Second, RetryDelay: 100 * time.Millisecond,
	}
}

// DefaultMemberSettings returns timers for messages that are connect calls:
// nothing is lost while a connection works, so repeating early only costs.
func DefaultMemberSettings() mapswitch.MemberSettings {
	return mapswitch.MemberSettings{RetransmitAfter: 50 * time.Millisecond, QueryAfter: 150 * time.Millisecond}
}

// DefaultCoordinatorSettings leaves time for a retransmission to each member and
// polls idle members each 5 s.
func DefaultCoordinatorSettings() mapswitch.CoordinatorSettings {
	s := mapswitch.DefaultCoordinatorSettings()
	s.SwitchLead = 270 * time.Millisecond
	s.RetransmitAfter = 50 * time.Millisecond
	s.PollInterval = 5 * time.Second
	return s
}

// Options set up a Control. All fields but the settings are required.
type Options struct {
	Group string
	// Member is the number of this sidecar in the group, Members that of all.
	MemberID    mapswitch.MemberID
	MemberCount int
	Ranks       []mapswitch.RankID
	// Incarnation grows with each process start; see StartIncarnation.
	Incarnation   uint64
	FailureDomain string
	// Model is the name under which the weight store has the experts.
	Model string
	// RankURL is the address of the rank commands of the backend server.
	RankURL string
	// Addresses returns the host:port of the sidecars in a member's place.
	// While an instance is replaced there may be several.
	Addresses func(mapswitch.MemberID) []string
	// Peers is the client for calls to other members, Backend that for calls
	// to the backend server.
	PeerClient    *http.Client
	BackendClient *http.Client
	Lease         LeaseClient
	WeightStore   infra.WeightStore
	// Weights returns the weights of the service's row in the table.
	PlannerWeights func() (experts.Weights, bool)
	Table          TableSyncer
	Log            zerolog.Logger

	Timing              Timing
	MemberSettings      mapswitch.MemberSettings
	CoordinatorSettings mapswitch.CoordinatorSettings
	PlannerSettings     experts.Settings

	// adjust switches rules of the core off; only tests set it.
	adjust func(*core)
}

// WithDefaults returns o with the settings of the daemons.
func (o Options) WithDefaults() Options {
	o.Timing = DefaultTiming()
	o.MemberSettings = DefaultMemberSettings()
	o.CoordinatorSettings = DefaultCoordinatorSettings()
	o.PlannerSettings = experts.DefaultSettings()
	return o
}

// NewIncarnation returns the incarnation of a process that starts now. The
// sidecar raises it above that of its predecessor in the same place, in case
// the clock went back.
func NewIncarnation(now time.Time) uint64 { return uint64(now.UnixNano()) }

// MemberFromRanks derives the number of a member and of all members from the ranks that
// its backend server hosts. All backend servers of a group host equally many,
// in one aligned block.
func MemberFromRanks(ranks []int, groupRanks int) (member mapswitch.MemberID, members int, err error) {
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
