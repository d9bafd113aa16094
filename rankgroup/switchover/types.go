package switchover

import "github.com/filbertmux/filbertmux/rankgroup/experts"

// ArmedSwitch is the switch that a rank makes as a step begins.
type ArmedSwitch struct {
	Version int64
	Step    int64
}

// Report is the state of one rank.
type Report struct {
	Rank int
	// Epoch changes each time the group forms anew. The ranks then use map 0 and
	// have nothing prepared, armed or held.
	Epoch int64
	// Open is false while the group is broken.
	Open bool
	// Step is the last step that was begun.
	Step int64
	// InForce is the version of the map in use, and Prepared that of the map
	// whose experts are all on the rank, or 0.
	InForce  int64
	Prepared int64
	// Armed is nil if the rank isn't armed.
	Armed *ArmedSwitch
	// Held is the step at which the rank holds the group, or 0.
	HoldStep int64
	// Cancelled is the switch that the agent beside the rank refuses to arm it for.
	Cancelled Cancellation
	// OrderedBy is the newest holder that gave the rank an order, as far as the
	// agent beside the rank knows.
	OrderedBy Holder
}

// Cancellation is the promise of an agent not to have its rank armed.
type Cancellation struct {
	// Step is the step up to which the agent refuses, or 0.
	Step int64
	// Version is that of the order that cancelled the switch, once the rank has
	// accepted it, or 0. All orders to arm that passed the agent before name an
	// older one.
	Version int64
}

// Holder is a holder in whose name orders are given.
type Holder struct {
	// Token is its fencing token, or 0 for none.
	Token int64
	// Rank is the rank on the same machine.
	Rank int
}

// OrderKind says what an order does.
type OrderKind uint8

// Kinds of orders.
const (
	// Prepare copies the experts of a map to the rank.
	Prepare OrderKind = iota
	// HoldAt keeps the group from beginning a step.
	Hold
	// ArmFor has the rank switch as a step begins.
	Arm
	// Disarm undoes ArmFor.
	Disarm
	// Release ends HoldAt.
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
	// Cancels is the step of the switch that a Prepare cancels, or 0. The agent
	// beside the rank refuses to have it armed for that step from then on.
	CancelsStep int64
}

// Phase tells how far a switch is.
type Phase uint8

// Phases.
const (
	// Blind: not all ranks have reported, or the group is not open.
	Unknown Phase = iota
	Idle
	Preparing
	Holding
	Arming
	Switching
)

// String returns the name of p in logs.
func (p Phase) String() string {
	return [...]string{"blind", "idle", "preparing", "holding", "arming", "switching"}[p]
}
