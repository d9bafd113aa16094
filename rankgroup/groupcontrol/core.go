package groupcontrol

import (
	"context"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
)

const (
	// busyTime is how long the ranks are read often after a message of a
	// switch.
	busyTime = 2 * time.Second
	// maxHolders bounds the tokens whose holder is known.
	maxHolders = 8
	// leaseStep is how far the end of the lease is moved while it is held.
	// The lease is asked again ahead of each action, so this only has to
	// exceed the time of one action.
	leaseStep = time.Second
)

// core owns the state machines. All methods run on its goroutine.
type core struct {
	c      *Controller
	member *mapswitch.Member
	holder *mapswitch.Coordinator
	token  infra.Offset
	// holders tells from which member the commands with a token came.
	holders map[infra.Offset]mapswitch.MemberID
	states  map[mapswitch.RankID]mapswitch.RankState
	// local holds messages to this process, in order.
	local    []local
	lastBusy time.Time
	// taken says that the present holder has taken over from all members.
	taken bool
	plan  *proposal
	began time.Time
	// admit decides whether a command of a holder reaches the member.
	admit func(from mapswitch.MemberID, token infra.Offset, m mapswitch.Message) bool
	// readToken returns the current token from the log.
	readToken func() (infra.Offset, bool)
}

// local is a message from a member to this process.
type local struct {
	from    mapswitch.MemberID
	message mapswitch.Message
}

func newCore(c *Controller) *core {
	k := &core{
		c: c, holders: make(map[infra.Offset]mapswitch.MemberID),
		states: make(map[mapswitch.RankID]mapswitch.RankState),
	}
	k.admit = k.check
	k.readToken = func() (infra.Offset, bool) { return c.opts.Lease.CurrentToken(c.opts.Group) }
	if c.opts.adjust != nil {
		c.opts.adjust(k)
	}
	return k
}

func (k *core) run(ctx context.Context) error {
	for {
		e, ok := k.c.inbox.Pop(ctx)
		if !ok {
			return nil
		}
		k.handle(time.Now(), e)
		k.publish(time.Now())
	}
}

func (k *core) handle(now time.Time, e event) {
	if e.opened != 0 {
		o := &k.c.opts
		k.member = mapswitch.NewMember(o.MemberSettings, o.MemberID, o.MemberCount, e.opened, o.Ranks)
		k.emit(k.member.Start(now))
	}
	if k.member == nil {
		e.refuse(errkind.New(errkind.BackendUnavailable, "the ranks were not read yet"))
		return
	}
	switch {
	case e.message != nil:
		k.local = append(k.local, local{e.from, e.message})
	case e.plan != nil:
		k.submit(now, e.plan)
	}
	for _, s := range e.states {
		k.states[s.Rank] = s
		k.emit(k.member.Handle(now, s))
	}
	k.tick(now)
	k.deliver(now)
}

func (e event) refuse(err error) {
	if e.plan != nil {
		e.plan.result <- err
	}
}

// tick gives the state machines a chance to repeat messages.
func (k *core) tick(now time.Time) {
	k.emit(k.member.Tick(now))
	if h := k.held(now); h != nil {
		k.emit(h.Tick(now))
	}
	k.deliver(now)
	k.judge(now)
}

// held returns the holder while this process has the lease.
func (k *core) held(now time.Time) *mapswitch.Coordinator {
	token, ok := k.c.opts.Lease.Token(k.c.opts.Group)
	if !ok {
		k.drop()
		return nil
	}
	if k.holder == nil || token != k.token {
		k.drop()
		k.token = token
		k.holder = mapswitch.NewCoordinator(k.c.opts.CoordinatorSettings, token, now.Add(leaseStep), k.c.opts.MemberCount)
		k.c.opts.Log.Info().Uint64("token", uint64(token)).Msg("holder of the group")
	}
	k.holder.ExtendLease(now.Add(leaseStep))
	return k.holder
}

// drop ends the holder. What it began is finished or undone by the next one.
func (k *core) drop() {
	if k.holder != nil {
		k.c.opts.Log.Info().Uint64("token", uint64(k.token)).Msg("no longer holder of the group")
	}
	k.holder, k.plan, k.taken = nil, nil, false
}

func (k *core) submit(now time.Time, p *proposal) {
	h := k.held(now)
	if h == nil {
		p.result <- errkind.New(errkind.StaleFencingToken, "the lease of the group ended")
		return
	}
	out, err := h.Submit(now, &p.target)
	p.result <- err
	if err != nil {
		return
	}
	k.plan, k.began = p, now
	k.c.opts.Log.Info().Uint64("epoch", p.target.Epoch).Int("moves", p.moves).Msg("map switch begins")
	k.emit(out)
}

