package entry

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

// suspectCarrier is an interceptor of the calls to sidecars. It remembers the
// suspect reports on answers and sends them along with later attempts of the
// same request, so that the next sidecar knows them ahead of the log. It is
// safe for concurrent use.
type suspectCarrier struct {
	mu       sync.Mutex
	register *quarantine.Registry
	now      func() time.Time
}

var _ connect.Interceptor = (*suspectCarrier)(nil)

func newSuspectCarrier(now func() time.Time) *suspectCarrier {
	return &suspectCarrier{register: quarantine.NewRegistry(quarantine.DefaultSettings()), now: now}
}

// WrapUnary implements connect.Interceptor.
func (s *suspectCarrier) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc { return next }

// WrapStreamingHandler implements connect.Interceptor.
func (s *suspectCarrier) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// WrapStreamingClient implements connect.Interceptor.
func (s *suspectCarrier) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		return suspectConn{StreamingClientConn: next(ctx, spec), carrier: s}
	}
}

// handling returns how a request may run, as far as this entry knows.
func (s *suspectCarrier) handling(f quarantine.Fingerprint) quarantine.Handling {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.register.Handling(s.now(), f)
}

// attach adds what is known of the request to it.
func (s *suspectCarrier) attach(call *pb.CallRequest) {
	f := quarantine.FingerprintOf(call)
	s.mu.Lock()
	defer s.mu.Unlock()
	call.SuspectReports = quarantine.ToProto(s.register.Reports(f))
}

func (s *suspectCarrier) learn(end *pb.End) {
	if len(end.GetSuspectReports()) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range quarantine.FromProto(end.GetSuspectReports()) {
		s.register.Apply(s.now(), r)
	}
}

type suspectConn struct {
	connect.StreamingClientConn
	carrier *suspectCarrier
}

// Send implements connect.StreamingClientConn.
func (c suspectConn) Send(message any) error {
	if call, ok := message.(*pb.CallRequest); ok {
		c.carrier.attach(call)
	}
	return c.StreamingClientConn.Send(message)
}

// Receive implements connect.StreamingClientConn.
func (c suspectConn) Receive(message any) error {
	err := c.StreamingClientConn.Receive(message)
	if chunk, ok := message.(*pb.Chunk); ok && err == nil {
		c.carrier.learn(chunk.GetEnd())
	}
	return err
}
