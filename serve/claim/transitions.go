package claim

import (
	"maps"
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/base/chart"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/invariant"
)

var statesByName = map[string]State{
	"received": Received, "claiming": Claiming, "unresolved": Unresolved, "appended": Appended,
	"running": Running, "abandoning": Abandoning, "finished": Finished,
}

var eventNames = map[EventKind]string{
	Start: "start", ClaimAppended: "claim_appended", AppendLost: "append_lost",
	AppendRateLimited: "append_rate_limited", AppendRefused: "append_refused", ClaimRead: "claim_read",
	LogUnavailable: "log_unavailable", DeadlinePassed: "deadline_passed", Canceled: "canceled",
	BackendAnswered: "backend_answered", BackendRefused: "backend_refused", BackendLost: "backend_lost",
	OutcomeWritten: "outcome_written",
}

// Guards of the chart.
const (
	guardBadKey       = "bad_key"
	guardTooLate      = "too_late"
	guardKeyFree      = "key_free"
	guardClaimLost    = "claim_lost"
	guardClaimBlocked = "claim_blocked"
	guardClaimWon     = "claim_won"
	guardReplied      = "replied"
	guardOverdue      = "overdue"
)

func (c *Call) guards(now time.Time, e Event) chart.Guards {
	// A decision on another claim or on a duplicate of this one is ignored.
	forOwnClaim := e.Kind == ClaimRead && e.Decision.Claim == c.id && !e.Decision.Duplicate
	return chart.Guards{
		guardBadKey:       c.keyError != nil,
		guardTooLate:      !now.Before(c.DecisionDeadline()) && (forOwnClaim || e.Kind != ClaimRead),
		guardKeyFree:      e.View.Status == Free,
		guardClaimLost:    forOwnClaim && !e.Decision.Won,
		guardClaimBlocked: forOwnClaim && e.Decision.Won && e.Decision.Before.Status != Free,
		guardClaimWon:     forOwnClaim && e.Decision.Won,
		guardReplied:      c.replied,
		guardOverdue:      !c.request.Deadline.IsZero() && !now.Before(c.request.Deadline),
	}
}

// action produces the effects of a transition.
type action func(c *Call, now time.Time, e Event) []Effect

var actions = map[string]action{
	"reply_bad_key":          func(c *Call, _ time.Time, _ Event) []Effect { return c.replyError(c.keyError) },
	"reply_view":             func(c *Call, now time.Time, e Event) []Effect { return c.replyView(now, e.View) },
	"reply_view_before":      func(c *Call, now time.Time, e Event) []Effect { return c.replyView(now, e.Decision.Before) },
	"reply_refusal":          func(c *Call, _ time.Time, _ Event) []Effect { return c.replyError(c.refusal) },
	"reply_overdue":          (*Call).replyOverdue,
	"reply_canceled":         (*Call).replyCanceled,
	"refuse_too_late":        func(c *Call, _ time.Time, e Event) []Effect { return c.refuse(e.View, c.tooLateError()) },
	"refuse_log_unavailable": func(c *Call, _ time.Time, e Event) []Effect { return c.refuse(e.View, c.logUnavailableError()) },
	"refuse_queue_full":      func(c *Call, _ time.Time, e Event) []Effect { return c.refuse(e.View, c.queueFullError()) },
	"refuse_canceled":        func(c *Call, _ time.Time, e Event) []Effect { return c.refuse(e.View, canceledError()) },
	"append_claim":           (*Call).appendClaim,
	"run":                    (*Call).startRun,
	"abandon_blocked":        (*Call).abandonBlocked,
	"abandon_too_late":       (*Call).abandonTooLate,
	"abandon_refused":        (*Call).abandonRefused,
	"store_answer":           (*Call).storeAnswer,
	"release_key":            (*Call).releaseKey,
	"report_lost":            (*Call).reportLost,
}

var callChart = chart.MustLoad("claim", chart.Vocabulary{
	Guards: []string{
		guardBadKey, guardTooLate, guardKeyFree, guardClaimLost, guardClaimBlocked, guardClaimWon,
		guardReplied, guardOverdue,
	},
	Actions: slices.Collect(maps.Keys(actions)),
})

// appendClaim sends the claim. The Index may lag behind the log, so whether the
// call runs depends on the state ahead of its own claim and not on the current
// one.
func (c *Call) appendClaim(time.Time, Event) []Effect {
	return []Effect{{Kind: AppendClaim, Entry: c.newEntry(EntryClaim)}}
}

// startRun is the only place that lets a call run: its own claim was read from
// the log, and no earlier claim holds the identity.
func (c *Call) startRun(_ time.Time, e Event) []Effect {
	c.wonClaim = e.Decision
	return []Effect{{Kind: Run}}
}

