package membership

import (
	"time"

	"github.com/filbertmux/filbertmux/base/infra"
)

// ApplyList applies one reading of the instance list. Instances of other roles are
// ignored. The list lags behind, so only changes of it have an effect: a new
// instance is added as a suspect server that is probed at once. An instance that
// disappears or turns to leaving is withdrawn until a call or probe that is sent
// afterwards succeeds.
func (v *View) ApplyList(now time.Time, list []infra.Instance) {
	listed := make(map[string]bool, len(list))
	for _, instance := range list {
		if instance.Role != infra.RoleBackend {
			continue
		}
		listed[instance.ID] = true
		v.applyInstance(now, instance)
	}
	for id, s := range v.servers {
		if listed[id] {
			continue
		}
		v.applyMissing(now, s)
	}
}

func (v *View) applyInstance(now time.Time, instance infra.Instance) {
	s, known := v.servers[instance.ID]
	if !known {
		s = &server{Server: Server{Instance: instance, State: Suspect}, nextProbeAt: now}
		v.servers[instance.ID] = s
		v.generation++
	}
	previous := s.listedState
	if s.Address != instance.Address {
		v.replaceAddress(now, s)
	}
	s.Instance = instance
	s.listed = true
	s.listedState = instance.State
	if instance.State == infra.StateLeaving && previous != infra.StateLeaving {
		v.withdraw(now, s, Leaving)
	}
}

// replaceAddress resets the state of an instance whose address changed: signals
// from the old address say nothing about the new one.
func (v *View) replaceAddress(now time.Time, s *server) {
	s.probeSentAt = time.Time{}
	s.unansweredAt = time.Time{}
	s.nextProbeAt = now
	s.consecutiveFailures = 0
	s.leaving = false
	v.retireIncarnation(s)
	v.generation++
	v.setState(s, Suspect)
}

func (v *View) applyMissing(now time.Time, s *server) {
	if s.listed {
		s.listed = false
		s.listedState = ""
		s.missingSince = now
		v.withdraw(now, s, Dead)
		return
	}
	if s.State != Usable && now.Sub(s.missingSince) >= v.config.ForgetAfter {
		delete(v.servers, s.ID)
		v.generation++
	}
}

// withdraw stops new requests to a server and schedules a probe, which shows
// whether the list was right.
func (v *View) withdraw(now time.Time, s *server, state State) {
	s.withdrawnAt = now
	s.nextProbeAt = now
	v.setState(s, state)
}
