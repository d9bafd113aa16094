// Package entry is the daemon that callers reach: it authenticates and bounds
// requests, runs them on sidecars, and streams whole answers.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/balance/membership"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/daemons/entry/admission"
	"github.com/filbertmux/filbertmux/daemons/entry/quota"
	"github.com/filbertmux/filbertmux/daemons/entry/servers"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/drain"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// tableSource is the part of tablesync.Syncer that the entry needs.
type tableSource interface {
	// View returns the table in force. It is empty until Loaded.
	View() *table.View
	Loaded() bool
	// Learn notes the table offset of another process.
	Learn(offset infra.Offset)
}

// Server serves the callers of one entry. It is safe for concurrent use.
type Server struct {
	settings    settings.Entry
	incarnation daemon.Incarnation
	table       tableSource
	servers     *servers.Servers
	prober      *servers.Prober
	admission   *admission.Controller
	quota       *quota.Quota
	reporter    *reporter
	instances   func() *[]infra.Instance
	dispatcher  *dispatcher
	parser      parser
	gate        *drain.Gate
	log         zerolog.Logger
	metrics     *telemetry.Metrics

	streams atomic.Int64
	ctx     context.Context // ends when the drain timeout has passed
	abort   context.CancelCauseFunc
}

// NewServer returns a server that admits requests.
func NewServer(s settings.Entry, incarnation daemon.Incarnation, source tableSource, instances *daemon.InstanceWatcher,
	gate *drain.Gate, log zerolog.Logger, metrics *telemetry.Metrics,
) *Server {
	ctx, abort := context.WithCancelCause(context.Background())
	seed := newSeed(s.Seed, log)
	c := newClients(s.PeerToken.Reveal())
	found := servers.New(servers.Config{
		Policy: s.RoutingPolicy, FailureDomain: s.FailureDomain, Membership: membership.DefaultConfig(),
		Rand: rand.New(rand.NewPCG(seed, 0)), Now: time.Now, InstanceList: instances.Latest,
	})
	prober := servers.NewProber(found, probeFunc(c, source, string(incarnation)))
	server := &Server{
		settings: s, incarnation: incarnation, table: source, servers: found, prober: prober, instances: instances.Latest,
		dispatcher: &dispatcher{
			servers: found,
			prober:  prober,
			table:   source,
			clients: c,
			retries: newRetries(rand.New(rand.NewPCG(seed, 1)), time.Now),
			receiver: stream.ReceiverConfig{
				MaxPending:      maxPendingChunks,
				SilenceTimeout:  s.SilenceTimeout,
				ProgressTimeout: s.ProgressTimeout,
			},
		},
		parser: parser{settings: s}, gate: gate, log: log, metrics: metrics, ctx: ctx, abort: abort,
	}
	server.admission = admission.New(admission.Config{
		QueueSize: s.QueueSize, ConcurrencyLimit: server.concurrency, View: source.View, Now: time.Now,
	})
	server.dispatcher.copies = newCopies(c.carrier.handling, server.placesPerServer)
	server.quota = quota.New(quota.Config{
		Instance: s.Instance, Incarnation: string(incarnation),
		View: source.View, LiveEntries: server.liveEntries, Now: time.Now,
	})
	server.reporter = newReporter(server.quota, server.otherEntries, s.PeerToken.Reveal(), log)
	return server
}

// Duties returns the goroutines that the server needs beside its handlers.
func (s *Server) BackgroundTasks() []daemon.BackgroundTask {
	return []daemon.BackgroundTask{
		{Name: "probe the backend servers", Run: s.prober.Run},
		{Name: "refresh the admission", Run: s.refresh},
		{Name: "report demand to the other entries", Run: s.reporter.run},
	}
}

// newSeed returns the seed of the random sources and logs it. 0 means any.
func newSeed(chosen int, log zerolog.Logger) uint64 {
	seed := uint64(chosen)
	if chosen == 0 {
		seed = rand.Uint64() >> 1 // a flag takes no larger number
	}
	log.Info().Uint64("seed", seed).Msg("random sources of routing and retries")
	return seed
}

