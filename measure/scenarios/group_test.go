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
	// ranksName is the name of the process that simulates the ranks of the group.
	ranksName      = "ranks"
	ranksPerMember = 2
	// advanceSteps is the number of further steps that the command advances
	// requires.
	advanceSteps = 20
	leaseTTL     = 2 * time.Second
)

// memberSettings are the flags that all members share. The intervals are short,
// so that many switches happen in a script. With a switch lead and a vote timeout
// below 1 s, a busy host would refuse most of them.
var memberSettings = []string{
	"--service=text-desk", "--group=g", "--lease-ttl=" + leaseTTL.String(), "--plan-interval=200ms", "--plan-min-interval=300ms",
	"--step-time=10ms", "--switch-lead=1s", "--vote-timeout=1s", "--move-cost=1ms", "--store-rate=1000",
}

// members starts the sidecars member0 to member(N-1) of the group and lists them
// as instances. Other processes reach each of them through the link link-NAME.
func (r *scriptCommand) members(args []string) error {
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
		flags := slices.Concat(memberSettings, place, args[1:])
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

// restart starts sidecars that have ended again, under the same names.
func (r *scriptCommand) restart(args []string) error {
	for _, name := range args {
		if err := r.replace([]string{name, name}); err != nil {
			return err
		}
	}
	return nil
}

// replace starts a sidecar with another name in place of one that has ended, and
// directs the link of the old one to it. It returns when the new sidecar has
// opened a session at the ranks.
func (r *scriptCommand) replace(args []string) error {
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
		return errorUnless(a.Session > before.Session, "%s has opened no new session at the ranks", args[1])
	})
}

// control sends a control request for the ranks of a sidecar to the process that
// simulates them.
func (r *scriptCommand) control(method, path, sidecar, rest string) error {
	p, err := r.process(sidecar)
	if err != nil {
		return err
	}
	address, replica, _ := strings.Cut(strings.TrimPrefix(lastFlagValue(p.flags, "rank-url"), "http://"), "/")
	return r.expect2xx(method, "http://"+address+path+replica+rest, "")
}

func (r *scriptCommand) stall(args []string) error {
	return r.control(http.MethodPut, "/standin/stalled/", args[0], "")
}

func (r *scriptCommand) unstall(args []string) error {
	return r.control(http.MethodDelete, "/standin/stalled/", args[0], "")
}

// block makes the ranks of the given sidecars delay all commands of one kind and
// returns when at least one command is delayed.
func (r *scriptCommand) block(args []string) error {
	for _, name := range args[1:] {
		if err := r.control(http.MethodPut, "/standin/blocked/", name, "/"+args[0]); err != nil {
			return err
		}
	}
	return poll(func() error {
		s, err := r.groupStatus()
		if err == nil && s.Blocked == 0 {
			err = fmt.Errorf("no %s command is blocked: %+v", args[0], s)
		}
		return err
	})
}

func (r *scriptCommand) unblock([]string) error {
	ranks, err := r.process(ranksName)
	if err != nil {
		return err
	}
	return r.expect2xx(http.MethodDelete, "http://"+ranks.address+"/standin/blocked", "")
}

// linkHolds waits until a link in mode late holds back a connection whose first
// bytes match.
func (r *scriptCommand) linkHolds(args []string) error {
	l := r.links[args[0]]
	if l == nil {
		return fmt.Errorf("no link %s", args[0])
	}
	pattern, err := regexp.Compile(args[1])
	if err != nil {
		return err
	}
	return poll(func() error {
		return errorUnless(l.holdsMatch(pattern), "%s holds back no connection that matches %s", args[0], args[1])
	})
}

