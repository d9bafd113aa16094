package sidecar

import (
	"context"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

// admit registers the attempt, attaches the first connection and starts the
// call. An error proves that this attempt did not run.
func (s *Server) admit(call *pb.CallRequest) (*attempt, uint64, error) {
	if err := s.check(call); err != nil {
		return nil, 0, err
	}
	if err := s.gate.Enter(); err != nil {
		return nil, 0, errkind.Of(err).WithRetryAfter(retryHint)
	}
	ctx, cancel := s.callContext(call)
	id := &pb.AttemptId{
		RequestId: call.GetId().GetRequestId(), Attempt: call.GetId().GetAttempt(), Incarnation: s.incarnation,
	}
	a := newAttempt(id, s.settings.ReplayBytes, cancel)
	a.fingerprint = quarantine.FingerprintOf(call)
	s.guard.apply(quarantine.FromProto(call.GetSuspectReports()))
	if err := s.register(a); err != nil {
		cancel()
		s.gate.Exit()
		return nil, 0, err
	}
	connection, err := a.attach(1)
	if err != nil {
		return nil, 0, errkind.Wrap(errkind.Internal, err, "attach the first connection")
	}
	go s.execute(ctx, a, call)
	return a, connection, nil
}

func (s *Server) check(call *pb.CallRequest) error {
	if call.GetId().GetRequestId() == "" {
		return errkind.New(errkind.InvalidRequest, "attempt without request id")
	}
	if call.GetService() != s.settings.Service {
		return errkind.New(errkind.UnknownService, "service %q is not served here", call.GetService())
	}
	if len(call.GetBody()) > s.settings.MaxBodyBytes {
		return errkind.New(errkind.RequestTooLarge, "body above %d bytes", s.settings.MaxBodyBytes)
	}
	return nil
}

// callContext belongs to the call and not to a connection, so that the answer
// survives the loss of a connection.
func (s *Server) callContext(call *pb.CallRequest) (context.Context, context.CancelFunc) {
	timeout := s.settings.BackendTimeout
	if ms := call.GetDeadlineMs(); ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	return telemetry.WithRequest(ctx, s.log, call.GetId().GetRequestId()), cancel
}

func (s *Server) register(a *attempt) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts[keyOf(a.id)] != nil {
		return errkind.New(errkind.InProgress, "attempt %d was sent twice", a.id.GetAttempt())
	}
	if s.running >= s.settings.MaxInFlight {
		return errkind.New(errkind.QueueFull, "%d attempts in flight", s.running).WithRetryAfter(retryHint)
	}
	s.attempts[keyOf(a.id)] = a
	s.running++
	return nil
}
