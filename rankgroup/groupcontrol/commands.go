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

// commandSender sends commands to the ranks of the backend server, one batch at
// a time, and passes the state of the ranks in each response to the event loop.
type commandSender struct {
	controller *Controller
	session    uint64
	seq        uint64
}

func newCommandSender(c *Controller) *commandSender { return &commandSender{controller: c} }

func (s *commandSender) run(ctx context.Context) error {
	if !s.openSession(ctx) {
		return nil
	}
	s.controller.pushEvent(event{openedSession: s.session})
	for ctx.Err() == nil {
		if err := s.sendNextBatch(ctx); err != nil && ctx.Err() == nil {
			if s.isSuperseded(ctx, err) {
				return err
			}
			s.controller.opts.Log.Warn().Err(err).Msg("sending rank commands failed")
			clock.Sleep(ctx, s.controller.opts.Timing.RetryDelay)
		}
	}
	return nil
}

// openSession chooses a session above that of the previous sidecar. It reports
// false if ctx ended first.
func (s *commandSender) openSession(ctx context.Context) bool {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, s.controller.opts.Timing.CallTimeout)
		resp, err := s.controller.ranks.readState(call)
		cancel()
		if err == nil {
			s.session = max(s.controller.opts.Incarnation, resp.Session+1)
			return true
		}
		s.controller.opts.Log.Warn().Err(err).Msg("reading the state of the ranks failed")
		clock.Sleep(ctx, s.controller.opts.Timing.RetryDelay)
	}
	return false
}

// isSuperseded reports whether a batch failed because another sidecar has opened
// a later session.
func (s *commandSender) isSuperseded(ctx context.Context, err error) bool {
	if !errkind.Is(err, errkind.StaleFencingToken) {
		return false
	}
	call, cancel := context.WithTimeout(ctx, s.controller.opts.Timing.CallTimeout)
	defer cancel()
	resp, err := s.controller.ranks.readState(call)
	return err == nil && resp.Session > s.session
}

// sendNextBatch waits for commands, or until the next read of the ranks is due,
// and sends a batch. A batch without commands only reads the state.
func (s *commandSender) sendNextBatch(ctx context.Context) error {
	batch := s.collectBatch(ctx)
	if ctx.Err() != nil {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, s.controller.opts.Timing.CallTimeout)
	defer cancel()
	resp, err := s.controller.ranks.sendBatch(call, batch)
	if err != nil {
		return err
	}
	e := event{}
	var missing []rankapi.WeightsID
	for _, r := range resp.Ranks {
		e.states = append(e.states, r.State)
		missing = append(missing, r.Missing...)
	}
	s.controller.pushEvent(e)
	// An empty list tells the weightStager that no weights are missing.
	_ = s.controller.missingWeights.Push(ctx, missing)
	return nil
}

func (s *commandSender) collectBatch(ctx context.Context) rankapi.Batch {
	s.seq++
	batch := rankapi.Batch{Session: s.session, Seq: s.seq}
	next := s.awaitCommand(ctx)
	for next != nil {
		batch.Commands = appendCommand(batch.Commands, *next)
		more, ok := s.controller.commands.TryPop()
		if !ok {
			break
		}
		next = &more
	}
	return batch
}

// awaitCommand returns the next command, or nil when the next read is due. At
// the start of a session, ReadRank commands cause a read at once.
func (s *commandSender) awaitCommand(ctx context.Context) *mapswitch.Output {
	wait := s.controller.opts.Timing.IdleReadInterval
	if s.controller.readOften.Load() {
		wait = s.controller.opts.Timing.BusyReadInterval
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if o, ok := s.controller.commands.Pop(ctx); ok {
		return &o
	}
	return nil
}

// appendCommand appends a command to a batch. If it equals the last command
// except for the rank, the two are merged, so that a plan is sent once for all
// ranks of a backend server.
func appendCommand(commands []rankapi.Command, o mapswitch.Output) []rankapi.Command {
	next := rankapi.Command{Ranks: []mapswitch.RankID{o.Rank}}
	var last rankapi.Command
	if len(commands) > 0 {
		last = commands[len(commands)-1]
	}
	mergeable := false
	switch m := o.Message.(type) {
	case mapswitch.StageRank:
		next.Stage = &m
		mergeable = last.Stage != nil && last.Stage.Token == m.Token && last.Stage.Plan.Attempt == m.Plan.Attempt
	case mapswitch.HoldRank:
		next.Hold = &m
		mergeable = last.Hold != nil && *last.Hold == m
	case mapswitch.ReleaseRank:
		next.Release = &m
		mergeable = last.Release != nil && *last.Release == m
	default:
		return commands // each response carries the state that ReadRank requests
	}
	if mergeable {
		joined := &commands[len(commands)-1]
		joined.Ranks = append(joined.Ranks, o.Rank)
		return commands
	}
	return append(commands, next)
}

// weightStager fetches the weights that a plan needs and uploads them to the
// ranks.
type weightStager struct {
	controller *Controller
	// uploadedAt is the time when weights were uploaded. A state of the ranks
	// that was read earlier still lists them as missing.
	uploadedAt map[rankapi.WeightsID]time.Time
}

func newWeightStager(c *Controller) *weightStager {
	return &weightStager{controller: c, uploadedAt: make(map[rankapi.WeightsID]time.Time)}
}

func (s *weightStager) run(ctx context.Context) error {
	for {
		missing, ok := s.controller.missingWeights.Pop(ctx)
		if !ok {
			return nil
		}
		s.pruneUploaded(time.Now(), missing)
		for _, w := range missing {
			if _, done := s.uploadedAt[w]; done {
				continue
			}
			if !s.stageWeights(ctx, w) {
				break // the next state of the ranks lists what is still missing
			}
		}
	}
}

// pruneUploaded drops weights that the ranks no longer list as missing. If they are
// listed again, a map in between has dropped them, and they are uploaded again. It
// also drops weights that are still listed after CallTimeout.
func (s *weightStager) pruneUploaded(now time.Time, missing []rankapi.WeightsID) {
	for w, at := range s.uploadedAt {
		if now.Sub(at) > s.controller.opts.Timing.CallTimeout || !slices.Contains(missing, w) {
			delete(s.uploadedAt, w)
		}
	}
}

func (s *weightStager) stageWeights(ctx context.Context, w rankapi.WeightsID) bool {
	call, cancel := context.WithTimeout(ctx, s.controller.opts.Timing.CallTimeout)
	defer cancel()
	data, err := s.controller.opts.WeightStore.Fetch(call, s.controller.opts.Model, w.Layer, int(w.Expert))
	if err == nil {
		err = s.controller.ranks.putWeights(call, w, data)
	}
	if err != nil {
		if ctx.Err() == nil {
			s.controller.opts.Log.Debug().Err(err).Msg("staging weights failed")
			clock.Sleep(ctx, max(s.controller.opts.Timing.RetryDelay, errkind.Of(err).RetryAfter))
		}
		return false
	}
	s.uploadedAt[w] = time.Now()
	return true
}
