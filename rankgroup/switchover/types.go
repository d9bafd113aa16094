package switchover

import "github.com/filbertmux/filbertmux/rankgroup/experts"

// ArmedSwitch is a map switch that a rank performs when it starts a step.
type ArmedSwitch struct {
	Version int64
	Step    int64
}

// Report is the state of one rank.
type Report struct {
	Rank int
	// Epoch changes each time the group restarts. All ranks then use map 0 and
	// have no prepared map, no armed switch and no hold.
	Epoch int64
	// Open is false while the group is broken.
	Open bool
	// Step is the last step that the rank started.
	Step int64
	// InForce is the version of the map in use.
	InForce int64
	// Prepared is the version of the map whose experts are all on the rank, or 0.
	Prepared int64
	// Armed is the switch that the rank is armed for, or nil.
	Armed *ArmedSwitch
	// HoldStep is the step at which the rank holds the group, or 0.
	HoldStep int64
	// Cancelled is the switch for which the rank's agent refuses to arm the rank.
	Cancelled Cancellation
	// OrderedBy is the newest holder that sent an order to the rank, as far as the
	// rank's agent knows.
	OrderedBy Holder
}

// Cancellation records that an agent refuses to arm its rank for a switch.
type Cancellation struct {
	// Step is the last step for which the agent refuses to arm the rank, or 0.
	Step int64
	// Version is the version of the order that cancelled the switch, once the rank
	// has accepted it, or 0. Every arm order that the agent forwarded before names
	// a lower version.
	Version int64
}

// CancellationAfterRestart returns the cancellation that an agent enforces when it
// starts. It may have cancelled a switch before, or have forwarded an order of a newer
// holder, and has no memory of either. So it refuses to arm its rank, whose first report
// is given, for each step at which the group may be held: maxLeadSteps after the newest
// step, which is at most one step ahead of any rank.
func CancellationAfterRestart(first Report, maxLeadSteps int64) Cancellation {
	return Cancellation{Step: first.Step + 1 + maxLeadSteps}
}

// Holder identifies a holder, in whose name orders are sent.
type Holder struct {
	// Token is its fencing token, or 0 for none.
	Token int64
	// Rank is the rank on the same instance.
	Rank int
}

// OrderKind says what an order does.
type OrderKind uint8

// Kinds of orders.
const (
	// Prepare copies the experts of a map to the rank.
	Prepare OrderKind = iota
	// Hold keeps the group from starting a step.
	Hold
	// Arm makes the rank switch maps when it starts a step.
	Arm
	// Disarm revokes Arm.
	Disarm
	// Release ends Hold.
	Release
)

// String returns the name of k in logs.
func (k OrderKind) String() string {
	return [...]string{"prepare", "hold", "arm", "disarm", "release"}[k]
}

// Order is an order to one rank.
type Order struct {
	Rank    int
	Kind    OrderKind
	Epoch   int64
	Version int64
	Step    int64
	// Map is set for Prepare.
	Map *experts.Map
	// CancelsStep is the step of the switch that a Prepare cancels, or 0. From then
	// on the rank's agent refuses to arm the rank for that step.
	CancelsStep int64
}

// Phase is the progress of a switch.
type Phase uint8

// Phases.
const (
	// Unknown means that not all ranks have reported, or that the group is not open.
	Unknown Phase = iota
	// Idle means that no switch is in progress.
	Idle
	// Preparing means that the ranks copy the experts of the new map.
	Preparing
	// Holding means that the order to hold the group is being sent.
	Holding
	// Arming means that the ranks of the held group are being armed or disarmed.
	Arming
	// Switching means that the holds are being released, or that only some ranks
	// have switched to the new map yet.
	Switching
)

// String returns the name of p in logs.
func (p Phase) String() string {
	return [...]string{"unknown", "idle", "preparing", "holding", "arming", "switching"}[p]
}
