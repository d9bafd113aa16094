package gateway

import (
	"math"
	"time"

	"github.com/filbertmux/filbertmux/balance/loadshare"
	"github.com/filbertmux/filbertmux/balance/requestlimit"
	"github.com/filbertmux/filbertmux/base/clock"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
)

// recordRequestLimit records the request limit in a response, or that it has none.
// sentAt is when the request was sent. A refusal without a limit says nothing, because
// what refuses a request may not be what states the limit.
func (s *service) recordRequestLimit(sentAt time.Time, server string, h platform.ResponseHeader) {
	if h.NotExecuted && !h.HasRequestLimit {
		return
	}
	now := clock.Now()
	statement := requestlimit.Statement{Limited: h.HasRequestLimit, Rate: h.RequestLimit, At: now}
	if !h.HasRequestLimit {
		statement.At = sentAt
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requestLimits.Observe(loadshare.ServerKeyOf(server), statement) {
		s.logRequestLimit(server, statement)
		s.applyRequestLimits(now)
	}
}

// recordPeerLimits records what servers have stated in responses to other gateways.
func (s *service) recordPeerLimits(now time.Time, statements map[loadshare.ServerKey]requestlimit.Statement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.groupByServer {
		key := loadshare.ServerKeyOf(id)
		if statement, ok := statements[key]; ok && s.requestLimits.ObservePeer(key, statement) {
			s.logRequestLimit(id, statement)
		}
	}
	s.applyRequestLimits(now)
}

func (s *service) logRequestLimit(server string, statement requestlimit.Statement) {
	if !statement.Limited {
		s.log.Info().Str("server", server).Msg("backend server no longer states a request limit")
		return
	}
	s.log.Warn().Str("server", server).Float64("per_second", statement.Rate).Msg("backend server states a request limit")
}

// setGateways sets the addresses of this gateway and of the others, which share the limits
// of the servers. It is also called at regular intervals.
func (s *service) setGateways(now time.Time, list gatewayList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestLimits.SetGateways(list.self, list.live)
	s.scheduler.SetGateways(len(list.live) + 1)
	s.requestLimits.SetKnownGateways(list.known, list.listed)
	s.refreshEjections(now)
	s.endCold(now)
	s.applyMemoryRanks()
	s.applyRequestLimits(now)
}

// reportRequestLimits calls report for the limits that the other gateways have to know.
func (s *service) reportRequestLimits(now time.Time, report func(loadshare.ServerKey, requestlimit.Statement)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestLimits.Report(now, report)
}

// retainRequestLimits forgets the limits of servers that are no longer listed. The
// caller holds the mutex.
func (s *service) retainRequestLimits(now time.Time) {
	listed := make(map[loadshare.ServerKey]bool, len(s.groupByServer))
	for id := range s.groupByServer {
		listed[loadshare.ServerKeyOf(id)] = true
	}
	s.requestLimits.SetServerCount(len(listed))
	s.requestLimits.Retain(func(key loadshare.ServerKey) bool { return listed[key] })
	s.applyMemoryRanks()
	// A server that was not listed for a while may still have the pace of a limit that was
	// forgotten meanwhile.
	s.paced = true
	s.applyRequestLimits(now)
}

// applyMemoryRanks sets which gateways use the memory of each server for large requests.
// Before the list of the gateways has been read, this one doesn't. The caller holds the mutex.
func (s *service) applyMemoryRanks() {
	if s.memoryTokens == 0 {
		return
	}
	for id := range s.groupByServer {
		rank, listed := s.requestLimits.Rank(loadshare.ServerKeyOf(id))
		if !listed {
			rank = math.MaxInt
		}
		s.scheduler.SetRank(id, rank)
	}
}

// applyRequestLimits sets the pace of each server. The caller holds the mutex.
func (s *service) applyRequestLimits(now time.Time) {
	if !s.paced && s.requestLimits.Empty() {
		return
	}
	for _, l := range s.listed {
		key := loadshare.ServerKeyOf(l.ID)
		interval, allowed := s.requestLimits.Interval(now, key)
		s.scheduler.SetPace(now, l.ID, interval, allowed)
		s.scheduler.SetPaceReason(l.ID, s.paceReason(now, key))
	}
	s.paced = !s.requestLimits.Empty()
	s.deliver(s.scheduler.Dispatch(now))
}

// encodeLimits converts statements to protocol buffer messages.
func encodeLimits(now time.Time, statements map[loadshare.ServerKey]requestlimit.Statement) []*pb.RequestLimit {
	messages := make([]*pb.RequestLimit, 0, len(statements))
	for key, statement := range statements {
		messages = append(messages, &pb.RequestLimit{
			Server: uint32(key), Limited: statement.Limited, PerSecond: statement.Rate,
			AgeMs: uint32(max(now.Sub(statement.At).Milliseconds(), 0)),
		})
	}
	return messages
}

// decodeLimits converts protocol buffer messages to statements.
func decodeLimits(now time.Time, messages []*pb.RequestLimit) map[loadshare.ServerKey]requestlimit.Statement {
	statements := make(map[loadshare.ServerKey]requestlimit.Statement, len(messages))
	for _, m := range messages {
		statements[loadshare.ServerKey(m.GetServer())] = requestlimit.Statement{
			Limited: m.GetLimited(), Rate: m.GetPerSecond(), At: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
		}
	}
	return statements
}
