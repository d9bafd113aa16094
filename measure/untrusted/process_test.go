package untrusted

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// startTimeout bounds each wait for a process. It is far above the time that a
	// start takes, so that a busy host causes no failures.
	startTimeout = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// program is the path of the filbertmux program. It is built without the race detector,
// which would multiply the memory of the processes.
var program string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "filbertmux-untrusted")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "filbertmux")
	build := exec.Command("go", "build", "-o", program, "github.com/filbertmux/filbertmux/cmd/filbertmux")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%s: %s", err, out))
	}
	return m.Run()
}

// process is a running filbertmux process.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *logBuffer
	done chan struct{}
}

// logBuffer collects the output of a process.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// startProcess starts a process that is killed at the end of the test.
func startProcess(t *testing.T, name string, environment []string, args ...string) *process {
	t.Helper()
	p := &process{name: name, log: &logBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(program, args...)
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + t.TempDir()}, environment...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			text := p.log.String()
			t.Logf("last lines of %s:\n%s", name, text[max(0, len(text)-4000):])
		}
	})
	return p
}

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

var listeningLog = regexp.MustCompile(`"address":"([^"]+)"[^\n]*"listening"`)

// address waits until the process listens and returns the address.
func (p *process) address(t *testing.T) string {
	t.Helper()
	var address string
	eventually(t, func() bool {
		require.True(t, p.alive(), "%s ended: %s", p.name, p.log)
		m := listeningLog.FindStringSubmatch(p.log.String())
		if m != nil {
			address = m[1]
		}
		return m != nil
	})
	return address
}

// peakMemoryMB returns the highest resident memory of the process, in MiB.
func (p *process) peakMemoryMB(t *testing.T) int {
	t.Helper()
	mb, err := PeakMemoryMB(p.cmd.Process.Pid)
	require.NoError(t, err)
	return mb
}

// sockets returns the number of open sockets of the process.
func (p *process) sockets(t *testing.T) int {
	t.Helper()
	count, err := Sockets(p.cmd.Process.Pid)
	require.NoError(t, err)
	return count
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(startTimeout); !condition(); time.Sleep(pollInterval) {
		require.True(t, time.Now().Before(end), "the condition doesn't hold after %s", startTimeout)
	}
}
