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

// longPollAllowance is added to the platform timeout, because a read of the log
// waits at the platform for a record.
const longPollAllowance = 10 * time.Second

// Incarnation identifies one start of a process in messages, claims and status.
type Incarnation string

// NewIncarnation returns an incarnation that is unique for ever.
func NewIncarnation() Incarnation { return Incarnation(uuid.Must(uuid.NewV7()).String()) }

// Common provides what every daemon needs: its incarnation, drain gate,
// platform client, table and metrics.
func CommonModule(s settings.Common, role infra.Role, log zerolog.Logger) fx.Option {
	return fx.Options(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(log),
		fx.Provide(
			NewIncarnation,
			drain.NewGate,
			func() (*infra.HTTPClient, error) { return newPlatform(s) },
			func(c *infra.HTTPClient) infra.Log { return c },
			func(c *infra.HTTPClient) infra.InstanceList { return c },
			func(lc fx.Lifecycle) *telemetry.Metrics { return newMetrics(lc, s, role, log) },
			func(lc fx.Lifecycle, l infra.InstanceList) *InstanceWatcher { return startInstances(lc, l, s, log) },
			func(lc fx.Lifecycle, l infra.Log, i *InstanceWatcher) (*tablesync.Syncer, error) {
				return startTable(lc, l, i, s, log)
			},
		),
	)
}

func newPlatform(s settings.Common) (*infra.HTTPClient, error) {
	return infra.NewHTTPClient(s.PlatformURL, &http.Client{Timeout: s.PlatformTimeout + longPollAllowance})
}

func newMetrics(lc fx.Lifecycle, s settings.Common, role infra.Role, log zerolog.Logger) *telemetry.Metrics {
	m := telemetry.NewMetrics(string(role), s.Instance, log)
	lc.Append(fx.StopHook(m.Close))
	return m
}

func startInstances(lc fx.Lifecycle, list infra.InstanceList, s settings.Common, log zerolog.Logger) *InstanceWatcher {
	i := NewInstanceWatcher(list, s.InstanceInterval, s.PlatformTimeout, log)
	StartTask(lc, log, BackgroundTask{Name: "follow the instance list", Run: i.Run})
	return i
}

func startTable(lc fx.Lifecycle, l infra.Log, i *InstanceWatcher, s settings.Common, log zerolog.Logger) (*tablesync.Syncer, error) {
	seed := rand.Uint64()
	log.Info().Uint64("seed", seed).Msg("random source of the table reader")
	p := newPeers(i, s.Instance, s.PeerToken.Reveal())
	t, err := tablesync.New(l, p.list, tablesync.SystemClock{}, rand.New(rand.NewPCG(seed, 0)), tablesync.Options{
		Retention: s.RetentionWindow, Logger: log,
	})
	if err != nil {
		return nil, err
	}
	StartTask(lc, log, BackgroundTask{Name: "follow the table", Run: func(ctx context.Context) error {
		t.Run(ctx)
		return nil
	}})
	return t, nil
}

// Listen returns the given listener or opens one on address.
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
