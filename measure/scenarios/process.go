package scenarios

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type kind string

const (
	kindPlatform kind = "platform"
	kindEngine   kind = "engine"
	kindPlain    kind = "plain"
	kindEntry    kind = "entry"
	kindSidecar  kind = "sidecar"
	kindRanks    kind = "ranks"
)

const logTailBytes = 6000

// process is one filbertmux process.
type process struct {
	name            string
	kind            kind
	service         string
	flags           []string
	domain          string
	address         string // for callers; other processes reach an entry at peer
	peer            string
	logFile         string
	logStart        int // offset in logFile at which the output of this process begins
	cmd             *exec.Cmd
	done            chan struct{} // closed after the process has ended
	offsetWatchDone chan struct{} // closed after watchOffset has returned
	endExpected     atomic.Bool   // got a signal that ends it
	offsetSeen      atomic.Uint64 // latest table offset in /statusz
	receivedMu      sync.Mutex
	received        uint64 // number of the latest call that was read from it, guarded by receivedMu
}

// arguments returns the command line, in which flags override the defaults. Only
// the stand-ins can listen on port 0 and report the port that they got; for the
// others a free port is chosen here.
func (k kind) arguments(name, platform string, flags []string) ([]string, error) {
	if k != kindEntry && k != kindSidecar {
		return append([]string{"standin", string(k), "--listen=127.0.0.1:0"}, flags...), nil
	}
	own, err := freeAddress()
	if err != nil {
		return nil, err
	}
	args := []string{
		string(k), "--instance=" + name, "--region=ro-centru", "--failure-domain=sibiu-a",
		"--instance-interval=50ms", "--peer-token=scenario", "--platform-url=http://" + platform, "--advertise=" + own,
	}
	if k == kindSidecar {
		return append(append(args, "--listen="+own), flags...), nil
	}
	callers, err := freeAddress()
	if err != nil {
		return nil, err
	}
	return append(append(args, "--listen="+callers, "--peer-listen="+own), flags...), nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// maxStarts bounds the attempts to start a process. An attempt fails if another
// process takes its port between the choice of the port and the start.
const maxStarts = 5

// start starts a process and returns when it listens on all its ports.
func (env *environment) start(name string, k kind, platform string, flags []string) (*process, error) {
	if old := env.processes[name]; old != nil && !old.ended() {
		return nil, fmt.Errorf("%s is still running", name)
	}
	for n := 1; ; n++ {
		p, err := env.startOnce(name, k, platform, flags)
		if err == nil || n == maxStarts || p == nil || !strings.Contains(p.log(), "address already in use") {
			return p, err
		}
	}
}

func (env *environment) startOnce(name string, k kind, platform string, flags []string) (*process, error) {
	program, err := exec.LookPath(env.program)
	if err != nil {
		return nil, err
	}
	args, err := k.arguments(name, platform, flags)
	if err != nil {
		return nil, err
	}
	p := &process{
		name: name, kind: k, service: lastFlagValue(flags, "service"), flags: flags, domain: "sibiu-a",
		logFile: filepath.Join(env.dir, name+".log"), done: make(chan struct{}), offsetWatchDone: make(chan struct{}),
	}
	if k == kindPlain {
		p.service = lastFlagValue(flags, "service-name")
	}
	if d := lastFlagValue(flags, "failure-domain"); d != "" {
		p.domain = d
	}
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	p.logStart = len(p.log())
	p.cmd = exec.Command(program, args...)
	p.cmd.Dir = env.dir
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + env.dir, "GORACE=" + raceDetectorOptions}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	env.mu.Lock()
	env.processes[name] = p
	env.mu.Unlock()
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	if err := p.awaitListening(); err != nil {
		return p, err
	}
	go env.watchOffset(p)
	return p, nil
}

// ranks returns the ranks of the backend server of a sidecar.
func (p *process) ranks() ([]int, error) {
	var list []int
	for text := range strings.SplitSeq(lastFlagValue(p.flags, "ranks"), ",") {
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil {
			return nil, err
		}
		list = append(list, n)
	}
	return list, nil
}

func lastFlagValue(flags []string, name string) string {
	for _, f := range slices.Backward(flags) {
		if value, ok := strings.CutPrefix(f, "--"+name+"="); ok {
			return value
		}
	}
	return ""
}

var listeningLog = regexp.MustCompile(`"server":"([a-z]+)","address":"([^"]+)"[^\n]*"listening"`)

func (p *process) awaitListening() error {
	return poll(func() error {
		if p.ended() {
			return permanentError{fmt.Errorf("%s ended: %s", p.name, p.log())}
		}
		for _, m := range listeningLog.FindAllStringSubmatch(p.log()[p.logStart:], -1) {
			if m[1] == "peers" {
				p.peer = m[2]
			} else {
				p.address = m[2]
			}
		}
		if p.address == "" || p.kind == kindEntry && p.peer == "" {
			return fmt.Errorf("%s is not listening on all its ports", p.name)
		}
		return nil
	})
}

// watchOffset polls the table offset in /statusz and records a violation whenever
// it decreases.
func (env *environment) watchOffset(p *process) {
	defer close(p.offsetWatchDone)
	if p.kind != kindEntry && p.kind != kindSidecar {
		return
	}
	last := uint64(0)
	for !p.ended() {
		if offset, err := env.tableOffset(p); err == nil {
			if offset < last {
				env.recordViolation(fmt.Sprintf("table offset of %s fell from %d to %d", p.name, last, offset))
			}
			last = offset
		}
		select {
		case <-p.done:
		case <-time.After(5 * pollInterval):
		}
	}
}

func (env *environment) tableOffset(p *process) (uint64, error) {
	_, body, err := env.get("http://" + p.address + "/statusz")
	if err != nil {
		return 0, err
	}
	var status struct {
		TableOffset uint64 `json:"table_offset"`
	}
	if err = json.Unmarshal([]byte(body), &status); err == nil {
		p.offsetSeen.Store(status.TableOffset)
	}
	return status.TableOffset, err
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (p *process) signal(s syscall.Signal) error {
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.endExpected.Store(true)
	}
	return p.cmd.Process.Signal(s)
}

// kill kills the process, even if it is stopped by SIGSTOP, and waits for its
// end.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) log() string {
	data, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func (p *process) logTail() string {
	text := p.log()
	return text[max(0, len(text)-logTailBytes):]
}

// permanentError makes poll return at once.
type permanentError struct{ error }

// poll repeats check until it returns nil or a permanentError, for at most
// pollTimeout.
func poll(check func() error) error {
	end := time.Now().Add(pollTimeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if fatal, ok := err.(permanentError); ok { //nolint:errorlint // never wrapped
			return fatal.error
		}
		if time.Now().After(end) {
			return fmt.Errorf("after %s: %w", pollTimeout, err)
		}
		time.Sleep(pollInterval)
	}
}
