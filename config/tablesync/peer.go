package tablesync

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/table"
	v1 "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// Limits of one response to a peer.
const (
	maxResponseRecords = 512
	maxResponseBytes   = 1 << 20
)

// Peer is another reader of the table. It is implemented by the generated clients
// of both services and by Syncer.
type Peer interface {
	TableSince(context.Context, *connect.Request[v1.TableSinceRequest]) (*connect.Response[v1.TableSinceResponse], error)
}

var _ Peer = (*Syncer)(nil)

type cachedSnapshot struct {
	offset infra.Offset
	data   []byte
}

// TableSince returns the records after the offset in the request. If they are no
// longer buffered, the response starts with a snapshot.
func (s *Syncer) TableSince(_ context.Context, req *connect.Request[v1.TableSinceRequest]) (*connect.Response[v1.TableSinceResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := infra.Offset(req.Msg.GetOffset())
	end := s.state.Offset()
	response := &v1.TableSinceResponse{Offset: uint64(end)}
	records, held := s.recent.after(after, end)
	if !held {
		snapshot, err := s.snapshotFor(after)
		if err != nil {
			return nil, connect.NewError(errkind.Internal.Attributes().ConnectCode, err)
		}
		response.Snapshot = snapshot.data
		response.SnapshotOffset = uint64(snapshot.offset)
		records, _ = s.recent.after(snapshot.offset, end)
	}
	response.Records = toMessages(records, req.Msg.GetLimit())
	return connect.NewResponse(response), nil
}

// snapshotFor returns a snapshot that covers an offset above after and is
// continued by the buffered records. The caller holds s.mu.
func (s *Syncer) snapshotFor(after infra.Offset) (cachedSnapshot, error) {
	end := s.state.Offset()
	if _, held := s.recent.after(s.snapshotCache.offset, end); held && s.snapshotCache.offset > after {
		return s.snapshotCache, nil
	}
	data, err := s.state.Snapshot()
	if err != nil {
		return cachedSnapshot{}, err
	}
	s.snapshotCache = cachedSnapshot{offset: end, data: data}
	return s.snapshotCache, nil
}

func toMessages(records []infra.Record, limit uint32) []*v1.TableRecord {
	if limit == 0 || limit > maxResponseRecords {
		limit = maxResponseRecords
	}
	var messages []*v1.TableRecord
	size := 0
	for _, r := range records {
		size += len(r.Data)
		// At least one record is sent, so that a record larger than the limit
		// does not block the peer.
		if len(messages) == int(limit) || len(messages) > 0 && size > maxResponseBytes {
			break
		}
		messages = append(messages, &v1.TableRecord{Offset: uint64(r.Offset), TimeUnixMs: r.Time.UnixMilli(), Data: r.Data})
	}
	return messages
}

// peersPerCatchUp is the number of peers that are queried concurrently. If half of
// the readers are cut off from the log, the fraction of readers that are behind
// falls from 1 to 0.25, 0.004 and 0 in three rounds; with one peer it takes five
// rounds.
const peersPerCatchUp = 2

// peerResult is the result of one request to a peer.
type peerResult struct {
	response *v1.TableSinceResponse
	err      error
}

// catchUpFromPeers requests records from a few random peers and applies the
// responses.
func (s *Syncer) catchUpFromPeers(ctx context.Context) {
	peers := s.peers()
	count := min(peersPerCatchUp, len(peers))
	ctx, cancel := context.WithTimeout(ctx, s.opts.PeerTimeout)
	defer cancel()
	before := s.Offset()
	results := make(chan peerResult, peersPerCatchUp)
	for n := range count {
		other := n + s.rng.IntN(len(peers)-n)
		peers[n], peers[other] = peers[other], peers[n]
		go func() { results <- s.fetchFromPeer(ctx, peers[n], before) }()
	}
	for range count {
		s.handlePeerResult(<-results)
	}
	if s.Offset() > before {
		s.updateStats(func(stats *Stats) { stats.PeerCatchUps++ })
	}
}

func (s *Syncer) fetchFromPeer(ctx context.Context, peer Peer, offset infra.Offset) peerResult {
	response, err := peer.TableSince(ctx, connect.NewRequest(&v1.TableSinceRequest{
		Offset: uint64(offset), Limit: uint32(s.opts.ReadLimit),
	}))
	if err != nil {
		return peerResult{err: err}
	}
	return peerResult{response: response.Msg}
}

func (s *Syncer) handlePeerResult(result peerResult) {
	err := result.err
	if err == nil {
		err = s.applyPeerResponse(result.response)
	}
	if err != nil {
		s.updateStats(func(stats *Stats) { stats.PeerErrors++ })
		s.opts.Logger.Warn().Err(err).Msg("table catch-up from a peer failed")
	}
}

func (s *Syncer) applyPeerResponse(response *v1.TableSinceResponse) error {
	if infra.Offset(response.GetSnapshotOffset()) > s.Offset() {
		state, err := table.Restore(response.GetSnapshot())
		if err != nil {
			return err
		}
		if s.replaceState(state) {
			// The log time of the oldest needed record is unknown. The peer
			// knows it and will publish the next snapshot before this reader.
			s.schedule.advance(state.Offset(), s.clock.Now())
		}
	}
	records := make([]infra.Record, 0, len(response.GetRecords()))
	for _, m := range response.GetRecords() {
		records = append(records, infra.Record{
			Offset: infra.Offset(m.GetOffset()), Time: time.UnixMilli(m.GetTimeUnixMs()), Data: m.GetData(),
		})
	}
	s.apply(records)
	if s.Offset() > 0 && uint64(s.Offset()) >= response.GetOffset() {
		s.loaded.Store(true)
	}
	return nil
}