// lateOrders ends the mode late of the link to each sidecar and waits until the
// sidecar has refused one of the delayed orders.
func (r *scriptCommand) lateOrders(args []string) error {
	for _, name := range args {
		before, err := r.groupStats(name)
		if err != nil {
			return err
		}
		if err := r.links["link-"+name].setMode("pass"); err != nil {
			return err
		}
		err = poll(func() error {
			s, err := r.groupStats(name)
			if err != nil {
				return err
			}
			group, _ := r.groupStatus()
			return errorUnless(s.RefusedCommands > before.RefusedCommands, "%s refused no order: %+v", name, group)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// unstaged checks that no rank of the given sidecars has a plan with missing
// weights.
func (r *scriptCommand) unstaged(args []string) error {
	for _, name := range args {
		a, err := r.rankState(name)
		if err != nil {
			return err
		}
		for _, rank := range a.Ranks {
			if len(rank.Missing) > 0 {
				return fmt.Errorf("rank %d of %s has a plan with missing weights: %+v", rank.State.Rank, name, rank)
			}
		}
	}
	return nil
}

func (r *scriptCommand) rankState(sidecar string) (rankapi.Response, error) {
	p, err := r.process(sidecar)
	if err != nil {
		return rankapi.Response{}, err
	}
	var a rankapi.Response
	_, body, err := r.get(lastFlagValue(p.flags, "rank-url") + rankapi.RanksPath)
	if err == nil {
		err = json.Unmarshal([]byte(body), &a)
	}
	return a, err
}

// logged waits until the log output of one of the processes matches.
func (r *scriptCommand) logged(args []string) error {
	pattern, err := regexp.Compile(args[0])
	if err != nil {
		return err
	}
	return poll(func() error {
		for _, name := range args[1:] {
			p, err := r.process(name)
			if err != nil {
				return permanentError{err}
			}
			if pattern.MatchString(p.log()) {
				return nil
			}
		}
		return fmt.Errorf("no log output matches %s", args[0])
	})
}

// candidates checks that at least the given number of processes competed for one
// term of the lease of the group.
func (r *scriptCommand) candidates(args []string) error {
	want, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	records, err := r.leaseRecords()
	if err != nil {
		return err
	}
	most, terms, err := maxCandidates(records)
	if err != nil {
		return err
	}
	r.t.Logf("%d lease records, %d terms, at most %d candidates for one", len(records), terms, most)
	return errorUnless(most >= want, "at most %d candidates at once, want %d", most, want)
}

func (r *scriptCommand) leaseRecords() ([]infra.Record, error) {
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

// maxCandidates returns the largest number of candidates for a term, and the
// number of terms.
func maxCandidates(records []infra.Record) (most, terms int, err error) {
	s := lease.DefaultSettings()
	s.TTL = leaseTTL
	projection := lease.NewProjection(s)
	candidates := make(map[string]bool)
	for _, record := range records {
		var l lease.Record
		if err := json.Unmarshal(record.Data, &l); err != nil {
			return 0, 0, err
		}
		term, changed := projection.Apply(record)
		switch {
		case changed && term.Token == record.Offset:
			terms++
			candidates = map[string]bool{term.Holder: true}
		case l.Token == 0:
			candidates[l.Holder] = true
		}
		most = max(most, len(candidates))
	}
	return most, terms, nil
}

// steps waits until the group has made a number of further steps.
func (r *scriptCommand) steps(args []string) error {
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
		return errorUnless(s.Step >= first.Step+n, "the group has not made enough steps: %+v", s)
	})
}

func (env *environment) groupStatus() (standin.GroupStatus, error) {
	var s standin.GroupStatus
	_, body, err := env.get("http://" + env.processes[ranksName].address + standin.GroupPath)
	if err == nil {
		err = json.Unmarshal([]byte(body), &s)
	}
	return s, err
}

// advances waits until the group has made another switch and further steps.
func (r *scriptCommand) advances([]string) error {
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
		if !s.Settled || slices.Min(s.Epochs) <= slices.Max(first.Epochs) || s.Step < first.Step+advanceSteps {
			return fmt.Errorf("the group does not advance: %+v, before %+v", s, *first)
		}
		r.t.Logf("group advanced after %s: %+v", time.Since(began).Round(time.Millisecond), s)
		return permanentErrorUnless(s.MixedSteps == 0 && s.LateCommands == 0, "%+v", s)
	})
}

func errorUnless(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return fmt.Errorf(format, args...)
}

func permanentErrorUnless(ok bool, format string, args ...any) error {
	if err := errorUnless(ok, format, args...); err != nil {
		return permanentError{err}
	}
	return nil
}

// checkGroup records a violation if the group made a step with mixed maps or ran
// a late command.
func (env *environment) checkGroup() {
	if env.processes[ranksName] == nil {
		return
	}
	s, err := env.groupStatus()
	if err != nil || s.MixedSteps > 0 || s.LateCommands > 0 {
		env.recordViolation(fmt.Sprintf("rank group: %+v (%v)", s, err))
	}
	env.t.Logf("rank group at the end: %+v", s)
}

// paced waits for the next switch and checks that it took at least the time that
// the weight store needs for its moves, apart from a burst of one second.
func (r *scriptCommand) paced(args []string) error {
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
			return fmt.Errorf("no further switch has completed: %+v", s)
		}
		moves := float64(s.MovedExperts - before.MovedExperts)
		*before = s
		r.t.Logf("rate %g/s: %g moves, moves/rate %.2f s, switch took %.2f s", rate, moves, moves/rate, s.LastSwitchDuration.Seconds())
		if moves < 2*rate {
			return fmt.Errorf("a switch of %g moves is too small to check its pacing", moves)
		}
		return permanentErrorUnless(s.LastSwitchDuration.Seconds() >= (moves-rate)/rate, "%g moves took %s", moves, s.LastSwitchDuration)
	})
}

func (r *scriptCommand) groupStats(name string) (groupcontrol.Stats, error) {
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

// holderStats returns the statistics of the sidecar that holds the lease.
func (r *scriptCommand) holderStats() (groupcontrol.Stats, error) {
	for _, name := range slices.Sorted(maps.Keys(r.processes)) {
		p := r.processes[name]
		if p.kind != kindSidecar || p.ended() {
			continue
		}
		if s, err := r.groupStats(name); err == nil && s.IsCoordinator {
			return s, nil
		}
	}
	return groupcontrol.Stats{}, fmt.Errorf("no sidecar holds the lease")
}
