package kit

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	frontendPort = 8227
	readyPort    = 8220
	peerPort     = 7340
	metricsPort  = 9464
	readyTimeout = 20 * time.Second
)

// Gateway is a gateway under test.
type Gateway struct {
	*Process
	// Address accepts the connections of callers.
	Address string
	ready   string
	start   func() (*Process, error)
}

// StartGateway starts a gateway with the command of the deploy file and settings like those
// of a small deployment, and waits until it is ready. storeAddress is usually that of the
// store, or of a proxy before it.
func (c *Case) StartGateway(name, storeAddress string) (*Gateway, error) {
	ip, err := freeLoopback()
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.Dir, name+".conf")
	if err := os.WriteFile(path, []byte(gatewaySettings(name, ip, storeAddress)), 0o600); err != nil {
		return nil, err
	}
	g := &Gateway{
		Address: fmt.Sprintf("%s:%d", ip, frontendPort),
		ready:   fmt.Sprintf("http://%s:%d/api/readyz", ip, readyPort),
	}
	g.start = func() (*Process, error) {
		return c.Start(name, []string{"FILBERTMUX_BOOT=" + path}, "target/filbertmux", "gateway", "--metrics-port=9464")
	}
	if g.Process, err = g.start(); err != nil {
		return nil, err
	}
	return g, c.awaitReady(g)
}

// Restart starts a gateway again that has ended, as the platform does.
func (c *Case) Restart(g *Gateway) error {
	<-g.Done()
	var err error
	g.Process, err = g.start()
	return err
}

func (c *Case) awaitReady(g *Gateway) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.Ready() {
			c.Logf("%s is ready at %s", g.Name, g.Address)
			return nil
		}
	}
	return errors.New(g.Name + " did not become ready")
}

// Ready asks the gateway whether it is ready, as the platform does.
func (g *Gateway) Ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(g.ready)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// freeLoopback returns a loopback address on which the ports of a gateway are free.
func freeLoopback() (string, error) {
	for n := range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%64, 1+os.Getpid()/64%250, 2+n)
		if portsFree(ip) {
			return ip, nil
		}
	}
	return "", errors.New("no loopback address with free ports")
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

func gatewaySettings(name, ip, storeAddress string) string {
	lines := []string{
		"nodeName=" + name,
		"role=gateway",
		"machineClass=edge",
		"serves=edge",
		"ip=" + ip,
		"zone=zone-a",
		"region=region-1",
		"zones.zone-a=region-1",
		fmt.Sprintf("listen.frontend=%s:%d", ip, frontendPort),
		fmt.Sprintf("listen.ready=%s:%d", ip, readyPort),
		fmt.Sprintf("portRange=%d,%d", peerPort, peerPort+15),
		"bootstrap=true",
		"limits.cpuQuota=0.208",
		"limits.cores=1",
		"limits.memoryMb=206",
		"limits.maxFds=2870",
		"limits.linkMbps=700.0",
		"heartbeatMs=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,experts",
		"bounds.seedLagS=3",
		"bounds.reuseAfterS=2",
		"bounds.contactMs=3000",
		"bounds.ackMs=4000",
		"bounds.catchUpS=4",
		"bounds.drainMs=2000",
		"bounds.graceS=8",
		"bounds.lossSlackMs=200",
		"bounds.configApplyMs=2000",
		"bounds.revertSlackMs=250",
		"bounds.maxSkewMs=5000",
		"bounds.strictRevoke=true",
		"bounds.revokeMs=5000",
		"bounds.retryRatio=0.2",
		"bounds.retryWindowS=10",
		"bounds.retryExtra=184",
		"bounds.recoveryS=12",
		"bounds.iterationMs=120",
		"bounds.retryAfterS=0",
		"bounds.stall_ms=1500",
		"bounds.fencingEnforced=true",
		"platform.address=" + storeAddress,
		"platform.form=log",
		"platform.writesPerS=400",
		"platform.readsPerS=2000",
		"platform.keep_s=300",
		"platform.recordBytes=262144",
		"platform.requestBytes=2097152",
	}
	return strings.Join(lines, "\n") + "\n"
}
