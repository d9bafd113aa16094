package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/config/tablesync"
	"github.com/filbertmux/filbertmux/serve/drain"
)

// longPollAllowance is added to the platform timeout in the timeout of the HTTP
// client, because a log read is a long poll that waits at the platform for the next
// record.
const longPollAllowance = 10 * time.Second

// Incarnation identifies one run of a process in messages, claims and status.
type Incarnation string

// NewIncarnation returns a globally unique incarnation (a version 7 UUID).
func NewIncarnation() Incarnation { return Incarnation(uuid.Must(uuid.NewV7()).String()) }

// CommonModule provides the dependencies of every daemon: incarnation, drain
// gate, platform client, table and metrics.
func CommonModule(s settings.Common, role infra.Role, log zerolog.Logger) fx.Option {
	return fx.Options(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(log),
		fx.Provide(
			NewIncarnation,
			drain.NewGate,
			func() (*infra.HTTPClient, error) { return newPlatformClient(s) },
			func(c *infra.HTTPClient) infra.Log { return c },
			func(c *infra.HTTPClient) infra.InstanceList { return c },
			func(lc fx.Lifecycle) *telemetry.Metrics { return newMetrics(lc, s, role, log) },
			func(lc fx.Lifecycle, l infra.InstanceList) *InstanceWatcher {
				return startInstanceWatcher(lc, l, s, log)
			},
			func(lc fx.Lifecycle, l infra.Log, i *InstanceWatcher) (*tablesync.Syncer, error) {
				return startTableSyncer(lc, l, i, s, log)
			},
		),
	)
}

func newPlatformClient(s settings.Common) (*infra.HTTPClient, error) {
	return infra.NewHTTPClient(s.PlatformURL, &http.Client{Timeout: s.PlatformTimeout + longPollAllowance})
}

func newMetrics(lc fx.Lifecycle, s settings.Common, role infra.Role, log zerolog.Logger) *telemetry.Metrics {
	m := telemetry.NewMetrics(string(role), s.Instance, log)
	lc.Append(fx.StopHook(m.Close))
	return m
}

func startInstanceWatcher(lc fx.Lifecycle, list infra.InstanceList, s settings.Common, log zerolog.Logger) *InstanceWatcher {
	watcher := NewInstanceWatcher(list, s.InstanceInterval, s.PlatformTimeout, log)
	StartTask(lc, log, BackgroundTask{Name: "watch the instance list", Run: watcher.Run})
	return watcher
}

func startTableSyncer(lc fx.Lifecycle, l infra.Log, watcher *InstanceWatcher, s settings.Common, log zerolog.Logger) (*tablesync.Syncer, error) {
	seed := rand.Uint64()
	log.Info().Uint64("seed", seed).Msg("random seed of the table syncer")
	peerList := newPeers(watcher, s.Instance, s.PeerToken.Reveal())
	syncer, err := tablesync.New(l, peerList.list, tablesync.SystemClock{}, rand.New(rand.NewPCG(seed, 0)), tablesync.Options{
		Retention: s.RetentionWindow, Logger: log,
	})
	if err != nil {
		return nil, err
	}
	StartTask(lc, log, BackgroundTask{Name: "sync the table", Run: func(ctx context.Context) error {
		syncer.Run(ctx)
		return nil
	}})
	return syncer, nil
}

// Listen returns the given listener, or opens a TCP listener on address if given
// is nil.
func Listen(given net.Listener, address string) (net.Listener, error) {
	if given != nil {
		return given, nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return l, nil
}
