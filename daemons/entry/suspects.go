package entry

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

// suspectInterceptor is a client interceptor for calls to sidecars. A suspect is a
// request that was in flight when a backend server crashed (see package
// quarantine). The interceptor stores the suspect reports that sidecars return and
// attaches them to later attempts of the same request, so that the next sidecar
// knows them before it reads them from the log. It is safe for concurrent use.
type suspectInterceptor struct {
	mu       sync.Mutex
	registry *quarantine.Registry
	now      func() time.Time
}

var _ connect.Interceptor = (*suspectInterceptor)(nil)

func newSuspectInterceptor(now func() time.Time) *suspectInterceptor {
	return &suspectInterceptor{registry: quarantine.NewRegistry(quarantine.DefaultSettings()), now: now}
}

// WrapUnary implements connect.Interceptor.
func (s *suspectInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc { return next }

// WrapStreamingHandler implements connect.Interceptor.
func (s *suspectInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// WrapStreamingClient implements connect.Interceptor.
func (s *suspectInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		return suspectConn{StreamingClientConn: next(ctx, spec), interceptor: s}
	}
}

// handling returns how a request may run according to the reports at this entry.
func (s *suspectInterceptor) handling(f quarantine.Fingerprint) quarantine.Handling {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Handling(s.now(), f)
}

// attachReports adds the known suspect reports of the request to the call.
func (s *suspectInterceptor) attachReports(call *pb.CallRequest) {
	f := quarantine.FingerprintOf(call)
	s.mu.Lock()
	defer s.mu.Unlock()
	call.SuspectReports = quarantine.ToProto(s.registry.Reports(f))
}

func (s *suspectInterceptor) recordReports(end *pb.End) {
	if len(end.GetSuspectReports()) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range quarantine.FromProto(end.GetSuspectReports()) {
		s.registry.Apply(s.now(), r)
	}
}

type suspectConn struct {
	connect.StreamingClientConn
	interceptor *suspectInterceptor
}

// Send implements connect.StreamingClientConn.
func (c suspectConn) Send(message any) error {
	if call, ok := message.(*pb.CallRequest); ok {
		c.interceptor.attachReports(call)
	}
	return c.StreamingClientConn.Send(message)
}

// Receive implements connect.StreamingClientConn.
func (c suspectConn) Receive(message any) error {
	err := c.StreamingClientConn.Receive(message)
	if chunk, ok := message.(*pb.Chunk); ok && err == nil {
		c.interceptor.recordReports(chunk.GetEnd())
	}
	return err
}
