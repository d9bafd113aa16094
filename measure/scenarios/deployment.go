package scenarios

import (
	"encoding/json"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/filbertmux/filbertmux/base/infra"
)

// callerOrganisation is the organisation whose API key a call uses by default.
const callerOrganisation = "mureseni-desk"

func (env *environment) process(name string) (*process, error) {
	if p := env.processes[name]; p != nil {
		return p, nil
	}
	return nil, fmt.Errorf("no process %s", name)
}

// row returns the instance for NAME or NAME@LINK, where =leaving may follow.
func (env *environment) row(arg string) (infra.Instance, error) {
	arg, leaving := strings.CutSuffix(arg, "=leaving")
	name, linkName, _ := strings.Cut(arg, "@")
	p, err := env.process(name)
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
		row.Address = env.links[linkName].address
	}
	if leaving {
		row.State = infra.StateLeaving
	}
	return row, nil
}

// put sends a value to the stand-in platform.
func (env *environment) put(path string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	p, err := env.process("platform")
	if err != nil {
		return err
	}
	return env.expect2xx(http.MethodPut, "http://"+p.address+path, string(data))
}

func (env *environment) expect2xx(method, url, body string) error {
	status, text, err := env.do(method, url, body)
	if err == nil && status/100 != 2 {
		err = fmt.Errorf("%s %s answered %d: %s", method, url, status, text)
	}
	return err
}

// ready waits until the named processes serve, and until the entries among them
// know a backend server for the service of each named sidecar. The second check
// is needed because an entry reports ready after its first instance list, even
// if that is empty.
func (env *environment) ready(args []string) error {
	var entries []string
	services := map[string]bool{}
	for _, name := range args {
		p, err := env.process(name)
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
		if err := poll(func() error { return env.expect2xx(http.MethodGet, "http://"+p.address+path, "") }); err != nil {
			return err
		}
	}
	for _, entry := range entries {
		for service := range services {
			if err := env.until([]string{entry + "/statusz", regexp.QuoteMeta(strconv.Quote(service)) + ":[1-9]"}); err != nil {
				return err
			}
		}
	}
	return nil
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
	"HUP": syscall.SIGHUP,
}

func (env *environment) hold(args []string) error    { return env.setHold(http.MethodPut, args) }
func (env *environment) release(args []string) error { return env.setHold(http.MethodDelete, args) }

func (env *environment) setHold(method string, names []string) error {
	for _, name := range names {
		p, err := env.process(name)
		if err != nil {
			return err
		}
		if err := env.expect2xx(method, "http://"+p.address+"/standin/hold", ""); err != nil {
			return err
		}
	}
	return nil
}

func (env *environment) until(args []string) error {
	pattern, err := regexp.Compile(args[1])
	if err != nil {
		return err
	}
	return poll(func() error {
		address, path, _ := strings.Cut(args[0], "/")
		if p := env.processes[address]; p != nil {
			address = p.address
		}
		status, body, err := env.get("http://" + address + "/" + path)
		if err == nil && !pattern.MatchString(body) {
			err = fmt.Errorf("%s answers %d %s", args[0], status, body)
		}
		return err
	})
}

var acceptedLine = regexp.MustCompile(`accepted: change set \S+ at offset (\d+)`)

// propagationBound is the time within which a change must be in force everywhere.
const propagationBound = 7 * time.Second
