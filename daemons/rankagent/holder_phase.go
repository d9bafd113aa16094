package rankagent

import (
	"time"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

// nextInterval returns the time to the next round. It abandons a map that the ranks
// did not prepare in time.
func (h *holder) nextInterval() time.Duration {
	switch h.phase {
	case switchover.Preparing:
		if clock.Now().Sub(h.switchStart) > copyTimeout {
			h.log.Warn().Msg("ranks did not copy the experts in time; abandoning the plan")
			h.coordinator.Abandon()
			h.switchStart = clock.Now()
		}
		return h.readInterval(copyInterval)
	case switchover.Switching:
		if !h.held {
			// The ranks switch when they start the step. There is nothing to order.
			return h.readInterval(copyInterval)
		}
		return switchInterval
	case switchover.Holding, switchover.Arming:
		return switchInterval
	case switchover.Unknown:
		return readRetryInterval
	default:
		return h.readInterval(idleInterval)
	}
}

// updatePhase stores the phase of the coordinator, and logs the end of a switch.
func (h *holder) updatePhase() {
	now := h.coordinator.Phase()
	if now == h.phase {
		return
	}
	if now == switchover.Holding {
		h.preparedAt = clock.Now()
	}
	h.releaseDue = now == switchover.Switching && h.phase == switchover.Arming && !h.preparedAt.IsZero()
	if h.releaseDue {
		h.armedAt = clock.Now()
	}
	if h.phase == switchover.Switching && now == switchover.Idle {
		h.logSwitch()
		h.effectDue = true
	}
	h.phase = now
}

// logSwitch logs the end of a switch, with the times of its parts if this holder began it.
func (h *holder) logSwitch() {
	line := h.log.Info().Int64("token", h.token).Int("moves", h.moveCount).Dur("took_ms", clock.Now().Sub(h.switchStart))
	if !h.preparedAt.IsZero() {
		line.Dur("prepare_ms", h.preparedAt.Sub(h.switchStart)).Dur("arm_ms", h.armedAt.Sub(h.preparedAt))
	}
	line.Msg("expert map switched")
}

// readInterval returns the time between two readings of all ranks, at least interval.
func (h *holder) readInterval(interval time.Duration) time.Duration {
	_, _, size := h.agent.Identity()
	return h.group.link.ReadInterval(interval, size)
}
