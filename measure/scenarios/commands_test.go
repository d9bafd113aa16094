package scenarios

import (
	"encoding/json"
	"errors"
	"fmt"
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
