// Package sidecar implements the daemon that runs next to each backend server.
// All calls to the backend server pass through it: it runs attempts, buffers
// their responses for replay, reports load and drains on shutdown.
package sidecar

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/config/tablesync"
	"github.com/filbertmux/filbertmux/daemons/daemon"
	"github.com/filbertmux/filbertmux/daemons/inbound"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/serve/claim"
	"github.com/filbertmux/filbertmux/serve/claimlog"
	"github.com/filbertmux/filbertmux/serve/drain"
)

// refusalRetryAfter is the Retry-After of refused attempts that another sidecar can serve.
const refusalRetryAfter = time.Second

// tableSource is the subset of tablesync.Syncer that the sidecar uses.
type tableSource interface {
	tablesync.Peer
	View() *table.View
	Offset() infra.Offset
	// Learn records a table offset reported by another process.
	Learn(offset infra.Offset)
}

// claimRunner runs a non-idempotent call at most once.
type claimRunner interface {
	Run(ctx context.Context, r claim.Request, run claimlog.RunFunc) (claim.Answer, error)
}

// Server implements the SidecarService. It is safe for concurrent use.
type Server struct {
	settings    settings.Sidecar
	incarnation string
	backend     *backendClient
	admission   *admissionController
	claims      claimRunner
	table       tableSource
	gate        *drain.Gate
	log         zerolog.Logger
	metrics     *telemetry.Metrics
	latency     movingAverage

	ctx        context.Context // cancelled when the drain timeout expires
	abortCalls context.CancelCauseFunc

	// memory and connections bound what other processes take of this one.
	memory      *inbound.Memory
	connections *inbound.Connections
	maxRetained int

	mu       sync.Mutex
	attempts map[attemptKey]*attempt
	running  int
	// finished holds the finished attempts that are kept for replay, the oldest first, and
	// retained is what they take together.
	finished []*attempt
	retained int
}

var _ filbertmuxv1connect.SidecarServiceHandler = (*Server)(nil)

// NewServer returns a server that admits attempts.
func NewServer(s settings.Sidecar, incarnation daemon.Incarnation, claims claimRunner, table tableSource,
	gate *drain.Gate, log zerolog.Logger, metrics *telemetry.Metrics,
) (*Server, error) {
	b, err := newBackendClient(s.BackendURL)
	if err != nil {
		return nil, err
	}
	ctx, abort := context.WithCancelCause(context.Background())
	limits := inbound.Divide(memoryLimit(s), maxConnections(s))
	return &Server{
		settings: s, incarnation: string(incarnation), backend: b,
		admission: newAdmissionController(b, string(incarnation), time.Now, log), claims: claims, table: table,
		gate: gate, log: log, metrics: metrics, ctx: ctx, abortCalls: abort,
		memory: inbound.NewMemory(limits.Budget, metrics), connections: inbound.NewConnections(limits.Connections, metrics),
		maxRetained: int(retainedShare * float64(limits.Budget.Total)),
		attempts:    make(map[attemptKey]*attempt),
	}, nil
}

// Abort fails all attempts in flight.
func (s *Server) Abort() {
	s.abortCalls(errkind.New(errkind.Leaving, "drain timeout expired"))
}

// Call implements SidecarServiceHandler. A refused attempt yields a stream that
// consists of the end chunk only, so that all outcomes have the same format.
func (s *Server) Call(ctx context.Context, req *connect.Request[pb.CallRequest], out *connect.ServerStream[pb.Chunk]) error {
	s.table.Learn(infra.Offset(req.Msg.GetTableOffset()))
	a, connection, err := s.admit(ctx, req.Msg)
	if err != nil {
		return out.Send(s.refusalChunk(req.Msg.GetId(), err))
	}
	return s.sendChunks(ctx, a, connection, out)
}

// Resume implements SidecarServiceHandler. A failure to resume is a connect
// error and not a chunk, because it says nothing about the outcome of the attempt.
func (s *Server) Resume(ctx context.Context, req *connect.Request[pb.ResumeRequest], out *connect.ServerStream[pb.Chunk]) error {
	a := s.findAttempt(req.Msg.GetId())
	if a == nil {
		return connectError(errkind.New(errkind.StreamIncomplete, "attempt is not known to this sidecar"))
	}
	connection, err := a.attach(req.Msg.GetNextSeq())
	if err != nil {
		return connectError(err)
	}
	s.metrics.AddToCounter("resumes", 1)
	return s.sendChunks(ctx, a, connection, out)
}

// Cancel implements SidecarServiceHandler. A running non-idempotent call is not
// interrupted, so that its outcome is still written to the log.
func (s *Server) Cancel(_ context.Context, req *connect.Request[pb.CancelRequest]) (*connect.Response[pb.CancelResponse], error) {
	a := s.findAttempt(req.Msg.GetId())
	if a != nil {
		a.cancel()
	}
	return connect.NewResponse(&pb.CancelResponse{Found: a != nil}), nil
}

// Probe implements SidecarServiceHandler.
func (s *Server) Probe(_ context.Context, req *connect.Request[pb.ProbeRequest]) (*connect.Response[pb.ProbeResponse], error) {
	s.table.Learn(infra.Offset(req.Msg.GetTableOffset()))
	return connect.NewResponse(&pb.ProbeResponse{Load: s.load(), TableOffset: uint64(s.table.Offset())}), nil
}

// TableSince implements SidecarServiceHandler.
func (s *Server) TableSince(ctx context.Context, req *connect.Request[pb.TableSinceRequest]) (*connect.Response[pb.TableSinceResponse], error) {
	return s.table.TableSince(ctx, req)
}

func (s *Server) findAttempt(id *pb.AttemptId) *attempt {
	if id.GetIncarnation() != "" && id.GetIncarnation() != s.incarnation {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[keyOf(id)]
}

func (s *Server) load() *pb.Load {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	return &pb.Load{
		Incarnation: s.incarnation,
		InFlight:    uint32(running),
		LatencyUs:   uint64(s.latency.get().Microseconds()),
		Leaving:     s.gate.IsDraining(),
		Overloaded:  running >= s.settings.MaxInFlight,
	}
}

func connectError(err error) *connect.Error {
	return connect.NewError(errkind.Of(err).Kind.Attributes().ConnectCode, err)
}
