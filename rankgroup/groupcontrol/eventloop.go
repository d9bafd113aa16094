package groupcontrol

import (
	"context"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
)

const (
	// busyPeriod is how long the ranks are read at BusyReadInterval after a
	// message of a switch.
	busyPeriod = 2 * time.Second
	// maxKnownTokens bounds the number of tokens in senderByToken.
	maxKnownTokens = 8
	// leaseExtension is how far in the future the coordinator assumes the end
	// of its lease while this process holds it. The lease is checked again
	// before each action, so this only has to exceed the duration of one
	// action.
	leaseExtension = time.Second
)

// eventLoop owns the state machines. All methods run on its goroutine.
type eventLoop struct {
	controller  *Controller
	member      *mapswitch.Member
	coordinator *mapswitch.Coordinator
	token       infra.Offset
	// senderByToken holds the member that sent commands with a token. Messages
	// to the coordinator with that token are sent to this member.
	senderByToken map[infra.Offset]mapswitch.MemberID
	rankStates    map[mapswitch.RankID]mapswitch.RankState
	// localMessages queues messages to this process, in order.
	localMessages     []localMessage
	lastSwitchMessage time.Time
	// takenOver is set once the current coordinator has been idle, that is,
	// after all members have responded to its TakeOver.
	takenOver   bool
	pendingPlan *plannedSwitch
	submittedAt time.Time
	// acceptCommand decides whether a command of a coordinator reaches the
	// member.
	acceptCommand func(from mapswitch.MemberID, token infra.Offset, m mapswitch.Message) bool
	// readToken returns the current token from the log.
	readToken func() (infra.Offset, bool)
}

// localMessage is a message to this process from a member, which may be this
// process itself.
type localMessage struct {
	from    mapswitch.MemberID
	message mapswitch.Message
}

func newEventLoop(c *Controller) *eventLoop {
	l := &eventLoop{
		controller: c, senderByToken: make(map[infra.Offset]mapswitch.MemberID),
		rankStates: make(map[mapswitch.RankID]mapswitch.RankState),
	}
	l.acceptCommand = l.checkToken
	l.readToken = func() (infra.Offset, bool) { return c.opts.Lease.CurrentToken(c.opts.Group) }
	if c.opts.testHook != nil {
		c.opts.testHook(l)
	}
	return l
}

func (l *eventLoop) run(ctx context.Context) error {
	for {
		e, ok := l.controller.inbox.Pop(ctx)
		if !ok {
			return nil
		}
		l.handle(time.Now(), e)
		l.publishState(time.Now())
	}
}

func (l *eventLoop) handle(now time.Time, e event) {
	if e.openedSession != 0 {
		o := &l.controller.opts
		l.member = mapswitch.NewMember(o.MemberSettings, o.MemberID, o.MemberCount, e.openedSession, o.Ranks)
		l.dispatch(l.member.Start(now))
	}
	if l.member == nil {
		e.refusePlan(errkind.New(errkind.BackendUnavailable, "the state of the ranks is not known yet"))
		return
	}
	switch {
	case e.message != nil:
		l.localMessages = append(l.localMessages, localMessage{e.from, e.message})
	case e.plan != nil:
		l.submitPlan(now, e.plan)
	}
	for _, s := range e.states {
		l.rankStates[s.Rank] = s
		l.dispatch(l.member.Handle(now, s))
	}
	l.tick(now)
	l.deliverLocal(now)
}

func (e event) refusePlan(err error) {
	if e.plan != nil {
		e.plan.result <- err
	}
}

// tick lets the state machines retransmit messages and check their timeouts.
func (l *eventLoop) tick(now time.Time) {
	l.dispatch(l.member.Tick(now))
	if coordinator := l.activeCoordinator(now); coordinator != nil {
		l.dispatch(coordinator.Tick(now))
	}
	l.deliverLocal(now)
	l.recordOutcome(now)
}

// activeCoordinator returns the coordinator while this process holds the lease,
// and nil otherwise.
func (l *eventLoop) activeCoordinator(now time.Time) *mapswitch.Coordinator {
	token, ok := l.controller.opts.Lease.Token(l.controller.opts.Group)
	if !ok {
		l.dropCoordinator()
		return nil
	}
	if l.coordinator == nil || token != l.token {
		l.dropCoordinator()
		l.token = token
		l.coordinator = mapswitch.NewCoordinator(l.controller.opts.CoordinatorSettings, token, now.Add(leaseExtension), l.controller.opts.MemberCount)
		l.controller.opts.Log.Info().Uint64("token", uint64(token)).Msg("acquired the lease of the group")
	}
	l.coordinator.ExtendLease(now.Add(leaseExtension))
	return l.coordinator
}

// dropCoordinator stops the coordinator. The next coordinator of the group settles
// an attempt that is still open.
func (l *eventLoop) dropCoordinator() {
	if l.coordinator != nil {
		l.controller.opts.Log.Info().Uint64("token", uint64(l.token)).Msg("lost the lease of the group")
	}
	l.coordinator, l.pendingPlan, l.takenOver = nil, nil, false
}

func (l *eventLoop) submitPlan(now time.Time, plan *plannedSwitch) {
	coordinator := l.activeCoordinator(now)
	if coordinator == nil {
		plan.result <- errkind.New(errkind.StaleFencingToken, "this process no longer holds the lease of the group")
		return
	}
	out, err := coordinator.Submit(now, &plan.target)
	plan.result <- err
	if err != nil {
		return
	}
	l.pendingPlan, l.submittedAt = plan, now
	l.controller.opts.Log.Info().Uint64("epoch", plan.target.Epoch).Int("moves", plan.movedExperts).Msg("map switch started")
	l.dispatch(out)
}

