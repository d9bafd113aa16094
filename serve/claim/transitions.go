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
	// A verdict on another claim or on a further copy of this one says nothing.
	own := e.Kind == ClaimRead && e.Decision.Claim == c.id && !e.Decision.Repeat
	return chart.Guards{
		guardBadKey:       c.badKey != nil,
		guardTooLate:      !now.Before(c.DecisionDeadline()) && (own || e.Kind != ClaimRead),
		guardKeyFree:      e.View.Status == Free,
		guardClaimLost:    own && !e.Decision.Won,
		guardClaimBlocked: own && e.Decision.Won && e.Decision.Before.Status != Free,
		guardClaimWon:     own && e.Decision.Won,
		guardReplied:      c.replied,
		guardOverdue:      !c.request.Deadline.IsZero() && !now.Before(c.request.Deadline),
	}
}

// action is what a transition does besides the change of state.
type action func(c *Call, now time.Time, e Event) []Effect

var actions = map[string]action{
	"reply_bad_key":          func(c *Call, _ time.Time, _ Event) []Effect { return c.replyError(c.badKey) },
	"reply_view":             func(c *Call, now time.Time, e Event) []Effect { return c.replyView(now, e.View) },
	"reply_view_before":      func(c *Call, now time.Time, e Event) []Effect { return c.replyView(now, e.Decision.Before) },
	"reply_refusal":          func(c *Call, _ time.Time, _ Event) []Effect { return c.replyError(c.refusal) },
	"reply_overdue":          (*Call).replyOverdue,
	"reply_canceled":         (*Call).replyCanceled,
	"refuse_too_late":        func(c *Call, _ time.Time, e Event) []Effect { return c.refuse(e.View, c.tooLate()) },
	"refuse_log_unavailable": func(c *Call, _ time.Time, e Event) []Effect { return c.refuse(e.View, c.logUnavailable()) },
	"refuse_queue_full":      func(c *Call, _ time.Time, e Event) []Effect { return c.refuse(e.View, c.queueFull()) },
	"refuse_canceled":        func(c *Call, _ time.Time, e Event) []Effect { return c.refuse(e.View, canceled()) },
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

// appendClaim sends the claim. The Book may lag, so the view ahead of the
// call's own claim decides, and not the present one.
func (c *Call) appendClaim(time.Time, Event) []Effect {
	return []Effect{{Kind: AppendClaim, Entry: c.entry(EntryClaim)}}
}

// startRun is the only place that lets a call run: the fold has reached the
// call's own claim, and no earlier claim holds the identity.
func (c *Call) startRun(_ time.Time, e Event) []Effect {
	c.claimed = e.Decision
	return []Effect{{Kind: Run}}
}

func (c *Call) abandonBlocked(now time.Time, e Event) []Effect {
	c.claimed = e.Decision
	return c.abandon(now, c.viewError(now, e.Decision.Before))
}

func (c *Call) abandonTooLate(now time.Time, e Event) []Effect {
	c.claimed = e.Decision
	return c.abandon(now, c.tooLate())
}

func (c *Call) abandonRefused(now time.Time, e Event) []Effect {
	return c.abandon(now, notRunError(e.Err))
}

// abandon writes the outcome before the reply, so that an attempt on another
// sidecar doesn't find the identity held. The reply is true without the outcome
// as well.
func (c *Call) abandon(now time.Time, refusal *errkind.Error) []Effect {
	c.abandonBy = now.Add(c.settings.DecisionTimeout)
	c.refusal = refusal
	return []Effect{{Kind: AppendOutcome, Entry: c.outcome(EntryAbandoned)}}
}

func (c *Call) storeAnswer(_ time.Time, e Event) []Effect {
	entry := c.outcome(EntryDone)
	entry.Answer = NewStoredAnswer(&e.Answer, c.settings.MaxAnswerBytes)
	return append(c.reply(e.Answer, nil), Effect{Kind: AppendOutcome, Entry: entry})
}

func (c *Call) releaseKey(time.Time, Event) []Effect {
	return []Effect{{Kind: AppendOutcome, Entry: c.outcome(EntryAbandoned)}}
}

func (c *Call) reportLost(_ time.Time, e Event) []Effect {
	effects := c.replyError(errkind.Wrap(errkind.BackendFailed, e.Err, "the call may have run"))
	return append(effects, Effect{Kind: AppendOutcome, Entry: c.outcome(EntryLost)})
}

func (c *Call) replyOverdue(time.Time, Event) []Effect {
	return c.replyError(errkind.New(errkind.OutcomeUnknown, "the call still runs after its deadline").
		WithRetryAfter(c.settings.RetryAfter))
}

func (c *Call) replyCanceled(time.Time, Event) []Effect {
	return c.replyError(errkind.New(errkind.Canceled, "the caller has gone; the call still runs"))
}

// refuse ends a call whose own claim was not read. The call never runs from
// here on, and no other process runs this claim: the owner abandons it if it
// turns up. An earlier send of the key may have a claim that the Book has not
// read, and a caller takes not_run to be about its key. So the answer is
// unknown unless the log shows that this call's own claim holds the key.
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

// replyView answers with what the log says about the call's identity.
func (c *Call) replyView(now time.Time, v View) []Effect {
	if v.Status == Done && v.Answer != nil && v.Answer.complete() {
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

func (c *Call) queueFull() *errkind.Error {
	return errkind.New(errkind.QueueFull, "claim queue is full").WithRetryAfter(c.settings.RetryAfter)
}

func (c *Call) entry(t EntryType) Entry {
	e := Entry{Type: t, Seq: c.id.Seq, Organisation: c.request.Organisation, Service: c.request.Service, Key: c.key}
	if t == EntryClaim {
		e.BodyHash = c.request.BodyHash
	}
	return e
}

func (c *Call) outcome(t EntryType) Entry {
	invariant.Check(c.claimed.Won, "outcome %s of a claim that doesn't hold its identity", t)
	e := c.entry(t)
	e.ClaimOffset = c.claimed.Offset
	return e
}

// AbandonedEntry returns the outcome of a claim that won after its call had ended
// without a run.
func AbandonedEntry(v Decision) Entry {
	return Entry{
		Type: EntryAbandoned, Seq: v.Claim.Seq, ClaimOffset: v.Offset,
		Organisation: v.Identity.Organisation, Service: v.Identity.Service, Key: v.Identity.Key,
	}
}
