package scenarios

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/measure/standin"
)

// caller is the organisation whose key a call carries without -token.
const caller = "mureseni-desk"

// commands are described in docs/scenarios.md.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"start":          command(2, (*run).start),
	"instances":      command(0, (*run).instances),
	"live-instances": command(0, (*run).liveInstances),
	"ready":          command(1, (*run).ready),
	"signal":         command(2, (*run).signal),
	"ends":           command(2, (*run).ends),
	"faults":         command(1, (*run).faults),
	"link":           command(2, (*run).link),
	"link-mode":      command(2, (*run).linkMode),
	"hold":           command(1, (*run).hold),
	"release":        command(1, (*run).release),
	"example":        command(1, (*run).example),
	"accepted":       command(2, (*run).accepted),
	"at-offset":      command(2, (*run).atOffset),
	"race":           command(4, (*run).race),
	"in-force":       command(2, (*run).inForce),
	"new-key":        command(1, (*run).newKey),
	"call":           command(4, (*run).call),
	"completion":     command(3, (*run).completion),
	"read-on":        command(1, (*run).readOn),
	"events":         command(2, (*run).events),
	"answer":         command(2, (*run).answer),
	"waiting":        command(1, (*run).waiting),
	"runs":           command(2, (*run).runs),
	"find":           command(3, (*run).find),
	"until":          command(2, (*run).until),
	"repeat":         command(2, (*run).repeat),
	"exit-code":      command(1, (*run).exitCode),
	"sidecar-of":     command(2, (*run).sidecarOf),
	"one-answer":     command(3, (*run).oneAnswer),
	"members":        command(1, (*run).members),
	"restart":        command(1, (*run).restart),
	"replace":        command(2, (*run).replace),
	"stall":          command(1, (*run).stall),
	"unstall":        command(1, (*run).unstall),
	"block":          command(2, (*run).block),
	"unblock":        command(0, (*run).unblock),
	"link-holds":     command(2, (*run).linkHolds),
	"late-orders":    command(1, (*run).lateOrders),
	"unstaged":       command(1, (*run).unstaged),
	"logged":         command(2, (*run).logged),
	"candidates":     command(1, (*run).candidates),
	"steps":          command(1, (*run).steps),
	"advances":       command(0, (*run).advances),
	"paced":          command(1, (*run).paced),
}

// run is one execution of a command.
type run struct {
	*testscript.TestScript
	*world
}

func command(least int, do func(*run, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) < least {
			ts.Fatalf("want at least %d arguments and no !", least)
		}
		ts.Check(do(&run{ts, worldOf(ts)}, args))
	}
}

func (r *run) start(args []string) error {
	p, err := r.world.start(args[0], kind(args[1]), r.Getenv("platform"), args[2:])
	if err != nil {
		return err
	}
	r.Setenv(p.name, p.address)
	r.Setenv(p.name+"_peer", p.peer)
	return nil
}

func (r *run) process(name string) (*process, error) {
	if p := r.processes[name]; p != nil {
		return p, nil
	}
	return nil, fmt.Errorf("no process %s", name)
}

func (r *run) instances(args []string) error {
	list := []infra.Instance{}
	for _, arg := range args {
		row, err := r.row(arg)
		if err != nil {
			return err
		}
		list = append(list, row)
	}
	return r.put(infra.InstancePath, list)
}

