// Package kit holds what the review cases share: the record of a run, the processes under
// test, and stand-ins for the platform, the backend servers and the callers. All of it uses
// loopback addresses and the real clock.
package kit

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/filbertmux/filbertmux/platform/platformtest"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// maxRun bounds a run. The processes under test are killed at its end.
const maxRun = 110 * time.Second

// Case is one run of a case. Its methods are safe for concurrent use.
type Case struct {
	// Trouble tells whether the disruption takes place.
	Trouble bool
	// Dir is a temporary folder that is removed at the end.
	Dir   string
	Store *platformtest.Store

	start     time.Time
	mu        sync.Mutex
	record    *os.File
	processes []*Process
	// disturbed is set once something failed that isn't part of the disruption.
	disturbed bool
}

// Run runs a case and exits with the code that it returns. folder is the folder of the
// record, relative to the root of the repository.
func Run(folder string, body func(c *Case) (int, error)) {
	os.Exit(run(folder, body))
}

func run(folder string, body func(c *Case) (int, error)) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	c := &Case{
		Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, Store: platformtest.NewStore(),
		start: time.Now(), record: record,
	}
	defer func() { _ = os.RemoveAll(dir) }()
	defer c.killAll()
	c.Logf("start, trouble=%v", c.Trouble)
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := body(c)
		done <- result{code, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		if r.err != nil {
			c.Logf("the case could not run: %v", r.err)
			return NotRun
		}
		if r.code == Held && c.isDisturbed() {
			c.Logf("the run says nothing: something failed that isn't part of the disruption")
			return NotRun
		}
		c.Logf("exit code %d", r.code)
		return r.code
	case <-signals:
		c.Logf("interrupted")
	case <-time.After(maxRun):
		c.Logf("the run took too long")
	}
	return NotRun
}

// Logf writes a line with the time since the start to the record and to standard output.
func (c *Case) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(c.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = c.record.WriteString(line)
	fmt.Print(line)
}

// Disturbed records that something failed that isn't part of the disruption. A run in which
// the rule held shows nothing then.
func (c *Case) Disturbed(what string, err error) {
	c.Logf("%s: %v", what, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbed = true
}

func (c *Case) isDisturbed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.disturbed
}

// Process is a process that the case started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
}

// Start starts a program with additional environment variables. Its output goes to a file
// in the temporary folder.
func (c *Case) Start(name string, env []string, program string, args ...string) (*Process, error) {
	out, err := os.Create(filepath.Join(c.Dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	c.Logf("started %s, process %d", name, cmd.Process.Pid)
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

func (c *Case) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
		<-p.done
	}
}

// Pid returns the id of the process.
func (p *Process) Pid() int { return p.cmd.Process.Pid }
