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

// Latencies, one way. The regions are in different countries.
const (
	localLatency  = 500 * time.Microsecond
	remoteLatency = 40 * time.Millisecond
)

// logRegion is the region of the log service.
const logRegion = 0

// reader is one process start that reads the table.
type reader struct {
	slot    int
	region  int
	client  *Client
	syncer  *tablesync.Syncer
	started time.Time
	target  infra.Offset // the newest offset that it can learn at its start
	ended   time.Time    // zero while it runs
	stop    context.CancelFunc
	dead    atomic.Bool
	seen    infra.Offset // owned by the recorder
}

// fleet is the set of readers. Its fields are owned by the goroutine that
// drives the run, except those that are atomic or guarded.
type fleet struct {
	ctx     context.Context
	config  Config
	log     *Log
	links   []*Link // by slot; the link stays when the process is replaced
	readers atomic.Pointer[[]*reader]
	mu      sync.Mutex // serialises replacements of readers and uses of rng
	rec     *recorder
	all     []*reader // each process start
	rng     *rand.Rand
	apart   atomic.Bool // the regions can't reach each other
}

func latencyBetween(a, b int) time.Duration {
	if a == b {
		return localLatency
	}
	return remoteLatency
}

func (f *fleet) regionOf(slot int) int { return slot % f.config.Regions }

// start replaces the process in a slot by a new one at offset 0. f.mu is held
// or the run has not begun.
func (f *fleet) start(slot int) error {
	r := &reader{
		slot: slot, region: f.regionOf(slot), started: time.Now(),
		client: &Client{Log: f.log, Link: f.links[slot]},
	}
	r.target = f.reachable(r.region)
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
	f.all = append(f.all, r)
	f.rec.started(r)
	go s.Run(ctx)
	go f.rec.observe(ctx, r)
	return nil
}

// reachable returns the newest offset that a new process of a region can learn:
// the end of the log, or what a process of the region has.
func (f *fleet) reachable(region int) infra.Offset {
	if region == logRegion || !f.apart.Load() {
		return f.rec.end()
	}
	newest := infra.Offset(0)
	for _, r := range *f.readers.Load() {
		if r.region == region && !r.dead.Load() {
			newest = max(newest, r.syncer.Offset())
		}
	}
	return newest
}

func (f *fleet) kill(slot int) {
	r := (*f.readers.Load())[slot]
	r.dead.Store(true)
	r.ended = time.Now()
	r.stop()
	f.rec.killed(r)
}

// reach reports whether two processes can exchange messages.
func (f *fleet) reach(a, b *reader) bool {
	return !a.dead.Load() && !b.dead.Load() && (a.region == b.region || !f.apart.Load())
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

// exchange lets two readers learn each other's offset, as each message does.
func (f *fleet) exchange(a, b *reader) {
	if a == b || !f.reach(a, b) {
		return
	}
	a.syncer.Learn(b.syncer.Offset())
	b.syncer.Learn(a.syncer.Offset())
}

// peer is one reader as another one reaches it.
type peer struct {
	fleet    *fleet
	from, to *reader
}

// TableSince implements tablesync.Peer.
func (p peer) TableSince(ctx context.Context, req *connect.Request[pb.TableSinceRequest]) (*connect.Response[pb.TableSinceResponse], error) {
	p.from.client.traffic.add(peerRequestBytes)
	if p.from.region != p.to.region && p.fleet.apart.Load() {
		return nil, silence(ctx)
	}
	timer := time.NewTimer(2 * latencyBetween(p.from.region, p.to.region))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if p.to.dead.Load() {
		return nil, unavailable("peer is gone")
	}
	answer, err := p.to.syncer.TableSince(ctx, req)
	if err == nil {
		size := proto.Size(answer.Msg)
		p.from.client.traffic.add(size)
		p.to.client.traffic.add(size + peerRequestBytes)
	}
	return answer, err
}
