package groupcontrol

import (
	"context"
	"slices"
	"time"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/rankgroup/mapswitch"
	"github.com/filbertmux/filbertmux/rankgroup/rankapi"
)

// commander sends commands to the ranks of the backend server, one batch at a
// time, and reads their state.
type commander struct {
	c       *Controller
	session uint64
	seq     uint64
}

func newCommander(c *Controller) *commander { return &commander{c: c} }

func (d *commander) run(ctx context.Context) error {
	if !d.open(ctx) {
		return nil
	}
	d.c.push(event{opened: d.session})
	for ctx.Err() == nil {
		if err := d.round(ctx); err != nil && ctx.Err() == nil {
			if d.superseded(ctx, err) {
				return err
			}
			d.c.opts.Log.Warn().Err(err).Msg("rank commands")
			clock.Sleep(ctx, d.c.opts.Timing.RetryDelay)
		}
	}
	return nil
}

// open chooses a session above that of the predecessor in this place.
func (d *commander) open(ctx context.Context) bool {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, d.c.opts.Timing.CallTimeout)
		a, err := d.c.backend.state(call)
		cancel()
		if err == nil {
			d.session = max(d.c.opts.Incarnation, a.Session+1)
			return true
		}
		d.c.opts.Log.Warn().Err(err).Msg("state of the ranks")
		clock.Sleep(ctx, d.c.opts.Timing.RetryDelay)
	}
	return false
}

// superseded reports whether another sidecar has opened a session.
func (d *commander) superseded(ctx context.Context, err error) bool {
	if !errkind.Is(err, errkind.StaleFencingToken) {
		return false
	}
	call, cancel := context.WithTimeout(ctx, d.c.opts.Timing.CallTimeout)
	defer cancel()
	a, err := d.c.backend.state(call)
	return err == nil && a.Session > d.session
}

// round waits for commands, or until the next read is due, and sends a batch.
func (d *commander) round(ctx context.Context) error {
	batch := d.collect(ctx)
	if ctx.Err() != nil {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, d.c.opts.Timing.CallTimeout)
	defer cancel()
	a, err := d.c.backend.command(call, batch)
	if err != nil {
		return err
	}
	e := event{}
	var missing []rankapi.WeightsID
	for _, r := range a.Ranks {
		e.states = append(e.states, r.State)
		missing = append(missing, r.Missing...)
	}
	d.c.push(e)
	// An empty list tells the stager that nothing is missing any more.
	_ = d.c.missing.Push(ctx, missing)
	return nil
}

func (d *commander) collect(ctx context.Context) rankapi.Batch {
	d.seq++
	batch := rankapi.Batch{Session: d.session, Seq: d.seq}
	next := d.first(ctx)
	for next != nil {
		batch.Commands = merge(batch.Commands, *next)
		more, ok := d.c.commands.TryPop()
		if !ok {
			break
		}
		next = &more
	}
	return batch
}

// first returns nil when the next read is due. The first read of a session is
// due at once.
func (d *commander) first(ctx context.Context) *mapswitch.Output {
	wait := d.c.opts.Timing.IdleReadInterval
	if d.c.busy.Load() {
		wait = d.c.opts.Timing.BusyReadInterval
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if o, ok := d.c.commands.Pop(ctx); ok {
		return &o
	}
	return nil
}

// merge adds a command. The same command to the next rank joins the last one,
// so that a plan is sent once for all ranks of a backend server.
func merge(commands []rankapi.Command, o mapswitch.Output) []rankapi.Command {
	next := rankapi.Command{Ranks: []mapswitch.RankID{o.Rank}}
	var last rankapi.Command
	if len(commands) > 0 {
		last = commands[len(commands)-1]
	}
	same := false
	switch m := o.Message.(type) {
	case mapswitch.StageRank:
		next.Stage = &m
		same = last.Stage != nil && last.Stage.Token == m.Token && last.Stage.Plan.Attempt == m.Plan.Attempt
	case mapswitch.HoldRank:
		next.Hold = &m
		same = last.Hold != nil && *last.Hold == m
	case mapswitch.ReleaseRank:
		next.Release = &m
		same = last.Release != nil && *last.Release == m
	default:
		return commands // each answer carries the state that ReadRank asks for
	}
	if same {
		joined := &commands[len(commands)-1]
		joined.Ranks = append(joined.Ranks, o.Rank)
		return commands
	}
	return append(commands, next)
}

// stager fetches the weights that a plan needs and hands them to the ranks.
type stager struct {
	c *Controller
	// put holds when weights were handed over. The state that was read
	// before then still names them as missing.
	put map[rankapi.WeightsID]time.Time
}

func newStager(c *Controller) *stager {
	return &stager{c: c, put: make(map[rankapi.WeightsID]time.Time)}
}

func (s *stager) run(ctx context.Context) error {
	for {
		list, ok := s.c.missing.Pop(ctx)
		if !ok {
			return nil
		}
		s.forget(time.Now(), list)
		for _, w := range list {
			if _, done := s.put[w]; done {
				continue
			}
			if !s.stage(ctx, w) {
				break // the next state of the ranks names what is still missing
			}
		}
	}
}

// forget drops the weights that the ranks no longer miss: if they miss them
// again, a map in between has dropped them.
func (s *stager) forget(now time.Time, missing []rankapi.WeightsID) {
	for w, at := range s.put {
		if now.Sub(at) > s.c.opts.Timing.CallTimeout || !slices.Contains(missing, w) {
			delete(s.put, w)
		}
	}
}

func (s *stager) stage(ctx context.Context, w rankapi.WeightsID) bool {
	call, cancel := context.WithTimeout(ctx, s.c.opts.Timing.CallTimeout)
	defer cancel()
	data, err := s.c.opts.WeightStore.Fetch(call, s.c.opts.Model, w.Layer, int(w.Expert))
	if err == nil {
		err = s.c.backend.putWeights(call, w, data)
	}
	if err != nil {
		if ctx.Err() == nil {
			s.c.opts.Log.Debug().Err(err).Msg("weights")
			clock.Sleep(ctx, max(s.c.opts.Timing.RetryDelay, errkind.Of(err).RetryAfter))
		}
		return false
	}
	s.put[w] = time.Now()
	return true
}
