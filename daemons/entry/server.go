// Package entry implements the daemon that accepts requests from callers. It
// authenticates them, applies limits and queueing, forwards them to sidecars and
// streams back verified responses.
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
	"github.com/filbertmux/filbertmux/daemons/inbound"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/drain"
	"github.com/filbertmux/filbertmux/serve/stream"
)

// tableSource is the subset of tablesync.Syncer that the entry uses.
type tableSource interface {
	// View returns the table in force. It may be incomplete until Loaded returns
	// true.
	View() *table.View
	Loaded() bool
	// Learn records the table offset of another process.
	Learn(offset infra.Offset)
}

// refusalLinesPerSecond bounds the log lines about requests that were refused to protect the
// memory. All of them are counted.
const refusalLinesPerSecond = 20

// Server handles the requests of the callers of one entry. It is safe for
// concurrent use.
type Server struct {
	settings    settings.Entry
	incarnation daemon.Incarnation
	table       tableSource
	servers     *servers.Servers
	prober      *servers.Prober
	admission   *admission.Controller
	quota       *quota.Quota
	reporter    *reporter
	evacuations *evacuationReporter
	instances   func() *[]infra.Instance
	dispatcher  *dispatcher
	parser      parser
	gate        *drain.Gate
	// memory, connections and peerConnections bound what clients take of this process.
	memory          *inbound.Memory
	connections     *inbound.Connections
	peerConnections *inbound.Connections
	log             zerolog.Logger
	metrics         *telemetry.Metrics
	refusalLines    *telemetry.LineLimiter

	inFlight atomic.Int64
	ctx      context.Context // canceled when the drain timeout expires
	abort    context.CancelCauseFunc
}

// NewServer returns a Server for the given settings.
func NewServer(s settings.Entry, incarnation daemon.Incarnation, source tableSource, instances *daemon.InstanceWatcher,
	gate *drain.Gate, log zerolog.Logger, metrics *telemetry.Metrics,
) *Server {
	ctx, abort := context.WithCancelCause(context.Background())
	seed := newSeed(s.Seed, log)
	sockets := divideSockets(s)
	limits := inbound.Divide(memoryLimit(s), sockets.callers)
	memory := inbound.NewMemory(limits.Budget, metrics)
	sidecars := newClients(s.PeerToken.Reveal(), sockets.idleSidecars)
	backendServers := servers.New(servers.Config{
		Policy: s.RoutingPolicy, FailureDomain: s.FailureDomain, Membership: membership.DefaultConfig(),
		Rand: rand.New(rand.NewPCG(seed, 0)), Now: time.Now, View: source.View, InstanceList: instances.Latest,
	})
	prober := servers.NewProber(backendServers, probeFunc(sidecars, source, string(incarnation)))
	server := &Server{
		settings: s, incarnation: incarnation, table: source, servers: backendServers, prober: prober, instances: instances.Latest,
		dispatcher: &dispatcher{
			servers: backendServers,
			prober:  prober,
			table:   source,
			clients: sidecars,
			retries: newRetryBudgets(rand.New(rand.NewPCG(seed, 1)), time.Now),
			receiver: stream.ReceiverConfig{
				MaxPending:      maxPendingChunks,
				SilenceTimeout:  s.SilenceTimeout,
				ProgressTimeout: s.ProgressTimeout,
			},
		},
		parser: parser{settings: s, memory: memory}, gate: gate, memory: memory,
		connections:     inbound.NewConnections(limits.Connections, metrics),
		peerConnections: inbound.NewConnections(inbound.FewConnections(sockets.peers), metrics),
		log:             log, metrics: metrics, refusalLines: telemetry.NewLineLimiter(refusalLinesPerSecond), ctx: ctx, abort: abort,
	}
	server.admission = admission.New(admission.Config{
		QueueSize: s.QueueSize, ConcurrencyLimit: server.concurrencyLimit, Refusal: backendServers.RefusalByEvacuation,
		View: source.View, Now: time.Now,
	})
	server.dispatcher.duplicates = newDuplicateTracker(sidecars.suspects.handling, server.slotsPerServer)
	server.quota = quota.New(quota.Config{
		Instance: s.Instance, Incarnation: string(incarnation),
		View: source.View, LiveEntries: server.liveEntries, Now: time.Now,
	})
	server.reporter = newReporter(server.quota, server.otherEntries, s.PeerToken.Reveal(), log)
	server.evacuations = newEvacuationReporter(source.View, backendServers.CountInDomain, log, metrics)
	return server
}

// BackgroundTasks returns the tasks that run as long as the server.
func (s *Server) BackgroundTasks() []daemon.BackgroundTask {
	reporter := &inbound.Reporter{Memory: s.memory, Connections: s.connections, Metrics: s.metrics, Log: s.log}
	return []daemon.BackgroundTask{
		{Name: "report memory and connections", Run: reporter.Run},
		{Name: "probe the backend servers", Run: s.prober.Run},
		{Name: "refresh quotas and admission queues", Run: s.refresh},
		{Name: "report demand to the other entries", Run: s.reporter.run},
	}
}

// newSeed returns the seed of the random number generators and logs it, so that a
// run can be reproduced. A configured seed of 0 selects a random one.
func newSeed(configured int, log zerolog.Logger) uint64 {
	seed := uint64(configured)
	if configured == 0 {
		seed = rand.Uint64() >> 1 // the seed flag is a signed integer
	}
	log.Info().Uint64("seed", seed).Msg("seed of the random number generators for routing and retries")
	return seed
}

