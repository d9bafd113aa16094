package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/tablesync"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
)

// One-way latencies within a region and between regions, which are in different
// countries.
const (
	localLatency  = 500 * time.Microsecond
	remoteLatency = 40 * time.Millisecond
)

// logRegion is the region in which the log service runs.
const logRegion = 0

// reader is one incarnation of a process that reads the table.
type reader struct {
	slot           int
	region         int
	client         *Client
	syncer         *tablesync.Syncer
	started        time.Time
	startTarget    infra.Offset // newest offset that it could learn at its start
	ended          time.Time    // zero while it runs
	stop           context.CancelFunc
	stopped        atomic.Bool
	observedOffset infra.Offset // owned by the recorder
}

// fleet is the set of readers. Its fields are owned by the goroutine that
// executes the events, except those that are atomic or guarded by mu.
type fleet struct {
	ctx                context.Context
	config             Config
	log                *Log
	links              []*Link // by slot; a new process in the slot uses the same link
	readers            atomic.Pointer[[]*reader]
	mu                 sync.Mutex // serialises replacements of readers and uses of rng
	recorder           *recorder
	allReaders         []*reader // including stopped ones
	rng                *rand.Rand
	regionsPartitioned atomic.Bool // the regions cannot reach each other
}

func latencyBetween(a, b int) time.Duration {
	if a == b {
		return localLatency
	}
	return remoteLatency
}

func (f *fleet) regionOf(slot int) int { return slot % f.config.Regions }

// startReader starts a new process at offset 0 in a slot. f.mu must be held
// unless the run has not begun.
func (f *fleet) startReader(slot int) error {
	r := &reader{
		slot: slot, region: f.regionOf(slot), started: time.Now(),
		client: &Client{Log: f.log, Link: f.links[slot]},
	}
	r.startTarget = f.newestReachable(r.region)
	s, err := tablesync.New(r.client, func() []tablesync.Peer { return f.peersOf(r) }, tablesync.SystemClock{},
		rand.New(rand.NewPCG(f.rng.Uint64(), 0)), tablesync.Options{
			Retention: f.config.Log.Retention, ReadWait: f.config.ReadWait, Logger: zerolog.Nop(),
		})
	if err != nil {
		return err
	}
	r.syncer = s
	ctx, cancel := context.WithCancel(f.ctx)
	r.stop = cancel
	list := append([]*reader(nil), *f.readers.Load()...)
	if slot < len(list) {
		list[slot] = r
	} else {
		list = append(list, r)
	}
	f.readers.Store(&list)
	f.allReaders = append(f.allReaders, r)
	f.recorder.onStart(r)
	go s.Run(ctx)
	go f.recorder.observe(ctx, r)
	return nil
}

// newestReachable returns the newest offset that a new process of a region can
// learn: the end of the log, or, if the region cannot reach the log, the newest
// offset of its processes.
func (f *fleet) newestReachable(region int) infra.Offset {
	if region == logRegion || !f.regionsPartitioned.Load() {
		return f.recorder.endOffset()
	}
	newest := infra.Offset(0)
	for _, r := range *f.readers.Load() {
		if r.region == region && !r.stopped.Load() {
			newest = max(newest, r.syncer.Offset())
		}
	}
	return newest
}

func (f *fleet) stopReader(slot int) {
	r := (*f.readers.Load())[slot]
	r.stopped.Store(true)
	r.ended = time.Now()
	r.stop()
	f.recorder.onStop(r)
}

// canExchange reports whether both processes run and can reach each other.
func (f *fleet) canExchange(a, b *reader) bool {
	return !a.stopped.Load() && !b.stopped.Load() && (a.region == b.region || !f.regionsPartitioned.Load())
}

func (f *fleet) peersOf(r *reader) []tablesync.Peer {
	list := *f.readers.Load()
	peers := make([]tablesync.Peer, 0, len(list))
	for _, other := range list {
		if other.slot != r.slot {
			peers = append(peers, peer{f, r, other})
		}
	}
	return peers
}

// exchangeOffsets makes two readers learn each other's table offset, as each
// message between processes does.
func (f *fleet) exchangeOffsets(a, b *reader) {
	if a == b || !f.canExchange(a, b) {
		return
	}
	a.syncer.Learn(b.syncer.Offset())
	b.syncer.Learn(a.syncer.Offset())
}

// peer is the access of one reader to another one.
type peer struct {
	fleet    *fleet
	from, to *reader
}

// TableSince implements tablesync.Peer.
func (p peer) TableSince(ctx context.Context, req *connect.Request[pb.TableSinceRequest]) (*connect.Response[pb.TableSinceResponse], error) {
	p.from.client.traffic.add(peerRequestBytes)
	if p.from.region != p.to.region && p.fleet.regionsPartitioned.Load() {
		return nil, awaitCancellation(ctx)
	}
	timer := time.NewTimer(2 * latencyBetween(p.from.region, p.to.region))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if p.to.stopped.Load() {
		return nil, unavailable("peer has stopped")
	}
	answer, err := p.to.syncer.TableSince(ctx, req)
	if err == nil {
		size := proto.Size(answer.Msg)
		p.from.client.traffic.add(size)
		p.to.client.traffic.add(size + peerRequestBytes)
	}
	return answer, err
}
