package scenarios

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/measure/standin"
	"github.com/filbertmux/filbertmux/rankgroup/groupcontrol"
	"github.com/filbertmux/filbertmux/rankgroup/lease"
	"github.com/filbertmux/filbertmux/rankgroup/rankapi"
)

const (
	// ranksName is the name of the process with the ranks of the group.
	ranksName      = "ranks"
	ranksPerMember = 2
	// groupSteps is the number of steps by which advances sees the group go
	// on.
	groupSteps = 20
	leaseTTL   = 2 * time.Second
)

// memberFlags are the settings of a member but for its place. Intervals are
// short, so that a script sees many switches. A lead and a vote timeout of 1 s
// keep a busy machine from refusing most of them.
var memberFlags = []string{
	"--service=text-desk", "--group=g", "--lease-ttl=" + leaseTTL.String(), "--plan-interval=200ms", "--plan-min-interval=300ms",
	"--step-time=10ms", "--switch-lead=1s", "--vote-timeout=1s", "--move-cost=1ms", "--store-rate=1000",
}

// members starts the sidecars member0 to member(N-1) of the group. Each is
// listed with a link of its own name before it.
func (r *run) members(args []string) error {
	n, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	ranks, err := r.process(ranksName)
	if err != nil {
		return err
	}
	var rows []string
	for i := range n {
		name := "member" + strconv.Itoa(i)
		first := i * ranksPerMember
		place := []string{
			fmt.Sprintf("--ranks=%d,%d", first, first+1), fmt.Sprintf("--group-ranks=%d", n*ranksPerMember),
			"--backend-url=http://" + ranks.address, fmt.Sprintf("--rank-url=http://%s/%d", ranks.address, i),
		}
		flags := slices.Concat(memberFlags, place, args[1:])
		if err := r.start(append([]string{name, string(kindSidecar)}, flags...)); err != nil {
			return err
		}
		if err := r.link([]string{"link-" + name, r.processes[name].address}); err != nil {
			return err
		}
		rows = append(rows, name+"@link-"+name)
	}
	return r.instances(rows)
}

