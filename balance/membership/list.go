package membership

import (
	"time"

	"github.com/filbertmux/filbertmux/base/infra"
)

// ApplyList takes one reading of the instance list. Entries of other roles are
// skipped. The list lags, so only a change in it has an effect: a new row adds
// a suspect server that is probed at once, and a row that disappears or turns
// to leaving withdraws the server until a success that was sent afterwards.
func (v *View) ApplyList(now time.Time, list []infra.Instance) {
	seen := make(map[string]bool, len(list))
	for _, instance := range list {
		if instance.Role != infra.RoleBackend {
			continue
		}
		seen[instance.ID] = true
		v.applyRow(now, instance)
	}
	for id, s := range v.servers {
		if seen[id] {
			continue
		}
		v.applyAbsence(now, s)
	}
}

func (v *View) applyRow(now time.Time, row infra.Instance) {
	s, known := v.servers[row.ID]
	if !known {
		s = &server{Server: Server{Instance: row, State: Suspect}, nextProbeAt: now}
		v.servers[row.ID] = s
		v.generation++
	}
	before := s.listedAt
	if s.Address != row.Address {
		v.replaceAddress(now, s)
	}
	s.Instance = row
	s.listed = true
	s.listedAt = row.State
	if row.State == infra.StateLeaving && before != infra.StateLeaving {
		v.withdraw(now, s, Leaving)
	}
}

// replaceAddress handles an instance id that moved: what was known about the
// old address says nothing about the new one.
func (v *View) replaceAddress(now time.Time, s *server) {
	s.probeAt = time.Time{}
	s.unansweredAt = time.Time{}
	s.nextProbeAt = now
	s.failures = 0
	s.leaving = false
	v.retire(s)
	v.generation++
	v.setState(s, Suspect)
}

func (v *View) applyAbsence(now time.Time, s *server) {
	if s.listed {
		s.listed = false
		s.listedAt = ""
		s.absentAt = now
		v.withdraw(now, s, Dead)
		return
	}
	if s.State != Usable && now.Sub(s.absentAt) >= v.config.ForgetAfter {
		delete(v.servers, s.ID)
		v.generation++
	}
}

// withdraw stops new work and asks for a probe. The probe shows whether the
// list was right.
func (v *View) withdraw(now time.Time, s *server, state State) {
	s.withdrawnAt = now
	s.nextProbeAt = now
	v.setState(s, state)
}
