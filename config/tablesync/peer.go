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

// Bounds of one answer to a peer.
const (
	maxAnswerRecords = 512
	maxAnswerBytes   = 1 << 20
)

// Peer is another reader of the table. The generated clients of both services
// implement it, and so does Syncer.
type Peer interface {
	TableSince(context.Context, *connect.Request[v1.TableSinceRequest]) (*connect.Response[v1.TableSinceResponse], error)
}

var _ Peer = (*Syncer)(nil)

type cachedSnapshot struct {
	offset infra.Offset
	data   []byte
}

// TableSince answers a peer with the records after its offset. If they are no
// longer held, the answer starts with a snapshot.
func (s *Syncer) TableSince(_ context.Context, req *connect.Request[v1.TableSinceRequest]) (*connect.Response[v1.TableSinceResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := infra.Offset(req.Msg.GetOffset())
	end := s.fold.Offset()
	answer := &v1.TableSinceResponse{Offset: uint64(end)}
	records, held := s.recent.after(after, end)
	if !held {
		snapshot, err := s.snapshotFor(after)
		if err != nil {
			return nil, connect.NewError(errkind.Internal.Attributes().ConnectCode, err)
		}
		answer.Snapshot = snapshot.data
		answer.SnapshotOffset = uint64(snapshot.offset)
		records, _ = s.recent.after(snapshot.offset, end)
	}
	answer.Records = toMessages(records, req.Msg.GetLimit())
	return connect.NewResponse(answer), nil
}

// snapshotFor returns a snapshot above offset after from which the held records
// continue. s.mu is held.
func (s *Syncer) snapshotFor(after infra.Offset) (cachedSnapshot, error) {
	end := s.fold.Offset()
	if _, held := s.recent.after(s.cached.offset, end); held && s.cached.offset > after {
		return s.cached, nil
	}
	data, err := s.fold.Snapshot()
	if err != nil {
		return cachedSnapshot{}, err
	}
	s.cached = cachedSnapshot{offset: end, data: data}
	return s.cached, nil
}

func toMessages(records []infra.Record, limit uint32) []*v1.TableRecord {
	if limit == 0 || limit > maxAnswerRecords {
		limit = maxAnswerRecords
	}
	var messages []*v1.TableRecord
	size := 0
	for _, r := range records {
		size += len(r.Data)
		// One record is always sent, so that a large one does not block.
		if len(messages) == int(limit) || len(messages) > 0 && size > maxAnswerBytes {
			break
		}
		messages = append(messages, &v1.TableRecord{Offset: uint64(r.Offset), TimeUnixMs: r.Time.UnixMilli(), Data: r.Data})
	}
	return messages
}

// peersAsked is the number of peers that are asked at once. With half of the
// readers cut off from the log, the share that is behind falls from 1 to 0.25,
// 0.004 and 0 in three rounds; with one peer it takes five.
const peersAsked = 2

// peerAnswer is the result of one question.
type peerAnswer struct {
	message *v1.TableSinceResponse
	err     error
}

// readPeers takes records or snapshots from a few random peers.
func (s *Syncer) readPeers(ctx context.Context) {
	peers := s.peers()
	asked := min(peersAsked, len(peers))
	ctx, cancel := context.WithTimeout(ctx, s.opts.PeerTimeout)
	defer cancel()
	before := s.Offset()
	answers := make(chan peerAnswer, peersAsked)
	for n := range asked {
		other := n + s.rng.IntN(len(peers)-n)
		peers[n], peers[other] = peers[other], peers[n]
		go func() { answers <- s.ask(ctx, peers[n], before) }()
	}
	for range asked {
		s.takePeer(<-answers)
	}
	if s.Offset() > before {
		s.count(func(stats *Stats) { stats.PeerCatchUps++ })
	}
}

func (s *Syncer) ask(ctx context.Context, peer Peer, offset infra.Offset) peerAnswer {
	answer, err := peer.TableSince(ctx, connect.NewRequest(&v1.TableSinceRequest{
		Offset: uint64(offset), Limit: uint32(s.opts.ReadLimit),
	}))
	if err != nil {
		return peerAnswer{err: err}
	}
	return peerAnswer{message: answer.Msg}
}

func (s *Syncer) takePeer(a peerAnswer) {
	err := a.err
	if err == nil {
		err = s.takeAnswer(a.message)
	}
	if err != nil {
		s.count(func(stats *Stats) { stats.PeerErrors++ })
		s.opts.Logger.Warn().Err(err).Msg("table catch-up from a peer failed")
	}
}

func (s *Syncer) takeAnswer(answer *v1.TableSinceResponse) error {
	if infra.Offset(answer.GetSnapshotOffset()) > s.Offset() {
		f, err := table.Restore(answer.GetSnapshot())
		if err != nil {
			return err
		}
		if s.adopt(f) {
			// The times in the log are not known. The peer, which knows them,
			// publishes the next snapshot before this reader has to.
			s.chain.restart(f.Offset(), s.clock.Now())
		}
	}
	records := make([]infra.Record, 0, len(answer.GetRecords()))
	for _, m := range answer.GetRecords() {
		records = append(records, infra.Record{
			Offset: infra.Offset(m.GetOffset()), Time: time.UnixMilli(m.GetTimeUnixMs()), Data: m.GetData(),
		})
	}
	s.apply(records)
	if s.Offset() > 0 && uint64(s.Offset()) >= answer.GetOffset() {
		s.loaded.Store(true)
	}
	return nil
}