// recordOutcome counts and logs the outcome of the submitted plan once it is
// known.
func (l *eventLoop) recordOutcome(now time.Time) {
	if l.pendingPlan == nil || l.coordinator == nil || l.coordinator.Outcome() == mapswitch.Pending {
		return
	}
	elapsed, committed := now.Sub(l.submittedAt), l.coordinator.Outcome() == mapswitch.Committed
	moves := l.pendingPlan.movedExperts
	l.pendingPlan = nil
	l.controller.updateStats(func(s *Stats) {
		s.LastSwitchDuration = elapsed
		if committed {
			s.Committed++
			s.MovedExperts += moves
		} else {
			s.Aborted++
		}
	})
	l.controller.opts.Log.Info().Bool("finished", committed).Dur("took", elapsed).Msg("map switch ended")
}

// deliverLocal handles the messages to this process until none is left.
func (l *eventLoop) deliverLocal(now time.Time) {
	for len(l.localMessages) > 0 {
		next := l.localMessages[0]
		l.localMessages = l.localMessages[1:]
		l.handleLocal(now, next)
	}
}

func (l *eventLoop) handleLocal(now time.Time, msg localMessage) {
	switch m := msg.message.(type) {
	case mapswitch.Status, mapswitch.Rejected:
		if coordinator := l.activeCoordinator(now); coordinator != nil {
			l.dispatch(coordinator.Handle(now, m))
		}
		return
	case mapswitch.TakeOver:
		if !l.acceptCommand(msg.from, m.Token, m) {
			return
		}
	case mapswitch.Prepare:
		l.lastSwitchMessage = now
		if !l.acceptCommand(msg.from, m.Plan.Attempt.Token, m) {
			return
		}
	case mapswitch.Propose:
		l.lastSwitchMessage = now
		if !l.acceptCommand(msg.from, m.Attempt.Token, m) {
			return
		}
	case mapswitch.Query, mapswitch.Vote:
		l.lastSwitchMessage = now
	}
	l.dispatch(l.member.Handle(now, msg.message))
}

// checkToken reports whether a command with a token may reach the member. The
// token must not be older than the newest one in the log, and the log must have
// been read recently. Votes need no check, because they only complete an attempt
// that the members have already started.
func (l *eventLoop) checkToken(from mapswitch.MemberID, token infra.Offset, _ mapswitch.Message) bool {
	err := l.controller.opts.Lease.CheckToken(l.controller.opts.Group, token)
	if err == nil {
		l.recordSender(token, from)
		return true
	}
	l.controller.updateStats(func(s *Stats) { s.RefusedCommands++ })
	current, ok := l.readToken()
	if ok && errkind.Is(err, errkind.StaleFencingToken) {
		l.sendToMember(from, mapswitch.Rejected{From: l.controller.opts.MemberID, Token: current})
	}
	return false
}

func (l *eventLoop) recordSender(token infra.Offset, from mapswitch.MemberID) {
	l.senderByToken[token] = from
	for len(l.senderByToken) > maxKnownTokens {
		oldest := token
		for t := range l.senderByToken {
			oldest = min(oldest, t)
		}
		delete(l.senderByToken, oldest)
	}
}

func (l *eventLoop) dispatch(outputs []mapswitch.Output) {
	for _, o := range outputs {
		switch o.To {
		case mapswitch.ToMember:
			l.sendToMember(o.Member, o.Message)
		case mapswitch.ToCoordinator:
			if from, known := l.senderByToken[o.CoordinatorToken]; known {
				l.sendToMember(from, o.Message)
			}
		case mapswitch.ToRank:
			_ = l.controller.commands.Push(context.Background(), o) // retransmitted by the member
		case mapswitch.ToLog:
			if token, ok := l.readToken(); ok {
				l.localMessages = append(l.localMessages, localMessage{l.controller.opts.MemberID, mapswitch.LatestToken{Token: token}})
			}
		}
	}
}

func (l *eventLoop) sendToMember(to mapswitch.MemberID, m mapswitch.Message) {
	if to == l.controller.opts.MemberID {
		l.localMessages = append(l.localMessages, localMessage{to, m})
		return
	}
	l.controller.peers[to].enqueue(m)
}

// publishState publishes the state that the other goroutines and Stats read.
func (l *eventLoop) publishState(now time.Time) {
	l.controller.readOften.Store(now.Sub(l.lastSwitchMessage) < busyPeriod || l.hasUnfinishedSwitch())
	phase := mapswitch.Stopped
	if l.coordinator != nil {
		phase = l.coordinator.Phase()
	}
	l.takenOver = l.takenOver || phase == mapswitch.Idle
	isCoordinator := l.takenOver && phase != mapswitch.Stopped
	l.controller.acceptsPlan.Store(phase == mapswitch.Idle)
	l.controller.updateStats(func(s *Stats) { s.IsCoordinator = isCoordinator })
}

func (l *eventLoop) hasUnfinishedSwitch() bool {
	for _, s := range l.rankStates {
		if s.Hold != nil || s.Step < s.ActiveFrom {
			return true
		}
	}
	return false
}
