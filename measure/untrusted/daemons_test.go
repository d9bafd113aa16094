package untrusted

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/examples"
	"github.com/filbertmux/filbertmux/platform/platformtest"
)

const (
	// memoryLimitMB and maxSockets are the limits of the daemon under test.
	memoryLimitMB = 96
	maxSockets    = 200
	// maxBodyBytes is the largest body that a caller may send.
	maxBodyBytes = 4 << 20

	host = "models.example"
)

// daemonUnderTest is a process that serves callers.
type daemonUnderTest struct {
	*process
	// address accepts the connections of callers.
	address string
	// header returns the headers of a valid request with a body.
	header func() http.Header
	method string
	path   string
}

// head returns the start line and the headers of a request whose body is framed by a
// header line.
func (d *daemonUnderTest) head(framing string) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", d.method, d.path, host)
	for name, values := range d.header() {
		head += name + ": " + values[0] + "\r\n"
	}
	return head + framing + "\r\n\r\n"
}

// startGateway starts a gateway with one backend server, on the fakes of the platform.
func startGateway(t *testing.T) *daemonUnderTest {
	t.Helper()
	server := platformtest.NewServer("s1")
	t.Cleanup(server.Close)
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	deployment := &platformtest.Deployment{Store: store, Host: host, MaxBodyBytes: maxBodyBytes}
	deployment.PublishConfig([]string{platformtest.Key}, nil)
	deployment.Register(server.ID, platformtest.PlainService, server.Address())
	s := platformtest.GatewaySettings{
		Name: "g1", IP: platformtest.LoopbackHost(2), StoreAddress: store.Address(),
		MemoryMB: memoryLimitMB, MaxDescriptors: maxSockets + platformtest.ReservedDescriptors,
	}
	path := filepath.Join(t.TempDir(), "gateway.conf")
	require.NoError(t, s.WriteFile(path))
	p := startProcess(t, "gateway", []string{platformtest.SettingsVariable + "=" + path}, "gateway")
	awaitReady(t, p, fmt.Sprintf("http://%s:%d%s", s.IP, platformtest.ReadyPort, platformtest.ReadyPath))
	id := 0
	return &daemonUnderTest{
		process: p, address: fmt.Sprintf("%s:%d", s.IP, platformtest.FrontendPort),
		method: http.MethodPost, path: platformtest.BookingPath + "x",
		header: func() http.Header {
			id++
			h := make(http.Header)
			platformtest.WithAttempt("a" + strconv.Itoa(id))(h)
			platformtest.WithKey(platformtest.Key)(h)
			platformtest.WithDeadline("20000")(h)
			return h
		},
	}
}

// startEntry starts an entry and a sidecar with a plain service, on the stand-ins.
func startEntry(t *testing.T) *daemonUnderTest {
	t.Helper()
	standin := startProcess(t, "platform", nil, "standin", "platform", "--listen=127.0.0.1:0").address(t)
	plain := startProcess(t, "plain", nil, "standin", "plain", "--listen=127.0.0.1:0", "--service-name=order-book").address(t)
	tables, err := filepath.Abs("../../examples/demo")
	require.NoError(t, err)
	for _, office := range []string{"sibiu", "kandy"} {
		publish := startProcess(t, "publish", nil, "table", "publish", tables, "--office="+office, "--platform=http://"+standin)
		<-publish.done
		require.Zero(t, publish.cmd.ProcessState.ExitCode(), publish.log)
	}
	common := func(command, instance, own string) []string {
		return []string{
			command, "--instance=" + instance, "--region=ro-centru", "--failure-domain=sibiu-a", "--instance-interval=50ms",
			"--peer-token=test", "--platform-url=http://" + standin, "--advertise=" + own,
		}
	}
	sidecar, peer, callers := freeAddress(t), freeAddress(t), freeAddress(t)
	startProcess(t, "sidecar", nil, append(common("sidecar", "book1", sidecar),
		"--listen="+sidecar, "--service=order-book", "--backend-url=http://"+plain,
		// The stand-in repeats the body in its response, which is larger than the body.
		"--max-body-bytes="+strconv.Itoa(2*maxBodyBytes))...)
	putInstances(t, standin, sidecar)
	environment := []string{
		"FILBERTMUX_MEMORY_LIMIT=" + strconv.Itoa(memoryLimitMB<<20),
		// The other sockets are those of listeners, of the platform and of sidecars.
		"FILBERTMUX_MAX_CONNECTIONS=" + strconv.Itoa(maxSockets/2),
	}
	p := startProcess(t, "entry", environment, append(common("entry", "entry1", peer),
		"--listen="+callers, "--peer-listen="+peer, "--max-body-bytes="+strconv.Itoa(maxBodyBytes))...)
	awaitReady(t, p, "http://"+callers+"/readyz")
	return &daemonUnderTest{
		process: p, address: callers, method: http.MethodPost, path: "/order-book/orders",
		header: func() http.Header {
			return http.Header{
				"Authorization":   {"Bearer " + examples.DevKey("mureseni-desk")},
				"Idempotency-Key": {uuid.Must(uuid.NewV7()).String()},
			}
		},
	}
}

// putInstances publishes an instance list with one sidecar.
func putInstances(t *testing.T, standin, sidecar string) {
	t.Helper()
	list, err := json.Marshal([]infra.Instance{{
		ID: "book1", Role: infra.RoleBackend, Service: "order-book", Address: sidecar,
		FailureDomain: "sibiu-a", Region: "ro-centru", State: infra.StateLive,
	}})
	require.NoError(t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+standin+infra.InstancePath, bytes.NewReader(list))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
}

func awaitReady(t *testing.T, p *process, url string) {
	t.Helper()
	eventually(t, func() bool {
		require.True(t, p.alive(), "%s ended: %s", p.name, p.log)
		resp, err := http.Get(url)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode == http.StatusOK
	})
}

// dial opens a connection to the daemon. It is closed at the end of the test.
func (d *daemonUnderTest) dial(t *testing.T) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp4", d.address, startTimeout)
	if err == nil {
		t.Cleanup(func() { _ = conn.Close() })
	}
	return conn, err
}