// judge notes the end of a plan.
func (k *core) judge(now time.Time) {
	if k.plan == nil || k.holder == nil || k.holder.Outcome() == mapswitch.Pending {
		return
	}
	took, finished := now.Sub(k.began), k.holder.Outcome() == mapswitch.Committed
	moves := k.plan.moves
	k.plan = nil
	k.c.count(func(s *Stats) {
		s.LastSwitchDuration = took
		if finished {
			s.Committed++
			s.MovedExperts += moves
		} else {
			s.Aborted++
		}
	})
	k.c.opts.Log.Info().Bool("finished", finished).Dur("took", took).Msg("map switch ends")
}

// deliver handles the messages to this process until none is left.
func (k *core) deliver(now time.Time) {
	for len(k.local) > 0 {
		next := k.local[0]
		k.local = k.local[1:]
		k.receive(now, next)
	}
}

func (k *core) receive(now time.Time, l local) {
	switch m := l.message.(type) {
	case mapswitch.Status, mapswitch.Rejected:
		if h := k.held(now); h != nil {
			k.emit(h.Handle(now, m))
		}
		return
	case mapswitch.TakeOver:
		if !k.admit(l.from, m.Token, m) {
			return
		}
	case mapswitch.Prepare:
		k.lastBusy = now
		if !k.admit(l.from, m.Plan.Attempt.Token, m) {
			return
		}
	case mapswitch.Propose:
		k.lastBusy = now
		if !k.admit(l.from, m.Attempt.Token, m) {
			return
		}
	case mapswitch.Query, mapswitch.Vote:
		k.lastBusy = now
	}
	k.emit(k.member.Handle(now, l.message))
}

// check compares the token of a command with the log. While the log was not
// read recently, no command passes. Votes need no check: they finish what all
// members have begun.
func (k *core) check(from mapswitch.MemberID, token infra.Offset, _ mapswitch.Message) bool {
	err := k.c.opts.Lease.CheckToken(k.c.opts.Group, token)
	if err == nil {
		k.learnHolder(token, from)
		return true
	}
	k.c.count(func(s *Stats) { s.RefusedCommands++ })
	current, ok := k.readToken()
	if ok && errkind.Is(err, errkind.StaleFencingToken) {
		k.send(from, mapswitch.Rejected{From: k.c.opts.MemberID, Token: current})
	}
	return false
}

func (k *core) learnHolder(token infra.Offset, from mapswitch.MemberID) {
	k.holders[token] = from
	for len(k.holders) > maxHolders {
		oldest := token
		for t := range k.holders {
			oldest = min(oldest, t)
		}
		delete(k.holders, oldest)
	}
}

func (k *core) emit(outputs []mapswitch.Output) {
	for _, o := range outputs {
		switch o.To {
		case mapswitch.ToMember:
			k.send(o.Member, o.Message)
		case mapswitch.ToCoordinator:
			if from, known := k.holders[o.CoordinatorToken]; known {
				k.send(from, o.Message)
			}
		case mapswitch.ToRank:
			_ = k.c.commands.Push(context.Background(), o) // repeated by the member
		case mapswitch.ToLog:
			if token, ok := k.readToken(); ok {
				k.local = append(k.local, local{k.c.opts.MemberID, mapswitch.LatestToken{Token: token}})
			}
		}
	}
}

func (k *core) send(to mapswitch.MemberID, m mapswitch.Message) {
	if to == k.c.opts.MemberID {
		k.local = append(k.local, local{to, m})
		return
	}
	k.c.peers[to].push(m)
}

// publish tells the other goroutines what the state asks of them.
func (k *core) publish(now time.Time) {
	k.c.busy.Store(now.Sub(k.lastBusy) < busyTime || k.unsettled())
	phase := mapswitch.Stopped
	if k.holder != nil {
		phase = k.holder.Phase()
	}
	k.taken = k.taken || phase == mapswitch.Idle
	holding := k.taken && phase != mapswitch.Stopped
	k.c.idle.Store(phase == mapswitch.Idle)
	k.c.count(func(s *Stats) { s.IsCoordinator = holding })
}

func (k *core) unsettled() bool {
	for _, s := range k.states {
		if s.Hold != nil || s.Step < s.ActiveFrom {
			return true
		}
	}
	return false
}
