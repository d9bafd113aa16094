package claim

import (
	"time"

	"github.com/google/uuid"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/invariant"
)

// Request is a non-idempotent call as received by a sidecar.
type Request struct {
	Organisation string
	Service      string
	Key          string // value of the Idempotency-Key header
	BodyHash     string // from HashBody
	Deadline     time.Time
}

// State is the state of a Call.
type State uint8

// States of a Call, as defined in base/chart/charts/claim.yaml. Received is the
// initial state, Finished the final one.
const (
	Received State = iota
	Claiming
	Unresolved // the claim may or may not have been appended
	Appended   // the append was acknowledged, but the claim was not read back yet
	Running
	Abandoning // the call provably did not run; the outcome is being written
	Finished
)

// EventKind is the kind of an Event.
type EventKind uint8

// Event kinds.
const (
	// Start starts the call. It carries the View of its identity.
	Start EventKind = iota
	// ClaimAppended reports an acknowledged append of the claim.
	ClaimAppended
	// AppendLost reports that the append may or may not have taken effect.
	AppendLost
	// AppendRateLimited reports that an append was rate-limited and had no
	// effect. The driver retries it without a further AppendClaim effect.
	AppendRateLimited
	// AppendRefused reports that the entry was never sent to the log, because a
	// local queue is full.
	AppendRefused
	// ClaimRead reports that the call's own claim was read from the log. It
	// carries the Decision.
	ClaimRead
	// LogUnavailable reports that appends or reads of the log keep failing.
	LogUnavailable
	// DeadlinePassed reports that the time from NextDeadline has passed.
	DeadlinePassed
	// Canceled reports that the caller cancelled the request or that the process
	// stops.
	Canceled
	// BackendAnswered, BackendRefused and BackendLost end the run.
	// BackendRefused proves that the backend server didn't receive the call.
	// After BackendLost it may have run.
	BackendAnswered
	BackendRefused
	BackendLost
	// OutcomeWritten reports that the abandoned outcome is in the log.
	OutcomeWritten
)

// Event is the input of Step. View is the current state of the identity in the
// Index; it is set for every event ahead of the run.
type Event struct {
	Kind     EventKind
	View     View
	Decision Decision // for ClaimRead
	Answer   Answer   // for BackendAnswered
	Err      error    // for BackendRefused and BackendLost
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// Effect kinds.
const (
	AppendClaim EffectKind = iota
	Run
	AppendOutcome
	Reply
)

// Effect is an output of Step. The driver executes effects in order.
type Effect struct {
	Kind   EffectKind
	Entry  Entry          // for AppendClaim and AppendOutcome
	Answer Answer         // for Reply, if Err is nil
	Err    *errkind.Error // for Reply
}

// Call is the state machine of one non-idempotent call. It runs the call at
// most once and replies exactly once. A crash in any state is safe: before the
// claim is in the log nothing has run, and afterwards no other process runs it.
type Call struct {
	settings Settings
	request  Request
	id       ID
	key      uuid.UUID
	machine  *chart.Machine
	received time.Time
	wonClaim Decision
	keyError *errkind.Error
	refusal  *errkind.Error
	// abandonDeadline bounds the wait for the abandoned outcome to be written.
	abandonDeadline time.Time
	replied         bool
}

// NewCall returns the state machine of a request received at now. id must never
// be used for another call.
func NewCall(s Settings, id ID, r Request, now time.Time) *Call {
	return &Call{settings: s, request: r, id: id, machine: callChart.NewMachine(), received: now}
}

// State returns the current state.
func (c *Call) State() State { return statesByName[c.machine.State()] }

// ID returns the id of the call's claim.
func (c *Call) ID() ID { return c.id }

// Identity returns the call's identity. Its key is set by the first Step.
func (c *Call) Identity() Identity {
	return Identity{Organisation: c.request.Organisation, Service: c.request.Service, Key: c.key}
}

// DecisionDeadline returns the time by which the call runs or is refused.
func (c *Call) DecisionDeadline() time.Time {
	deadline := c.received.Add(c.settings.DecisionTimeout)
	if c.request.Deadline.IsZero() || deadline.Before(c.request.Deadline) {
		return deadline
	}
	return c.request.Deadline
}

// NextDeadline returns when the driver has to send DeadlinePassed in the current
// state, or the zero time if no deadline applies.
func (c *Call) NextDeadline() time.Time {
	switch c.State() {
	case Running:
		if c.replied {
			return time.Time{}
		}
		return c.request.Deadline
	case Abandoning:
		return c.abandonDeadline
	default:
		return c.DecisionDeadline()
	}
}

// Step handles an event at time now and returns the effects to execute. An event
// that doesn't apply to the current state has no effect.
func (c *Call) Step(now time.Time, e Event) []Effect {
	if c.machine.Final() {
		return nil
	}
	if c.State() == Received {
		c.key, c.keyError = ParseKey(c.request.Key, now, c.settings)
	}
	action, err := c.machine.Fire(eventNames[e.Kind], c.guards(now, e))
	if !invariant.Check(err == nil, "claim: %v", err) || action == "" {
		return nil
	}
	return actions[action](c, now, e)
}
