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

// callerOrganisation is the organisation whose API key a call uses by default.
const callerOrganisation = "mureseni-desk"

// commands are the script commands, which docs/scenarios.md describes.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"start":          command(2, (*scriptCommand).start),
	"instances":      command(0, (*scriptCommand).instances),
	"live-instances": command(0, (*scriptCommand).liveInstances),
	"ready":          command(1, (*scriptCommand).ready),
	"signal":         command(2, (*scriptCommand).signal),
	"ends":           command(2, (*scriptCommand).ends),
	"faults":         command(1, (*scriptCommand).faults),
	"link":           command(2, (*scriptCommand).link),
	"link-mode":      command(2, (*scriptCommand).linkMode),
	"hold":           command(1, (*scriptCommand).hold),
	"release":        command(1, (*scriptCommand).release),
	"example":        command(1, (*scriptCommand).example),
	"accepted":       command(2, (*scriptCommand).accepted),
	"at-offset":      command(2, (*scriptCommand).atOffset),
	"race":           command(4, (*scriptCommand).race),
	"in-force":       command(2, (*scriptCommand).inForce),
	"new-key":        command(1, (*scriptCommand).newKey),
	"call":           command(4, (*scriptCommand).call),
	"completion":     command(3, (*scriptCommand).completion),
	"read-on":        command(1, (*scriptCommand).readOn),
	"events":         command(2, (*scriptCommand).events),
	"answer":         command(2, (*scriptCommand).answer),
	"waiting":        command(1, (*scriptCommand).waiting),
	"runs":           command(2, (*scriptCommand).runs),
	"find":           command(3, (*scriptCommand).find),
	"until":          command(2, (*scriptCommand).until),
	"repeat":         command(2, (*scriptCommand).repeat),
	"exit-code":      command(1, (*scriptCommand).exitCode),
	"sidecar-of":     command(2, (*scriptCommand).sidecarOf),
	"one-answer":     command(3, (*scriptCommand).oneAnswer),
	"members":        command(1, (*scriptCommand).members),
	"restart":        command(1, (*scriptCommand).restart),
	"replace":        command(2, (*scriptCommand).replace),
	"stall":          command(1, (*scriptCommand).stall),
	"unstall":        command(1, (*scriptCommand).unstall),
	"block":          command(2, (*scriptCommand).block),
	"unblock":        command(0, (*scriptCommand).unblock),
	"link-holds":     command(2, (*scriptCommand).linkHolds),
	"late-orders":    command(1, (*scriptCommand).lateOrders),
	"unstaged":       command(1, (*scriptCommand).unstaged),
	"logged":         command(2, (*scriptCommand).logged),
	"candidates":     command(1, (*scriptCommand).candidates),
	"steps":          command(1, (*scriptCommand).steps),
	"advances":       command(0, (*scriptCommand).advances),
	"paced":          command(1, (*scriptCommand).paced),
}

// scriptCommand is the context of one execution of a script command.
type scriptCommand struct {
	*testscript.TestScript
	*environment
}

func command(least int, do func(*scriptCommand, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) < least {
			ts.Fatalf("want at least %d arguments and no negation (!)", least)
		}
		ts.Check(do(&scriptCommand{ts, environmentOf(ts)}, args))
	}
}

func (r *scriptCommand) start(args []string) error {
	p, err := r.environment.start(args[0], kind(args[1]), r.Getenv("platform"), args[2:])
	if err != nil {
		return err
	}
	r.Setenv(p.name, p.address)
	r.Setenv(p.name+"_peer", p.peer)
	return nil
}

func (r *scriptCommand) process(name string) (*process, error) {
	if p := r.processes[name]; p != nil {
		return p, nil
	}
	return nil, fmt.Errorf("no process %s", name)
}

func (r *scriptCommand) instances(args []string) error {
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

// liveInstances publishes an instance list of all entries and sidecars that
// still run.
func (r *scriptCommand) liveInstances([]string) error {
	var names []string
	for name, p := range r.processes {
		if (p.kind == kindEntry || p.kind == kindSidecar) && !p.ended() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return r.instances(names)
}

// row returns the instance for NAME or NAME@LINK, where =leaving may follow.
func (r *scriptCommand) row(arg string) (infra.Instance, error) {
	arg, leaving := strings.CutSuffix(arg, "=leaving")
	name, linkName, _ := strings.Cut(arg, "@")
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
	row.Group = lastFlagValue(p.flags, "group")
	if row.Ranks, err = p.ranks(); err != nil {
		return infra.Instance{}, err
	}
	if linkName != "" {
		row.Address = r.links[linkName].address
	}
	if leaving {
		row.State = infra.StateLeaving
	}
	return row, nil
}

// put sends a value to the stand-in platform.
func (r *scriptCommand) put(path string, value any) error {
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

func (r *scriptCommand) expect2xx(method, url, body string) error {
	status, text, err := r.do(method, url, body)
	if err == nil && status/100 != 2 {
		err = fmt.Errorf("%s %s answered %d: %s", method, url, status, text)
	}
	return err
}

// ready waits until the named processes serve, and until the entries among them
// know a backend server for the service of each named sidecar. The second check
// is needed because an entry reports ready after its first instance list, even
// if that is empty.
func (r *scriptCommand) ready(args []string) error {
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

func (r *scriptCommand) signal(args []string) error {
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

func (r *scriptCommand) ends(args []string) error {
	p, err := r.process(args[0])
	if err != nil {
		return err
	}
	select {
	case <-p.done:
	case <-time.After(pollTimeout):
		return fmt.Errorf("%s is still running after %s", p.name, pollTimeout)
	}
	if got := strconv.Itoa(p.cmd.ProcessState.ExitCode()); got != args[1] {
		return fmt.Errorf("exit code of %s is %s, want %s", p.name, got, args[1])
	}
	return nil
}

func (r *scriptCommand) faults(args []string) error {
	var f standin.Faults
	if err := json.Unmarshal([]byte(args[0]), &f); err != nil {
		return err
	}
	return r.put(standin.FaultsPath, f)
}

func (r *scriptCommand) link(args []string) error {
	l, err := newLink(args[1])
	if err != nil {
		return err
	}
	r.links[args[0]] = l
	r.Setenv(args[0], l.address)
	return nil
}

func (r *scriptCommand) linkMode(args []string) error {
	l := r.links[args[0]]
	if l == nil {
		return fmt.Errorf("no link %s", args[0])
	}
	return l.setMode(args[1])
}

func (r *scriptCommand) hold(args []string) error    { return r.setHold(http.MethodPut, args) }
func (r *scriptCommand) release(args []string) error { return r.setHold(http.MethodDelete, args) }

func (r *scriptCommand) setHold(method string, names []string) error {
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

// find waits until the answer of one of several processes to a path matches. It
// sets VAR to the name of that process, VAR_other to the names of the others,
// and VAR_1, VAR_2 and so on to each of the others.
func (r *scriptCommand) find(args []string) error {
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
				return permanentError{err}
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

func (r *scriptCommand) until(args []string) error {
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

// repeat runs the program until it exits with code 0 and its output matches.
func (r *scriptCommand) repeat(args []string) error {
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
func (r *scriptCommand) exitCode(args []string) error {
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
func (r *scriptCommand) sidecarOf(args []string) error {
	backend, err := r.process(args[1])
	if err != nil {
		return err
	}
	found := ""
	var others []string
	for name, p := range r.processes {
		switch {
		case p.kind != kindSidecar:
		case lastFlagValue(p.flags, "backend-url") == "http://"+backend.address:
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
