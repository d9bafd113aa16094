package claim

import (
	"time"

	"github.com/google/uuid"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/invariant"
)

// Request is one non-idempotent call as a sidecar receives it.
type Request struct {
	Organisation string
	Service      string
	Key          string // text of the Idempotency-Key header
	BodyHash     string // from HashBody
	Deadline     time.Time
}

// State is the state of a Call.
type State uint8

// States of a Call, as base/chart/charts/claim.yaml names them. Received is the
// initial state, Finished the final one.
const (
	Received State = iota
	Claiming
	Unresolved // the answer to the append of the claim was lost
	Appended   // appended, but not yet read back
	Running
	Abandoning // proved not run; the outcome is being written
	Finished
)

// EventKind says what happened.
type EventKind uint8

// Event kinds.
const (
	// Start begins the call. It carries the View of its identity.
	Start EventKind = iota
	// ClaimAppended reports an acknowledged append of the claim.
	ClaimAppended
	// AppendLost reports that the append may or may not have taken effect.
	AppendLost
	// AppendRateLimited reports that an append had no effect; the driver
	// repeats it by itself.
	AppendRateLimited
	// AppendRefused reports that the claim was never sent to the log, because
	// a local queue is full.
	AppendRefused
	// ClaimRead reports that the fold reached the call's own claim.
	ClaimRead
	// LogUnavailable reports that the log can be neither appended to nor read.
	LogUnavailable
	// DeadlinePassed reports that DecideBy or the deadline has passed.
	DeadlinePassed
	// Canceled reports that the caller has gone.
	Canceled
	// BackendAnswered, BackendRefused and BackendLost end the run. Refused
	// proves that the backend server didn't receive the call.
	BackendAnswered
	BackendRefused
	BackendLost
	// OutcomeWritten reports that the abandoned outcome is in the log.
	OutcomeWritten
)

// Event is the input of Step. View is the Book's present view of the identity
// and is set for every event ahead of the run.
type Event struct {
	Kind     EventKind
	View     View
	Decision Decision // for ClaimRead
	Answer   Answer   // for BackendAnswered
	Err      error    // for BackendRefused and BackendLost
}

// EffectKind says what the driver does.
type EffectKind uint8

// Effect kinds.
const (
	AppendClaim EffectKind = iota
	Run
	AppendOutcome
	Reply
)

// Effect is one output of Step, executed in order.
type Effect struct {
	Kind   EffectKind
	Entry  Entry          // for AppendClaim and AppendOutcome
	Answer Answer         // for Reply, if Err is nil
	Err    *errkind.Error // for Reply
}

// Call is the state machine of one non-idempotent call. It runs the call at
// most once and replies exactly once. A crash in any state is safe: until the
// claim is in the log nothing ran, and after that no other process runs it.
type Call struct {
	settings Settings
	request  Request
	id       ID
	key      uuid.UUID
	machine  *chart.Machine
	received time.Time
	claimed  Decision
	badKey   *errkind.Error
	refusal  *errkind.Error
	// abandonBy bounds the wait for the abandoned outcome.
	abandonBy time.Time
	replied   bool
}

// NewCall returns the state machine of a request received at now. id must be
// unique for ever.
func NewCall(s Settings, id ID, r Request, now time.Time) *Call {
	return &Call{settings: s, request: r, id: id, machine: callChart.NewMachine(), received: now}
}

// State returns the present state.
func (c *Call) State() State { return statesByName[c.machine.State()] }

// ID returns the name of the call's claim.
func (c *Call) ID() ID { return c.id }

// Identity returns the call's identity; its key is set from Start on.
func (c *Call) Identity() Identity {
	return Identity{Organisation: c.request.Organisation, Service: c.request.Service, Key: c.key}
}

// DecideBy returns the time by which the call runs or is refused.
func (c *Call) DecisionDeadline() time.Time {
	by := c.received.Add(c.settings.DecisionTimeout)
	if c.request.Deadline.IsZero() || by.Before(c.request.Deadline) {
		return by
	}
	return c.request.Deadline
}

// NextDeadline returns when the driver sends DeadlinePassed in the present
// state, or the zero time if no deadline applies.
func (c *Call) NextDeadline() time.Time {
	switch c.State() {
	case Running:
		if c.replied {
			return time.Time{}
		}
		return c.request.Deadline
	case Abandoning:
		return c.abandonBy
	default:
		return c.DecisionDeadline()
	}
}

// Step takes one event at time now and returns what the driver has to do.
// Events that don't apply to the present state have no effect.
func (c *Call) Step(now time.Time, e Event) []Effect {
	if c.machine.Final() {
		return nil
	}
	if c.State() == Received {
		c.key, c.badKey = ParseKey(c.request.Key, now, c.settings)
	}
	action, err := c.machine.Fire(eventNames[e.Kind], c.guards(now, e))
	if !invariant.Check(err == nil, "claim: %v", err) || action == "" {
		return nil
	}
	return actions[action](c, now, e)
}
