package cli_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/daemons/cli"
)

// daemonArgsEnv makes the test binary run a command of the program instead of the tests.
const daemonArgsEnv = "FILBERTMUX_TEST_DAEMON_ARGS"

func TestMain(m *testing.M) {
	if args := os.Getenv(daemonArgsEnv); args != "" {
		os.Exit(cli.Main(context.Background(), strings.Fields(args), cli.StandardStreams()))
	}
	os.Exit(m.Run())
}

// Guards against a daemon that SIGHUP ends, alone or in a series, and against one that
// no longer stops after it.
func TestHangupsDoNotEndDaemons(t *testing.T) {
	common := " --advertise=127.0.0.1:1 --region=r --failure-domain=d --instance=i --platform-url=http://127.0.0.1:1"
	for role, args := range map[string]string{
		"entry":     fmt.Sprintf("entry --listen=127.0.0.1:%d", freePort(t)) + common,
		"sidecar":   fmt.Sprintf("sidecar --service=s --backend-url=http://127.0.0.1:1 --listen=127.0.0.1:%d", freePort(t)) + common,
		"gateway":   "gateway",
		"rankagent": "rankagent",
		"standin":   "standin platform --listen=127.0.0.1:0",
	} {
		t.Run(role, func(t *testing.T) {
			d := startDaemon(t, args)
			d.waitFor("started", "listening")
			for range 5 {
				d.signal(syscall.SIGHUP)
				d.waitFor("SIGHUP received", "settings reloaded")
			}
			d.signal(syscall.SIGHUP)
			d.signal(syscall.SIGTERM)
			for range 20 {
				d.signal(syscall.SIGHUP)
			}
			require.NoError(t, d.cmd.Wait())
		})
	}
}

// runningDaemon is a daemon in a process of its own.
type runningDaemon struct {
	t     *testing.T
	cmd   *exec.Cmd
	lines chan string
}

func startDaemon(t *testing.T, args string) *runningDaemon {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), daemonArgsEnv+"="+args, "FILBERTMUX_BOOT="+writePlatformSettings(t))
	output, writer, err := os.Pipe()
	require.NoError(t, err)
	cmd.Stdout, cmd.Stderr = writer, writer
	require.NoError(t, cmd.Start())
	require.NoError(t, writer.Close())
	d := &runningDaemon{t: t, cmd: cmd, lines: make(chan string, 1000)}
	go d.readLines(output)
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails if the process has ended
		_ = output.Close()
	})
	return d
}

func (d *runningDaemon) readLines(output io.Reader) {
	defer close(d.lines)
	for s := bufio.NewScanner(output); s.Scan(); {
		d.lines <- s.Text()
	}
}

// waitFor waits for a log line that contains one of the given texts.
func (d *runningDaemon) waitFor(texts ...string) {
	d.t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		select {
		case line, ok := <-d.lines:
			require.True(d.t, ok, "the daemon ended before a line with one of %q", texts)
			for _, text := range texts {
				if strings.Contains(line, text) {
					return
				}
			}
		case <-timeout:
			require.Fail(d.t, "no log line", "%q", texts)
		}
	}
}

func (d *runningDaemon) signal(s os.Signal) {
	// An error means that the process has ended; Wait reports how.
	_ = d.cmd.Process.Signal(s)
}

// writePlatformSettings writes a settings file for a gateway and a rank agent whose
// store and backend server are unreachable.
func writePlatformSettings(t *testing.T) string {
	t.Helper()
	port := freePort(t)
	settings := fmt.Sprintf(`nodeName=n
ip=127.0.0.1
zone=d
listen.frontend=127.0.0.1:0
listen.ready=127.0.0.1:0
portRange=%d,%d
platform.address=127.0.0.1:1
app=127.0.0.1:1
service=s
bounds.graceS=1
`, port, port)
	path := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	return path
}

func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}