// Abort cancels all requests in flight. It is called when the drain timeout
// expires.
func (s *Server) Abort() {
	s.abort(errkind.New(errkind.Leaving, "the drain timeout of the entry expired"))
}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	// A redirect would make the caller send its request a second time.
	engine.RedirectTrailingSlash = false
	engine.RedirectFixedPath = false
	engine.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	engine.GET("/readyz", s.serveReady)
	engine.GET("/statusz", s.serveStatus)
	engine.GET("/metrics", gin.WrapH(s.metrics.Handler()))
	engine.POST(completionsPath, func(c *gin.Context) { s.serve(c, s.parser.parseCompletion) })
	engine.NoRoute(func(c *gin.Context) { s.serve(c, s.parser.parsePlain) })
	return engine
}

// parseFunc converts a request to a call. It sets the memory of the request once its body has
// been read, and the call if there is no error.
type parseFunc func(*gin.Context, *table.View, table.Organisation, *request) error

// serve handles one request of a caller. parse converts it to a call.
func (s *Server) serve(c *gin.Context, parse parseFunc) {
	start := time.Now()
	requestID := newRequestID()
	c.Header(requestIDHeader, requestID)
	ctx, cancel := s.requestContext(c.Request, requestID)
	defer cancel()
	r := &request{}
	defer func() { r.memory.Close() }()
	refuseUnparsed := func(err error) {
		err = unparsedRefusal(c.Request, s.table.View(), err)
		s.recordOutcome(ctx, start, nil, err)
		write := func() { writeError(c, requestID, err) }
		if r.memory != nil {
			write() // the body has been read
			return
		}
		inbound.Refuse(c.Writer, c.Request, errkind.Of(err), write)
	}
	release, err := s.enterGate()
	if err != nil {
		refuseUnparsed(err)
		return
	}
	defer release()
	if err := s.authenticateAndParse(c, parse, r); err != nil {
		refuseUnparsed(err)
		return
	}
	r.call.Id = &pb.AttemptId{RequestId: requestID}
	out := newResponseWriter(c, requestID, r.memory, func() {
		s.metrics.ObserveFirstByte(metricLabels(r), time.Since(start))
	})
	err = s.run(ctx, r, out)
	s.recordOutcome(ctx, start, r, err)
	if err != nil {
		out.fail(err)
	}
}

func newRequestID() string {
	return uuid.Must(uuid.NewV7()).String()
}

// requestContext returns a context that ends when the caller disconnects, at the
// request timeout, or when the drain timeout of the entry expires.
func (s *Server) requestContext(r *http.Request, requestID string) (context.Context, context.CancelFunc) {
	timeout, _ := callerTimeout(r, s.settings.RequestTimeout) // authenticateAndParse rejects an invalid value
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	stop := context.AfterFunc(s.ctx, cancel)
	ctx = telemetry.WithRequest(ctx, s.log, requestID)
	return ctx, func() {
		stop()
		cancel()
	}
}

// enterGate registers the request with the drain gate and enforces MaxStreams,
// which bounds the requests in memory over all organisations and services.
func (s *Server) enterGate() (release func(), err error) {
	if err := s.gate.Enter(); err != nil {
		return nil, err
	}
	if s.inFlight.Add(1) > int64(s.settings.MaxStreams) {
		s.inFlight.Add(-1)
		s.gate.Exit()
		return nil, errkind.New(errkind.QueueFull, "the limit of %d requests in flight is reached", s.settings.MaxStreams)
	}
	return func() {
		s.inFlight.Add(-1)
		s.gate.Exit()
	}, nil
}

// authenticateAndParse authenticates the caller and parses the request.
func (s *Server) authenticateAndParse(c *gin.Context, parse parseFunc, r *request) error {
	view := s.table.View()
	if !s.table.Loaded() {
		return errkind.New(errkind.StaleTable, "the table has not been read yet")
	}
	org, err := s.parser.authenticate(c.Request, view)
	if err != nil {
		return err
	}
	if _, err := callerTimeout(c.Request, s.settings.RequestTimeout); err != nil {
		return err
	}
	return parse(c, view, org, r)
}

// recordOutcome records the outcome of a request in the metrics and the log. r is
// nil if the request was not parsed.
func (s *Server) recordOutcome(ctx context.Context, start time.Time, r *request, err error) {
	duration := time.Since(start)
	s.metrics.ObserveRequest(metricLabels(r), outcome(err), duration)
	if isRefusalForMemory(err) && !s.refusalLines.Allow(time.Now()) {
		return
	}
	event := telemetry.RequestLogger(ctx).Info()
	if err != nil {
		event = telemetry.RequestLogger(ctx).Warn().Err(err).Str("execution", errkind.Of(err).Execution.String())
	}
	event.Str("organisation", r.callOrNil().GetOrganisation()).
		Str("service", r.callOrNil().GetService()).
		Str("outcome", outcome(err)).
		Dur("duration_ms", duration).
		Msg("request finished")
}

// isRefusalForMemory reports whether a request was refused to protect the memory.
func isRefusalForMemory(err error) bool {
	return errkind.Is(err, errkind.MemoryExhausted) || errkind.Is(err, errkind.SlowBody) || errkind.Is(err, errkind.RequestTooLarge)
}