// Abort fails all requests in flight.
func (s *Server) Abort() {
	s.abort(errkind.New(errkind.Leaving, "drain timeout"))
}

// Handler returns the HTTP interface for callers.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	// A redirect would make the caller send its request again.
	engine.RedirectTrailingSlash = false
	engine.RedirectFixedPath = false
	engine.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	engine.GET("/readyz", s.serveReady)
	engine.GET("/statusz", s.serveStatus)
	engine.GET("/metrics", gin.WrapH(s.metrics.Handler()))
	engine.POST(completionsPath, func(c *gin.Context) { s.serve(c, s.parser.completion) })
	engine.NoRoute(func(c *gin.Context) { s.serve(c, s.parser.plain) })
	return engine
}

type parseFunc func(*gin.Context, *table.View, table.Organisation) (*request, error)

// serve handles one request of a caller.
func (s *Server) serve(c *gin.Context, parse parseFunc) {
	start := time.Now()
	requestID := newRequestID()
	c.Header(requestIDHeader, requestID)
	ctx, cancel := s.requestContext(c.Request, requestID)
	defer cancel()
	refuseUnread := func(err error) {
		err = ofUnread(c.Request, s.table.View(), err)
		s.finish(ctx, start, nil, err)
		refuse(c, requestID, err)
	}
	release, err := s.admit()
	if err != nil {
		refuseUnread(err)
		return
	}
	defer release()
	r, err := s.accept(c, parse)
	if err != nil {
		refuseUnread(err)
		return
	}
	r.call.Id = &pb.AttemptId{RequestId: requestID}
	out := newAnswer(c, requestID, func() {
		s.metrics.ObserveFirstByte(labels(r), time.Since(start))
	})
	err = s.run(ctx, r, out)
	s.finish(ctx, start, r, err)
	if err != nil {
		out.fail(err)
	}
}

func newRequestID() string {
	return uuid.Must(uuid.NewV7()).String()
}

// requestContext ends when the caller leaves, at the request timeout, or when
// the entry gives up its drain.
func (s *Server) requestContext(r *http.Request, requestID string) (context.Context, context.CancelFunc) {
	timeout, _ := callerTimeout(r, s.settings.RequestTimeout) // accept refuses a bad value
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	stop := context.AfterFunc(s.ctx, cancel)
	ctx = telemetry.WithRequest(ctx, s.log, requestID)
	return ctx, func() {
		stop()
		cancel()
	}
}

// admit bounds the requests that the entry holds in memory, whatever their
// organisation and service.
func (s *Server) admit() (release func(), err error) {
	if err := s.gate.Enter(); err != nil {
		return nil, err
	}
	if s.streams.Add(1) > int64(s.settings.MaxStreams) {
		s.streams.Add(-1)
		s.gate.Exit()
		return nil, errkind.New(errkind.QueueFull, "%d requests are in flight", s.settings.MaxStreams)
	}
	return func() {
		s.streams.Add(-1)
		s.gate.Exit()
	}, nil
}

// accept authenticates the caller and parses the request.
func (s *Server) accept(c *gin.Context, parse parseFunc) (*request, error) {
	view := s.table.View()
	if !s.table.Loaded() {
		return nil, errkind.New(errkind.StaleTable, "the table has not been read yet")
	}
	org, err := s.parser.organisation(c.Request, view)
	if err != nil {
		return nil, err
	}
	if _, err := callerTimeout(c.Request, s.settings.RequestTimeout); err != nil {
		return nil, err
	}
	return parse(c, view, org)
}

// finish records the outcome of a request.
func (s *Server) finish(ctx context.Context, start time.Time, r *request, err error) {
	duration := time.Since(start)
	s.metrics.ObserveRequest(labels(r), outcome(err), duration)
	line := telemetry.RequestLogger(ctx).Info()
	if err != nil {
		line = telemetry.RequestLogger(ctx).Warn().Err(err).Str("execution", errkind.Of(err).Execution.String())
	}
	line.Str("organisation", r.callOrNil().GetOrganisation()).
		Str("service", r.callOrNil().GetService()).
		Str("outcome", outcome(err)).
		Dur("duration_ms", duration).
		Msg("request")
}