func (c *Call) abandonBlocked(now time.Time, e Event) []Effect {
	c.wonClaim = e.Decision
	return c.abandon(now, c.viewError(now, e.Decision.Before))
}

func (c *Call) abandonTooLate(now time.Time, e Event) []Effect {
	c.wonClaim = e.Decision
	return c.abandon(now, c.tooLateError())
}

func (c *Call) abandonRefused(now time.Time, e Event) []Effect {
	return c.abandon(now, notRunError(e.Err))
}

// abandon writes the outcome before the reply, so that an attempt on another
// sidecar finds the identity free. The reply is correct even if the outcome
// can't be written.
func (c *Call) abandon(now time.Time, refusal *errkind.Error) []Effect {
	c.abandonDeadline = now.Add(c.settings.DecisionTimeout)
	c.refusal = refusal
	return []Effect{{Kind: AppendOutcome, Entry: c.newOutcome(EntryAbandoned)}}
}

func (c *Call) storeAnswer(_ time.Time, e Event) []Effect {
	entry := c.newOutcome(EntryDone)
	entry.Answer = NewStoredAnswer(&e.Answer, c.settings.MaxAnswerBytes)
	return append(c.reply(e.Answer, nil), Effect{Kind: AppendOutcome, Entry: entry})
}

func (c *Call) releaseKey(time.Time, Event) []Effect {
	return []Effect{{Kind: AppendOutcome, Entry: c.newOutcome(EntryAbandoned)}}
}

func (c *Call) reportLost(_ time.Time, e Event) []Effect {
	effects := c.replyError(errkind.Wrap(errkind.BackendFailed, e.Err, "the call may have run"))
	return append(effects, Effect{Kind: AppendOutcome, Entry: c.newOutcome(EntryLost)})
}

func (c *Call) replyOverdue(time.Time, Event) []Effect {
	return c.replyError(errkind.New(errkind.OutcomeUnknown, "the call is still running after its deadline").
		WithRetryAfter(c.settings.RetryAfter))
}

func (c *Call) replyCanceled(time.Time, Event) []Effect {
	return c.replyError(errkind.New(errkind.Canceled, "the caller cancelled the request; the call is still running"))
}

// refuse ends a call whose own claim was not read back. The call can't run any
// more, and no other process runs this claim: if it appears in the log later, its
// owner abandons it. But an earlier request with the same key may have a claim
// that the Index has not read yet, and callers take not_run to apply to the key.
// So the error is OutcomeUnknown unless this call's own claim holds the key.
func (c *Call) refuse(view View, refusal *errkind.Error) []Effect {
	if view.Status == Open && view.Claim == c.id {
		return c.replyError(refusal)
	}
	if view.Status != Free {
		return c.replyView(c.received, view)
	}
	unknown := errkind.Wrap(errkind.OutcomeUnknown, refusal, "this request did not run; an earlier one with this key may have run")
	return c.replyError(unknown.WithRetryAfter(c.settings.RetryAfter))
}

// replyView replies with the stored answer, or with the error for the state of
// the call's identity.
func (c *Call) replyView(now time.Time, v View) []Effect {
	if v.Status == Done && v.Answer != nil && v.Answer.hasFullBody() {
		a := v.Answer
		return c.reply(Answer{Status: a.Status, ContentType: a.ContentType, Body: a.Body, Replayed: true}, nil)
	}
	return c.replyError(c.viewError(now, v))
}

func (c *Call) replyError(err *errkind.Error) []Effect { return c.reply(Answer{}, err) }

func (c *Call) reply(a Answer, err *errkind.Error) []Effect {
	if c.replied {
		return nil
	}
	c.replied = true
	return []Effect{{Kind: Reply, Answer: a, Err: err}}
}

func (c *Call) queueFullError() *errkind.Error {
	return errkind.New(errkind.QueueFull, "the claim queue is full").WithRetryAfter(c.settings.RetryAfter)
}

func (c *Call) newEntry(t EntryType) Entry {
	e := Entry{Type: t, Seq: c.id.Seq, Organisation: c.request.Organisation, Service: c.request.Service, Key: c.key}
	if t == EntryClaim {
		e.BodyHash = c.request.BodyHash
	}
	return e
}

func (c *Call) newOutcome(t EntryType) Entry {
	invariant.Check(c.wonClaim.Won, "outcome %s for a claim that doesn't hold its identity", t)
	e := c.newEntry(t)
	e.ClaimOffset = c.wonClaim.Offset
	return e
}

// AbandonedEntry returns the outcome of a claim that won after its call had
// ended without a run.
func AbandonedEntry(d Decision) Entry {
	return Entry{
		Type: EntryAbandoned, Seq: d.Claim.Seq, ClaimOffset: d.Offset,
		Organisation: d.Identity.Organisation, Service: d.Identity.Service, Key: d.Identity.Key,
	}
}