// liveInstances lists all entries and sidecars that still run.
func (r *run) liveInstances([]string) error {
	var names []string
	for name, p := range r.processes {
		if (p.kind == kindEntry || p.kind == kindSidecar) && !p.ended() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return r.instances(names)
}

// row reads NAME, NAME@LINK, either with =leaving behind it.
func (r *run) row(arg string) (infra.Instance, error) {
	arg, leaving := strings.CutSuffix(arg, "=leaving")
	name, through, _ := strings.Cut(arg, "@")
	p, err := r.process(name)
	if err != nil {
		return infra.Instance{}, err
	}
	row := infra.Instance{
		ID: name, Role: infra.RoleBackend, Service: p.service, Address: p.address,
		FailureDomain: p.domain, Region: "ro-centru", State: infra.StateLive,
	}
	if p.kind == kindEntry {
		row.Role, row.Address = infra.RoleEntry, p.peer
	}
	row.Group = flagValue(p.flags, "group")
	if row.Ranks, err = p.ranks(); err != nil {
		return infra.Instance{}, err
	}
	if through != "" {
		row.Address = r.links[through].address
	}
	if leaving {
		row.State = infra.StateLeaving
	}
	return row, nil
}

// put sends a value to the stand-in platform.
func (r *run) put(path string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	p, err := r.process("platform")
	if err != nil {
		return err
	}
	return r.expect2xx(http.MethodPut, "http://"+p.address+path, string(data))
}

func (r *run) expect2xx(method, url, body string) error {
	status, text, err := r.do(method, url, body)
	if err == nil && status/100 != 2 {
		err = fmt.Errorf("%s %s answered %d: %s", method, url, status, text)
	}
	return err
}

// ready waits until the named processes serve, and until the entries among them
// know a server of the service of each named sidecar. An entry is ready as soon as
// it has read any instance list.
func (r *run) ready(args []string) error {
	var entries []string
	services := map[string]bool{}
	for _, name := range args {
		p, err := r.process(name)
		if err != nil {
			return err
		}
		path := "/healthz"
		switch p.kind {
		case kindEntry:
			path = "/readyz"
			entries = append(entries, name)
		case kindSidecar:
			services[p.service] = true
		}
		if err := poll(func() error { return r.expect2xx(http.MethodGet, "http://"+p.address+path, "") }); err != nil {
			return err
		}
	}
	for _, entry := range entries {
		for service := range services {
			if err := r.until([]string{entry + "/statusz", regexp.QuoteMeta(strconv.Quote(service)) + ":[1-9]"}); err != nil {
				return err
			}
		}
	}
	return nil
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
}

func (r *run) signal(args []string) error {
	s, ok := signals[args[0]]
	if !ok {
		return fmt.Errorf("unknown signal %s", args[0])
	}
	for _, name := range args[1:] {
		p, err := r.process(name)
		if err != nil {
			return err
		}
		if err := p.signal(s); err != nil {
			return err
		}
		if s == syscall.SIGKILL {
			<-p.done
		}
	}
	return nil
}

func (r *run) ends(args []string) error {
	p, err := r.process(args[0])
	if err != nil {
		return err
	}
	select {
	case <-p.done:
	case <-time.After(patience):
		return fmt.Errorf("%s still runs after %s", p.name, patience)
	}
	if got := strconv.Itoa(p.cmd.ProcessState.ExitCode()); got != args[1] {
		return fmt.Errorf("exit code of %s is %s, want %s", p.name, got, args[1])
	}
	return nil
}

func (r *run) faults(args []string) error {
	var f standin.Faults
	if err := json.Unmarshal([]byte(args[0]), &f); err != nil {
		return err
	}
	return r.put(standin.FaultsPath, f)
}

func (r *run) link(args []string) error {
	l, err := newLink(args[1])
	if err != nil {
		return err
	}
	r.links[args[0]] = l
	r.Setenv(args[0], l.address)
	return nil
}

func (r *run) linkMode(args []string) error {
	l := r.links[args[0]]
	if l == nil {
		return fmt.Errorf("no link %s", args[0])
	}
	return l.set(args[1])
}

func (r *run) hold(args []string) error    { return r.setHold(http.MethodPut, args) }
func (r *run) release(args []string) error { return r.setHold(http.MethodDelete, args) }

func (r *run) setHold(method string, names []string) error {
	for _, name := range names {
		p, err := r.process(name)
		if err != nil {
			return err
		}
		if err := r.expect2xx(method, "http://"+p.address+"/standin/hold", ""); err != nil {
			return err
		}
	}
	return nil
}

// find waits until one of several processes answers a path with a match and
// sets VAR to its name, VAR_other to the other ones, and VAR_1, VAR_2 and so on
// to each of them.
func (r *run) find(args []string) error {
	variable, path := args[0], args[1]
	pattern, err := regexp.Compile(args[2])
	if err != nil {
		return err
	}
	return poll(func() error {
		found := ""
		var others []string
		for _, name := range args[3:] {
			p, err := r.process(name)
			if err != nil {
				return fatalError{err}
			}
			_, body, err := r.get("http://" + p.address + path)
			if err == nil && found == "" && pattern.MatchString(body) {
				found = name
				continue
			}
			others = append(others, name)
		}
		if found == "" {
			return fmt.Errorf("no process answers %s with %s", path, pattern)
		}
		r.Setenv(variable, found)
		r.Setenv(variable+"_other", strings.Join(others, " "))
		for n, other := range others {
			r.Setenv(variable+"_"+strconv.Itoa(n+1), other)
		}
		return nil
	})
}

func (r *run) until(args []string) error {
	pattern, err := regexp.Compile(args[1])
	if err != nil {
		return err
	}
	return poll(func() error {
		address, path, _ := strings.Cut(args[0], "/")
		if p := r.processes[address]; p != nil {
			address = p.address
		}
		status, body, err := r.get("http://" + address + "/" + path)
		if err == nil && !pattern.MatchString(body) {
			err = fmt.Errorf("%s answers %d %s", args[0], status, body)
		}
		return err
	})
}

// repeat runs the program until it ends with exit code 0 and its output
// matches.
func (r *run) repeat(args []string) error {
	pattern, err := regexp.Compile(args[0])
	if err != nil {
		return err
	}
	return poll(func() error {
		err := r.Exec("filbertmux", args[1:]...)
		if err == nil && !pattern.MatchString(r.ReadFile("stdout")) {
			err = fmt.Errorf("the output does not match %s", args[0])
		}
		return err
	})
}

// exitCode runs the program and checks its exit code.
func (r *run) exitCode(args []string) error {
	err := r.Exec("filbertmux", args[1:]...)
	got := "0"
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = strconv.Itoa(exit.ExitCode())
	} else if err != nil {
		return err
	}
	if got != args[0] {
		return fmt.Errorf("exit code %s, want %s: %s", got, args[0], r.ReadFile("stderr"))
	}
	return nil
}

// sidecarOf sets VAR to the sidecar of a backend server and VAR_other to the
// other sidecars of its service.
func (r *run) sidecarOf(args []string) error {
	backend, err := r.process(args[1])
	if err != nil {
		return err
	}
	found := ""
	var others []string
	for name, p := range r.processes {
		switch {
		case p.kind != kindSidecar:
		case flagValue(p.flags, "backend-url") == "http://"+backend.address:
			found = name
		case p.service == backend.service:
			others = append(others, name)
		}
	}
	if found == "" {
		return fmt.Errorf("no sidecar of %s", args[1])
	}
	r.Setenv(args[0], found)
	r.Setenv(args[0]+"_other", strings.Join(others, " "))
	return nil
}
