package sidecar

import (
	"context"
	"time"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/daemons/inbound"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/serve/quarantine"
)

// admit registers the attempt, attaches the first connection and starts the
// call. The attempt takes the memory of the request over. An error proves that the attempt
// did not run.
func (s *Server) admit(requestContext context.Context, call *pb.CallRequest) (*attempt, uint64, error) {
	if err := s.validateCall(call); err != nil {
		return nil, 0, err
	}
	if err := s.gate.Enter(); err != nil {
		return nil, 0, errkind.Of(err).WithRetryAfter(refusalRetryAfter)
	}
	ctx, cancel := s.callContext(call)
	id := &pb.AttemptId{
		RequestId: call.GetId().GetRequestId(), Attempt: call.GetId().GetAttempt(), Incarnation: s.incarnation,
	}
	a := newAttempt(id, s.settings.ReplayBytes, cancel)
	a.fingerprint, a.promptParts = quarantine.FingerprintOf(call), call.GetPromptParts()
	s.admission.applyReports(quarantine.FromProto(call.GetSuspectReports()))
	if err := s.registerAttempt(a); err != nil {
		cancel()
		s.gate.Exit()
		return nil, 0, err
	}
	a.useMemory(inbound.RequestOf(requestContext), s.settings.ReplayBytes)
	connection, err := a.attach(1)
	if err != nil {
		return nil, 0, errkind.Wrap(errkind.Internal, err, "attach the first connection")
	}
	go s.execute(ctx, a, call)
	return a, connection, nil
}

func (s *Server) validateCall(call *pb.CallRequest) error {
	if call.GetId().GetRequestId() == "" {
		return errkind.New(errkind.InvalidRequest, "attempt has no request id")
	}
	if call.GetService() != s.settings.Service {
		return errkind.New(errkind.UnknownService, "service %q is not served by this sidecar", call.GetService())
	}
	if len(call.GetBody()) > s.settings.MaxBodyBytes {
		return errkind.New(errkind.RequestTooLarge, "request body is larger than %d bytes", s.settings.MaxBodyBytes)
	}
	return nil
}

// callContext returns the context of a call with its deadline. It is not derived
// from the context of a connection, so that the call survives a broken connection.
func (s *Server) callContext(call *pb.CallRequest) (context.Context, context.CancelFunc) {
	timeout := s.settings.BackendTimeout
	if ms := call.GetDeadlineMs(); ms > 0 {
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	return telemetry.WithRequest(ctx, s.log, call.GetId().GetRequestId()), cancel
}

func (s *Server) registerAttempt(a *attempt) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts[keyOf(a.id)] != nil {
		return errkind.New(errkind.InProgress, "attempt %d is already registered", a.id.GetAttempt())
	}
	if s.running >= s.settings.MaxInFlight {
		return errkind.New(errkind.QueueFull, "concurrency limit reached: %d attempts in flight", s.running).WithRetryAfter(refusalRetryAfter)
	}
	s.attempts[keyOf(a.id)] = a
	s.running++
	return nil
}
