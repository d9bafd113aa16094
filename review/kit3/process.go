package kit3

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Deployment is a small deployment whose processes run on loopback addresses.
type Deployment struct {
	// Root is the root of the repository, Dir a temporary folder.
	Root, Dir    string
	StoreAddress string
	// Ports that are the same on all machines.
	frontend, ready, peer int
}

// NewDeployment chooses free ports and a temporary folder.
func NewDeployment(root, storeAddress string) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Root: root, Dir: dir, StoreAddress: storeAddress}
	for _, port := range []*int{&d.frontend, &d.ready, &d.peer} {
		if *port, err = freePort(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// Remove removes the temporary folder.
func (d *Deployment) Remove() { _ = os.RemoveAll(d.Dir) }

func freePort() (int, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// Gateway is a gateway process.
type Gateway struct {
	Name, IP string
	d        *Deployment
	// app and service are set for the agent of a rank.
	app, service string
	cmd          *exec.Cmd
	log          *os.File
}

// NewGateway returns a gateway on a loopback address that isn't started.
func (d *Deployment) NewGateway(name, ip string) *Gateway { return &Gateway{Name: name, IP: ip, d: d} }

// Frontend returns the address for callers.
func (g *Gateway) Frontend() string { return fmt.Sprintf("%s:%d", g.IP, g.d.frontend) }

// LogPath returns the path of the output of the process.
func (g *Gateway) LogPath() string { return filepath.Join(g.d.Dir, g.Name+".log") }

// Start starts the process with the command of the deploy file.
func (g *Gateway) Start() error {
	settings := filepath.Join(g.d.Dir, g.Name+".conf")
	lines := []string{
		"nodeName=" + g.Name, "role=gateway", "machineClass=edge", "serves=edge", "ip=" + g.IP, "zone=z1", "region=r1",
		"zones.z1=r1", fmt.Sprintf("listen.frontend=%s:%d", g.IP, g.d.frontend), fmt.Sprintf("listen.ready=%s:%d", g.IP, g.d.ready),
		fmt.Sprintf("portRange=%d,%d", g.d.peer, g.d.peer+15), "limits.cpuQuota=0.208", "limits.cores=1", "limits.memoryMb=206",
		"limits.maxFds=2870", "limits.linkMbps=700.0", "heartbeatMs=1200",
		"bounds.contactMs=3000", "bounds.drainMs=2000", "bounds.graceS=8", "bounds.configApplyMs=2000", "bounds.strictRevoke=true",
		"bounds.revokeMs=5000", "bounds.retryRatio=0.2", "bounds.retryWindowS=10", "bounds.retryExtra=184", "bounds.stall_ms=1500",
		"bounds.fencingEnforced=true", "platform.address=" + g.d.StoreAddress, "platform.form=log",
		"platform.recordBytes=262144", "platform.requestBytes=2097152",
	}
	arguments := []string{"gateway", "--metrics-port=9464", "--share-store-reads"}
	if g.app != "" {
		lines = append(lines, "app="+g.app, "service="+g.service)
		lines = slices.DeleteFunc(lines, func(l string) bool { return strings.HasPrefix(l, "listen.") })
		arguments = []string{"rankagent"}
	}
	if err := os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(g.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.log = log
	g.cmd = exec.Command(filepath.Join(g.d.Root, "target", "filbertmux"), arguments...)
	g.cmd.Dir = g.d.Root
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FILBERTMUX_BOOT=" + settings}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := g.cmd.Start(); err != nil {
		g.cmd = nil
		return err
	}
	started.Store(g.cmd.Process.Pid, g.cmd.Process)
	return nil
}

// started holds the processes that run, by their id.
var started sync.Map

// EndOnSignal ends the processes that were started, and then this one with a code, if this one is
// told to end.
func EndOnSignal(code int) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		started.Range(func(_, p any) bool {
			_ = p.(*os.Process).Kill()
			return true
		})
		os.Exit(code)
	}()
}

// NewAgent returns the agent of a rank that isn't started. app is the address of its rank.
func (d *Deployment) NewAgent(name, ip, app, service string) *Gateway {
	return &Gateway{Name: name, IP: ip, d: d, app: app, service: service}
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) error { return g.cmd.Process.Signal(s) }

// Kill ends the process at once.
func (g *Gateway) Kill() {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	_ = g.cmd.Wait()
	started.Delete(g.cmd.Process.Pid)
	_ = g.log.Close()
	g.cmd = nil
}

// Ready reports whether the process says that it is ready.
func (g *Gateway) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readyz", g.IP, g.d.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the process is ready. It reports false after the limit.
func (g *Gateway) AwaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.Ready() {
			return true
		}
	}
	return false
}
