// Package kit2 holds what the cases of the second review share: the record of a run, the
// processes under test, and stand-ins for the path to the store, the replicas and the
// clients. Everything uses loopback addresses and the real clock.
package kit2

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
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

// maxRun bounds a run.
const maxRun = 112 * time.Second

// Case is one run of a case. Its methods are safe for concurrent use.
type Case struct {
	// Trouble tells whether the disruption takes place.
	Trouble bool
	Store   *platformtest.Store

	start     time.Time
	dir       string
	mu        sync.Mutex
	record    *os.File
	processes []*exec.Cmd
	replicas  []*Replica
}

// Run runs a case in a folder and exits with the code that body returns.
func Run(folder string, body func(c *Case) (int, error)) { os.Exit(run(folder, body)) }

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
	defer func() { _ = os.RemoveAll(dir) }()
	c := &Case{
		Trouble: os.Getenv("TROUBLE") != "0", Store: platformtest.NewStore(), start: time.Now(), dir: dir, record: record,
	}
	defer c.killAll()
	c.Logf("start, trouble=%v", c.Trouble)
	timeout := time.AfterFunc(maxRun, func() {
		c.Logf("the run took too long")
		c.killAll()
		_ = os.RemoveAll(dir)
		os.Exit(NotRun)
	})
	defer timeout.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		c.Logf("interrupted")
		c.killAll()
		_ = os.RemoveAll(dir)
		os.Exit(NotRun)
	}()
	code, err := body(c)
	if err != nil {
		c.Logf("the case could not run: %v", err)
		return NotRun
	}
	c.Logf("exit code %d", code)
	return code
}

// Logf writes a line with the time since the start to the record and to standard output.
func (c *Case) Logf(format string, args ...any) { c.LogAt(time.Now(), format, args...) }

// LogAt is Logf for something that happened at a time.
func (c *Case) LogAt(at time.Time, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", at.Sub(c.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = c.record.WriteString(line)
	fmt.Print(line)
}

// Record writes a line about something that happened at a time to the record only.
func (c *Case) Record(at time.Time, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.record, "%8.3f %s\n", at.Sub(c.start).Seconds(), fmt.Sprintf(format, args...))
}

func (c *Case) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	c.processes = nil
}

// Start starts a program with a settings file. Its output goes to a file of the run.
func (c *Case) Start(name, settings string, args ...string) (*exec.Cmd, error) {
	path := filepath.Join(c.dir, name+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(c.LogPath(name))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("target/filbertmux", args...)
	cmd.Env = append(os.Environ(), "FILBERTMUX_BOOT="+path)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	_ = out.Close()
	c.mu.Lock()
	c.processes = append(c.processes, cmd)
	c.mu.Unlock()
	c.Logf("started %s, process %d", name, cmd.Process.Pid)
	return cmd, nil
}

// LogPath returns the file with the output of a process.
func (c *Case) LogPath(name string) string { return filepath.Join(c.dir, name+".log") }

// CopyLog adds the lines of the output of a process that contain one of the texts to the
// record.
func (c *Case) CopyLog(name string, texts ...string) {
	data, err := os.ReadFile(c.LogPath(name))
	if err != nil {
		return
	}
	for line := range strings.Lines(string(data)) {
		for _, t := range texts {
			if strings.Contains(line, t) {
				c.Logf("%s wrote: %s", name, strings.TrimSpace(line))
				break
			}
		}
	}
}

// Gateway is a gateway under test.
type Gateway struct {
	Name string
	// Address accepts the connections of clients.
	Address string
	Process *os.Process
	ready   string
}

const (
	frontendPort = 8227
	readyPort    = 8220
	peerPort     = 7340
	metricsPort  = 9464
)

// StartGateway starts a gateway with the command of the deploy file and settings like those
// of a small deployment, and waits until it is ready. store is the address at which it
// reaches the store.
func (c *Case) StartGateway(name, store string) (*Gateway, error) {
	ip, err := freeAddress()
	if err != nil {
		return nil, err
	}
	cmd, err := c.Start(name, gatewaySettings(name, ip, store), "gateway", "--metrics-port=9464", "--share-store-reads")
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		Name: name, Process: cmd.Process,
		Address: fmt.Sprintf("%s:%d", ip, frontendPort), ready: fmt.Sprintf("http://%s:%d/api/readyz", ip, readyPort),
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.Ready() {
			c.Logf("%s is ready at %s", name, g.Address)
			return g, nil
		}
	}
	return nil, fmt.Errorf("%s did not become ready", name)
}

// Ready asks the gateway whether it is ready, as the platform does.
func (g *Gateway) Ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(g.ready)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var (
	addressMu   sync.Mutex
	addressNext = 2
)

// freeAddress returns a loopback address on which the ports of a gateway are free.
func freeAddress() (string, error) {
	addressMu.Lock()
	defer addressMu.Unlock()
	for ; addressNext < 250; addressNext++ {
		ip := fmt.Sprintf("127.%d.%d.%d", 130+os.Getpid()%60, 1+os.Getpid()/60%250, addressNext)
		if portsFree(ip) {
			addressNext++
			return ip, nil
		}
	}
	return "", fmt.Errorf("no loopback address with free ports")
}

func portsFree(ip string) bool {
	for _, port := range []int{frontendPort, readyPort, peerPort, metricsPort} {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func gatewaySettings(name, ip, store string) string {
	return fmt.Sprintf(`nodeName=%s
role=gateway
machineClass=edge
serves=edge
ip=%s
zone=zone-a
region=region-1
zones.zone-a=region-1
listen.frontend=%s:%d
listen.ready=%s:%d
portRange=%d,%d
bootstrap=true
limits.cpuQuota=0.208
limits.cores=1
limits.memoryMb=206
limits.maxFds=2870
limits.linkMbps=700.0
discovery=platform
entry=vip
platform.address=%s
`, name, ip, ip, frontendPort, ip, readyPort, peerPort, peerPort+15, store) + commonSettings
}

// commonSettings are those of the small deployments on the users' pages.
const commonSettings = `heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,experts
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.revertSlackMs=250
bounds.maxSkewMs=5000
bounds.strictRevoke=true
bounds.revokeMs=5000
bounds.retryRatio=0.2
bounds.retryWindowS=10
bounds.retryExtra=184
bounds.recoveryS=12
bounds.iterationMs=120
bounds.retryAfterS=0
bounds.stall_ms=1500
bounds.fencingEnforced=true
platform.form=log
platform.writesPerS=400
platform.readsPerS=2000
platform.parts=8
platform.appendMs=4.0
platform.recordBytes=262144
platform.requestBytes=2097152
platform.keep_s=300
`