// restart starts a sidecar again, and replace starts another one in its place.
// The link before it leads to the new one. They return when the new one has
// opened a session at the ranks.
func (r *run) restart(args []string) error {
	for _, name := range args {
		if err := r.replace([]string{name, name}); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) replace(args []string) error {
	old, err := r.process(args[0])
	if err != nil {
		return err
	}
	before, err := r.rankState(args[0])
	if err != nil {
		return err
	}
	if err := r.start(append([]string{args[1], string(kindSidecar)}, old.flags...)); err != nil {
		return err
	}
	l := r.links["link-"+args[0]]
	l.retarget(r.processes[args[1]].address)
	r.links["link-"+args[1]] = l
	return poll(func() error {
		a, err := r.rankState(args[1])
		if err != nil {
			return err
		}
		return unless(a.Session > before.Session, "%s has no session", args[1])
	})
}

// control sends a request for the ranks beside a sidecar to their process.
func (r *run) control(method, path, sidecar, rest string) error {
	p, err := r.process(sidecar)
	if err != nil {
		return err
	}
	address, replica, _ := strings.Cut(strings.TrimPrefix(flagValue(p.flags, "rank-url"), "http://"), "/")
	return r.expect2xx(method, "http://"+address+path+replica+rest, "")
}

func (r *run) stall(args []string) error {
	return r.control(http.MethodPut, "/standin/stalled/", args[0], "")
}

func (r *run) unstall(args []string) error {
	return r.control(http.MethodDelete, "/standin/stalled/", args[0], "")
}

// block makes rank commands of a kind wait and returns when one waits.
func (r *run) block(args []string) error {
	for _, name := range args[1:] {
		if err := r.control(http.MethodPut, "/standin/blocked/", name, "/"+args[0]); err != nil {
			return err
		}
	}
	return poll(func() error {
		s, err := r.groupStatus()
		if err == nil && s.Blocked == 0 {
			err = fmt.Errorf("no %s command waits: %+v", args[0], s)
		}
		return err
	})
}

func (r *run) unblock([]string) error {
	ranks, err := r.process(ranksName)
	if err != nil {
		return err
	}
	return r.expect2xx(http.MethodDelete, "http://"+ranks.address+"/standin/blocked", "")
}

// linkHolds waits until a link in mode late keeps a connection that began with
// a match.
func (r *run) linkHolds(args []string) error {
	l := r.links[args[0]]
	if l == nil {
		return fmt.Errorf("no link %s", args[0])
	}
	pattern, err := regexp.Compile(args[1])
	if err != nil {
		return err
	}
	return poll(func() error {
		return unless(l.holds(pattern), "%s holds no %s", args[0], args[1])
	})
}

// lateOrders ends mode late of the link before each sidecar and waits until
// the sidecar has refused an order.
func (r *run) lateOrders(args []string) error {
	for _, name := range args {
		before, err := r.groupStats(name)
		if err != nil {
			return err
		}
		if err := r.links["link-"+name].set("pass"); err != nil {
			return err
		}
		err = poll(func() error {
			s, err := r.groupStats(name)
			if err != nil {
				return err
			}
			group, _ := r.groupStatus()
			return unless(s.RefusedCommands > before.RefusedCommands, "%s refused no order: %+v", name, group)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// unstaged checks that the ranks beside a sidecar have no plan that lacks
// weights.
func (r *run) unstaged(args []string) error {
	for _, name := range args {
		a, err := r.rankState(name)
		if err != nil {
			return err
		}
		for _, rank := range a.Ranks {
			if len(rank.Missing) > 0 {
				return fmt.Errorf("rank %d beside %s has a plan: %+v", rank.State.Rank, name, rank)
			}
		}
	}
	return nil
}

func (r *run) rankState(sidecar string) (rankapi.Response, error) {
	p, err := r.process(sidecar)
	if err != nil {
		return rankapi.Response{}, err
	}
	var a rankapi.Response
	_, body, err := r.get(flagValue(p.flags, "rank-url") + rankapi.RanksPath)
	if err == nil {
		err = json.Unmarshal([]byte(body), &a)
	}
	return a, err
}

// logged waits until the log of one of the processes has a match.
func (r *run) logged(args []string) error {
	pattern, err := regexp.Compile(args[0])
	if err != nil {
		return err
	}
	return poll(func() error {
		for _, name := range args[1:] {
			p, err := r.process(name)
			if err != nil {
				return fatalError{err}
			}
			if pattern.MatchString(p.log()) {
				return nil
			}
		}
		return fmt.Errorf("no log has %s", args[0])
	})
}

// candidates checks that at least this many processes asked for the lease of
// the group during some tenure of none of them.
func (r *run) candidates(args []string) error {
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	records, err := r.leaseRecords()
	if err != nil {
		return err
	}
	most, tenures, err := contest(records)
	if err != nil {
		return err
	}
	r.t.Logf("%d lease records, %d tenures, at most %d candidates for one", len(records), tenures, most)
	return unless(most >= want, "at most %d candidates at once, want %d", most, want)
}

func (r *run) leaseRecords() ([]infra.Record, error) {
	p, err := r.process("platform")
	if err != nil {
		return nil, err
	}
	_, body, err := r.get(fmt.Sprintf("http://%s%s%s?after=0&limit=10000", p.address, infra.StreamPath, lease.Stream))
	if err != nil {
		return nil, err
	}
	var batch infra.Batch
	err = json.Unmarshal([]byte(body), &batch)
	return batch.Records, err
}

// contest returns the largest number of candidates for one tenure, and the
// number of tenures.
func contest(records []infra.Record) (most, tenures int, err error) {
	s := lease.DefaultSettings()
	s.TTL = leaseTTL
	fold := lease.NewProjection(s)
	asked := make(map[string]bool)
	for _, record := range records {
		var l lease.Record
		if err := json.Unmarshal(record.Data, &l); err != nil {
			return 0, 0, err
		}
		tenure, changed := fold.Apply(record)
		switch {
		case changed && tenure.Token == record.Offset:
			tenures++
			asked = map[string]bool{tenure.Holder: true}
		case l.Token == 0:
			asked[l.Holder] = true
		}
		most = max(most, len(asked))
	}
	return most, tenures, nil
}

// steps waits for further steps of the group.
func (r *run) steps(args []string) error {
	n, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	first, err := r.groupStatus()
	if err != nil {
		return err
	}
	return poll(func() error {
		s, err := r.groupStatus()
		if err != nil {
			return err
		}
		return unless(s.Step >= first.Step+n, "the group does not step: %+v", s)
	})
}

func (w *world) groupStatus() (standin.GroupStatus, error) {
	var s standin.GroupStatus
	_, body, err := w.get("http://" + w.processes[ranksName].address + standin.GroupPath)
	if err == nil {
		err = json.Unmarshal([]byte(body), &s)
	}
	return s, err
}

// advances waits until the group has made another switch and further steps.
func (r *run) advances([]string) error {
	began := time.Now()
	var first *standin.GroupStatus
	return poll(func() error {
		s, err := r.groupStatus()
		if err != nil {
			return err
		}
		if first == nil {
			first = &s
		}
		if !s.Settled || slices.Min(s.Epochs) <= slices.Max(first.Epochs) || s.Step < first.Step+groupSteps {
			return fmt.Errorf("the group does not advance: %+v, before %+v", s, *first)
		}
		r.t.Logf("group advanced after %s: %+v", time.Since(began).Round(time.Millisecond), s)
		return fatalUnless(s.MixedSteps == 0 && s.LateCommands == 0, "%+v", s)
	})
}

func unless(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return fmt.Errorf(format, args...)
}

func fatalUnless(ok bool, format string, args ...any) error {
	if err := unless(ok, format, args...); err != nil {
		return fatalError{err}
	}
	return nil
}

// checkGroup records mixed steps and late commands of the group.
func (w *world) checkGroup() {
	if w.processes[ranksName] == nil {
		return
	}
	s, err := w.groupStatus()
	if err != nil || s.MixedSteps > 0 || s.LateCommands > 0 {
		w.fault(fmt.Sprintf("rank group: %+v (%v)", s, err))
	}
	w.t.Logf("rank group at the end: %+v", s)
}

// paced waits for the next switch and checks that it did not take less time
// than the store needs for its moves, beyond a burst of one second.
func (r *run) paced(args []string) error {
	rate, err := strconv.ParseFloat(args[0], 64)
	if err != nil {
		return err
	}
	var before *groupcontrol.Stats
	return poll(func() error {
		s, err := r.holderStats()
		if err != nil {
			return err
		}
		if before == nil || s.Committed != before.Committed+1 {
			before = &s
			return fmt.Errorf("no switch ended: %+v", s)
		}
		moves := float64(s.MovedExperts - before.MovedExperts)
		*before = s
		r.t.Logf("rate %g/s: %g moves, moves/rate %.2f s, switch took %.2f s", rate, moves, moves/rate, s.LastSwitchDuration.Seconds())
		if moves < 2*rate {
			return fmt.Errorf("a switch of %g moves shows no pacing", moves)
		}
		return fatalUnless(s.LastSwitchDuration.Seconds() >= (moves-rate)/rate, "%g moves took %s", moves, s.LastSwitchDuration)
	})
}

func (r *run) groupStats(name string) (groupcontrol.Stats, error) {
	var s groupcontrol.Stats
	p, err := r.process(name)
	if err != nil {
		return s, err
	}
	_, body, err := r.get("http://" + p.address + "/groupz")
	if err == nil {
		err = json.Unmarshal([]byte(body), &s)
	}
	return s, err
}

// holderStats returns the counts of the sidecar that holds the lease.
func (r *run) holderStats() (groupcontrol.Stats, error) {
	for _, name := range slices.Sorted(maps.Keys(r.processes)) {
		p := r.processes[name]
		if p.kind != kindSidecar || p.ended() {
			continue
		}
		if s, err := r.groupStats(name); err == nil && s.IsCoordinator {
			return s, nil
		}
	}
	return groupcontrol.Stats{}, fmt.Errorf("no holder")
}
