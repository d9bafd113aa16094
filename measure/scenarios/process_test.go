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

const tailBytes = 6000

// process is one filbertmux process.
type process struct {
	name    string
	kind    kind
	service string
	flags   []string
	domain  string
	address string // for callers; of an entry, peer is for other processes
	peer    string
	logFile string
	logFrom int // where the log of this start begins
	cmd     *exec.Cmd
	done    chan struct{} // closed after the process ended
	watched chan struct{} // closed after its watch ended
}

// arguments returns the command line. Later flags override earlier ones. Only
// the stand-ins can choose a port themselves.
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

// maxStarts bounds the starts of a process whose port was taken by another one
// between the choice and the start.
const maxStarts = 5

// start returns after the process listens on all its ports.
func (w *world) start(name string, k kind, platform string, flags []string) (*process, error) {
	if old := w.processes[name]; old != nil && !old.ended() {
		return nil, fmt.Errorf("%s still runs", name)
	}
	for n := 1; ; n++ {
		p, err := w.startOnce(name, k, platform, flags)
		if err == nil || n == maxStarts || p == nil || !strings.Contains(p.log(), "address already in use") {
			return p, err
		}
	}
}

func (w *world) startOnce(name string, k kind, platform string, flags []string) (*process, error) {
	program, err := exec.LookPath("filbertmux")
	if err != nil {
		return nil, err
	}
	args, err := k.arguments(name, platform, flags)
	if err != nil {
		return nil, err
	}
	p := &process{
		name: name, kind: k, service: flagValue(flags, "service"), flags: flags, domain: "sibiu-a",
		logFile: filepath.Join(w.dir, name+".log"), done: make(chan struct{}), watched: make(chan struct{}),
	}
	if k == kindPlain {
		p.service = flagValue(flags, "service-name")
	}
	if d := flagValue(flags, "failure-domain"); d != "" {
		p.domain = d
	}
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	p.logFrom = len(p.log())
	p.cmd = exec.Command(program, args...)
	p.cmd.Dir = w.dir
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "GORACE=" + raceOptions}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.processes[name] = p
	w.mu.Unlock()
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	if err := p.awaitListening(); err != nil {
		return p, err
	}
	go w.watchOffset(p)
	return p, nil
}

// ranks returns the ranks that the backend server of a sidecar hosts.
func (p *process) ranks() ([]int, error) {
	var list []int
	for text := range strings.SplitSeq(flagValue(p.flags, "ranks"), ",") {
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

func flagValue(flags []string, name string) string {
	for _, f := range slices.Backward(flags) {
		if value, ok := strings.CutPrefix(f, "--"+name+"="); ok {
			return value
		}
	}
	return ""
}

var listening = regexp.MustCompile(`"server":"([a-z]+)","address":"([^"]+)"[^\n]*"listening"`)

func (p *process) awaitListening() error {
	return poll(func() error {
		if p.ended() {
			return fatalError{fmt.Errorf("%s ended: %s", p.name, p.log())}
		}
		for _, m := range listening.FindAllStringSubmatch(p.log()[p.logFrom:], -1) {
			if m[1] == "peers" {
				p.peer = m[2]
			} else {
				p.address = m[2]
			}
		}
		if p.address == "" || p.kind == kindEntry && p.peer == "" {
			return fmt.Errorf("%s does not listen", p.name)
		}
		return nil
	})
}

// watchOffset records each decrease of the table offset in /statusz.
func (w *world) watchOffset(p *process) {
	defer close(p.watched)
	if p.kind != kindEntry && p.kind != kindSidecar {
		return
	}
	last := uint64(0)
	for !p.ended() {
		if offset, err := w.tableOffset(p); err == nil {
			if offset < last {
				w.fault(fmt.Sprintf("table offset of %s fell from %d to %d", p.name, last, offset))
			}
			last = offset
		}
		select {
		case <-p.done:
		case <-time.After(5 * pollInterval):
		}
	}
}

func (w *world) tableOffset(p *process) (uint64, error) {
	_, body, err := w.get("http://" + p.address + "/statusz")
	if err != nil {
		return 0, err
	}
	var status struct {
		TableOffset uint64 `json:"table_offset"`
	}
	err = json.Unmarshal([]byte(body), &status)
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

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// end kills the process, also a frozen one, and waits for it.
func (p *process) end() {
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

func (p *process) tail() string {
	text := p.log()
	return text[max(0, len(text)-tailBytes):]
}

// fatalError ends a poll at once.
type fatalError struct{ error }

// poll repeats check until it returns nil, up to the time bound.
func poll(check func() error) error {
	end := time.Now().Add(patience)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if fatal, ok := err.(fatalError); ok { //nolint:errorlint // never wrapped
			return fatal.error
		}
		if time.Now().After(end) {
			return fmt.Errorf("after %s: %w", patience, err)
		}
		time.Sleep(pollInterval)
	}
}
