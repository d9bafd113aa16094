// Package sidecar is the daemon beside each backend server. It is the only path
// to its backend server: it runs attempts, keeps their answers for replay,
// reports load and drains.
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
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/gen/filbertmux/v1/filbertmuxv1connect"
	"github.com/filbertmux/filbertmux/serve/claim"
	"github.com/filbertmux/filbertmux/serve/claimlog"
	"github.com/filbertmux/filbertmux/serve/drain"
)

// retryHint is the Retry-After of refusals that another sidecar can answer.
const retryHint = time.Second

// tableSource is the part of tablesync.Syncer that the sidecar needs.
type tableSource interface {
	tablesync.Peer
	View() *table.View
	Offset() infra.Offset
	// Learn notes the table offset of another process.
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
	backend     *backend
	guard       *guard
	claims      claimRunner
	table       tableSource
	gate        *drain.Gate
	log         zerolog.Logger
	metrics     *telemetry.Metrics
	latency     latencyEstimate

	ctx   context.Context // ends when the drain timeout has passed
	abort context.CancelCauseFunc

	mu       sync.Mutex
	attempts map[attemptKey]*attempt
	running  int
}

var _ filbertmuxv1connect.SidecarServiceHandler = (*Server)(nil)

// NewServer returns a server that admits attempts.
func NewServer(s settings.Sidecar, incarnation daemon.Incarnation, claims claimRunner, table tableSource,
	gate *drain.Gate, log zerolog.Logger, metrics *telemetry.Metrics,
) (*Server, error) {
	b, err := newBackend(s.BackendURL)
	if err != nil {
		return nil, err
	}
	ctx, abort := context.WithCancelCause(context.Background())
	return &Server{
		settings: s, incarnation: string(incarnation), backend: b,
		guard: newGuard(b, string(incarnation), time.Now, log), claims: claims, table: table,
		gate: gate, log: log, metrics: metrics, ctx: ctx, abort: abort,
		attempts: make(map[attemptKey]*attempt),
	}, nil
}

// Abort fails all attempts in flight.
func (s *Server) Abort() {
	s.abort(errkind.New(errkind.Leaving, "drain timeout"))
}

// Call implements SidecarServiceHandler. A refusal is a stream with an end chunk
// only, so that every answer has the same form.
func (s *Server) Call(ctx context.Context, req *connect.Request[pb.CallRequest], out *connect.ServerStream[pb.Chunk]) error {
	s.table.Learn(infra.Offset(req.Msg.GetTableOffset()))
	a, connection, err := s.admit(req.Msg)
	if err != nil {
		return out.Send(s.refusal(req.Msg.GetId(), err))
	}
	return s.send(ctx, a, connection, out)
}

// Resume implements SidecarServiceHandler. A refusal is a connect error and not
// a chunk, because it says nothing about the answer itself.
func (s *Server) Resume(ctx context.Context, req *connect.Request[pb.ResumeRequest], out *connect.ServerStream[pb.Chunk]) error {
	a := s.find(req.Msg.GetId())
	if a == nil {
		return connectError(errkind.New(errkind.StreamIncomplete, "the attempt is not known here"))
	}
	connection, err := a.attach(req.Msg.GetNextSeq())
	if err != nil {
		return connectError(err)
	}
	s.metrics.AddToCounter("resumes", 1)
	return s.send(ctx, a, connection, out)
}

// Cancel implements SidecarServiceHandler. A non-idempotent call that runs is
// not interrupted, so that its outcome still reaches the log.
func (s *Server) Cancel(_ context.Context, req *connect.Request[pb.CancelRequest]) (*connect.Response[pb.CancelResponse], error) {
	a := s.find(req.Msg.GetId())
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

func (s *Server) find(id *pb.AttemptId) *attempt {
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
