package demo

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/daemons/entry"
	"github.com/filbertmux/filbertmux/daemons/sidecar"
	"github.com/filbertmux/filbertmux/measure/standin"
)

const (
	loopback      = "127.0.0.1:0"
	region        = "ro-centru"
	modelService  = "text-desk"
	plainService  = "order-book"
	tokenInterval = 2 * time.Millisecond
	defaultTokens = 16
)

var failureDomains = []string{"sibiu-a", "sibiu-b"}

// deployment is one firm's system in one process: the stand-ins, two sidecars
// for each service and two entries, all on loopback.
type deployment struct {
	platform *standin.Platform
	plain    []*standin.PlainService
	entries  []string // URLs
	apps     []*fx.App
	servers  []*http.Server
	logs     io.Writer

	platformURL string
	instances   []infra.Instance
}

// deploy starts everything. The caller calls stop also after an error.
func deploy(ctx context.Context, logs io.Writer) (*deployment, error) {
	// Several loggers share the writer.
	d := &deployment{logs: zerolog.SyncWriter(logs), platform: standin.NewPlatform(standin.PlatformConfig{})}
	platformURL, err := d.serve(d.platform)
	if err != nil {
		return d, err
	}
	d.platformURL = platformURL
	for n, domain := range failureDomains {
		engine := standin.NewEngine(standin.EngineConfig{
			Model: modelService, TokenInterval: tokenInterval, DefaultTokens: defaultTokens,
		})
		if err := d.startSidecar(ctx, modelService, n, domain, engine); err != nil {
			return d, err
		}
		plain := standin.NewPlainService(standin.PlainServiceConfig{Name: plainService})
		d.plain = append(d.plain, plain)
		if err := d.startSidecar(ctx, plainService, n, domain, plain); err != nil {
			return d, err
		}
	}
	d.platform.SetInstances(d.instances)
	for n, domain := range failureDomains {
		if err := d.startEntry(ctx, n, domain); err != nil {
			return d, err
		}
	}
	return d, nil
}

// runs returns how often the call with the key ran on all backend servers.
func (d *deployment) runs(key string) int {
	total := 0
	for _, p := range d.plain {
		total += p.Runs(key)
	}
	return total
}

func (d *deployment) serve(h http.Handler) (url string, err error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

func (d *deployment) startSidecar(ctx context.Context, service string, n int, domain string, backend http.Handler) error {
	backendURL, err := d.serve(backend)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	id := service + "-" + strconv.Itoa(n+1)
	s := settings.Sidecar{
		Common:            d.common(id, domain, l.Addr().String()),
		BackendURL:        backendURL,
		Service:           service,
		MaxInFlight:       64,
		ReplayBytes:       256 << 10,
		ChunkBytes:        16 << 10,
		HeartbeatInterval: time.Second,
		ResumeWindow:      10 * time.Second,
		BackendTimeout:    time.Minute,
	}
	d.instances = append(d.instances, infra.Instance{
		ID: id, Role: infra.RoleBackend, Service: service, Address: s.Advertise,
		FailureDomain: domain, Region: region, State: infra.StateLive,
	})
	log := telemetry.NewLogger(d.logs, zerolog.InfoLevel, "sidecar", id)
	return d.start(ctx, sidecar.Module(sidecar.Options{Settings: s, Listener: l, Log: log}))
}

func (d *deployment) startEntry(ctx context.Context, n int, domain string) error {
	callers, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	peers, err := net.Listen("tcp", loopback)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	id := "entry-" + strconv.Itoa(n+1)
	s := settings.Entry{
		Common:            d.common(id, domain, peers.Addr().String()),
		MaxPromptBytes:    1 << 20,
		MaxStreams:        256,
		QueueSize:         256,
		ServerConcurrency: 64,
		RequestTimeout:    time.Minute,
		HeaderTimeout:     10 * time.Second,
		BodyTimeout:       10 * time.Second,
		SilenceTimeout:    5 * time.Second,
		ProgressTimeout:   30 * time.Second,
	}
	d.instances = append(d.instances, infra.Instance{
		ID: id, Role: infra.RoleEntry, Address: s.Advertise,
		FailureDomain: domain, Region: region, State: infra.StateLive,
	})
	d.platform.SetInstances(d.instances)
	d.entries = append(d.entries, "http://"+callers.Addr().String())
	log := telemetry.NewLogger(d.logs, zerolog.InfoLevel, "entry", id)
	return d.start(ctx, entry.Module(entry.Options{Settings: s, Listener: callers, PeerListener: peers, Log: log}))
}

func (d *deployment) common(id, domain, advertise string) settings.Common {
	return settings.Common{
		Advertise:        advertise,
		Region:           region,
		FailureDomain:    domain,
		Instance:         id,
		PlatformURL:      d.platformURL,
		PeerToken:        "demo",
		MaxBodyBytes:     1 << 20,
		MaxHeaderBytes:   64 << 10,
		PlatformTimeout:  5 * time.Second,
		InstanceInterval: 100 * time.Millisecond,
		RetentionWindow:  24 * time.Hour,
		ClockSkew:        time.Minute,
	}
}

func (d *deployment) start(ctx context.Context, module fx.Option) error {
	app := fx.New(module)
	if err := app.Start(ctx); err != nil {
		return errors.Wrap(err, "start")
	}
	d.apps = append(d.apps, app)
	return nil
}

// stop drains the daemons, entries first, and closes the stand-ins.
func (d *deployment) stop(ctx context.Context) error {
	var failed error
	for n := len(d.apps) - 1; n >= 0; n-- {
		if err := d.apps[n].Stop(ctx); err != nil {
			failed = errors.Wrap(err, "stop")
		}
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	return failed
}
