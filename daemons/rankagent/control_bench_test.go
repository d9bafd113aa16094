package rankagent

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/base/clock"
	"github.com/filbertmux/filbertmux/config/fleet"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/platform"
	"github.com/filbertmux/filbertmux/platform/platformtest"
	"github.com/filbertmux/filbertmux/rankgroup/experts"
	"github.com/filbertmux/filbertmux/rankgroup/mapdelta"
	"github.com/filbertmux/filbertmux/rankgroup/switchover"
)

// largeGroupVariable makes a process of this test binary serve a large group.
const largeGroupVariable = "FILBERTMUX_TEST_LARGE_GROUP"

// Size of the large group, and its step time.
const (
	largeRanks    = 72
	largeLayers   = 12
	largePerLayer = 144
	largeStep     = 100 * time.Millisecond
	// warmUpRounds is the number of rounds until all agents have recent counts.
	warmUpRounds = 8
)

var largeExperts = fleet.Experts{
	LayerSets: largeLayers, ExpertsPerLayer: largePerLayer, SlotsPerRank: 3, MaxNewPerLayer: 1,
	ExpertMegabytes: 73, LinkMbps: 44000, WorkShare: 0.85,
}

// TestServeLargeGroup is no test: it is the process that serves the ranks of a large
// group, and the agents of all ranks but rank 0, until its input ends. So a benchmark
// sees the processor time of the holder alone.
func TestServeLargeGroup(t *testing.T) {
	if os.Getenv(largeGroupVariable) == "" {
		t.Skip("serves the benchmarks")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	group := platformtest.NewGroup(largeRanks, largeLayers, largePerLayer)
	var addresses []string
	for rank := range largeRanks {
		address, stop := group.Serve(rank, hostOf(rank), rankPort)
		defer stop()
		addresses = append(addresses, address)
		if rank > 0 {
			defer serveLargeAgent(ctx, rank, address)()
		}
	}
	go func() {
		rng := rand.New(rand.NewPCG(1, 0))
		for ctx.Err() == nil {
			for rank := range largeRanks {
				for i := range largeLayers * largePerLayer {
					popularity := math.Pow(float64(1+i%largePerLayer), -0.63)
					group.AddCount(rank, i, uint64(1000*popularity*rng.ExpFloat64()))
				}
			}
			group.StartStep()
			time.Sleep(largeStep)
		}
	}()
	require.NoError(t, json.NewEncoder(os.Stdout).Encode(addresses))
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// serveLargeAgent serves the agent of a rank and returns a function that stops it.
func serveLargeAgent(ctx context.Context, rank int, address string) (stop func()) {
	agent := NewAgent(platform.NewRankClient(address), zerolog.Nop())
	go func() {
		for ctx.Err() == nil {
			if s, err := agent.rank.State(ctx); err == nil {
				agent.updateIdentity(s)
				agent.pollCounts(ctx, s.StartedUnixMs)
			}
			clock.Sleep(ctx, watchInterval)
		}
	}()
	return serveTestAgent(agent, fmt.Sprintf("%s:%d", hostOf(rank), agentPort))
}

// largeGroup is a large group in another process, with its holder in this one.
type largeGroup struct {
	holder *holder
	// bytes counts what the holder sends to the agents and receives from them.
	bytes atomic.Int64
}

// startLargeGroup starts the process of a large group and the holder beside rank 0.
func startLargeGroup(b testing.TB) *largeGroup {
	command := exec.Command(os.Args[0], "-test.run=^TestServeLargeGroup$")
	command.Env = append(os.Environ(), largeGroupVariable+"=1")
	input, err := command.StdinPipe()
	require.NoError(b, err)
	output, err := command.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, command.Start())
	b.Cleanup(func() {
		_ = input.Close()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(output).ReadBytes('\n')
	require.NoError(b, err)
	var addresses []string
	require.NoError(b, json.Unmarshal(line, &addresses))
	return newLargeGroup(b, addresses)
}

// newLargeGroup returns the holder beside rank 0 of a group with the given addresses.
func newLargeGroup(b testing.TB, addresses []string) *largeGroup {
	agent := NewAgent(platform.NewRankClient(addresses[0]), zerolog.Nop())
	o := Options{Log: zerolog.Nop(), Settings: platform.Settings{PeerPort: agentPort, LinkBytesPerSecond: 1e6}}
	l := &largeGroup{}
	group := newGroupClient(o, agent, nil)
	dial := group.dial
	group.dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		return &countedConn{Conn: c, bytes: &l.bytes}, err
	}
	group.engine = &fleet.Engine{StepTime: 6 * time.Millisecond, StepTimePerRequest: 800 * time.Microsecond, StepsPerPass: 8, Experts: &largeExperts}
	for rank, address := range addresses {
		group.domains[rank] = fmt.Sprintf("domain-%d", rank%3)
		if rank > 0 {
			group.addPeer(&fleet.Server{Address: address, Rank: rank})
		}
	}
	e := newElection(nil, "holder", zerolog.Nop())
	e.recordClaim(platform.Position{Offset: 7}, true)
	l.holder = &holder{group: group, agent: agent, election: e, log: zerolog.Nop(), planner: newPlanner()}
	// The benchmarks measure calls, not plans: the planner never has enough counts.
	l.holder.planner.observations = -1e18
	_, err := agent.read(b.Context(), &pb.ReadRankRequest{})
	require.NoError(b, err)
	l.holder.startTerm(7)
	// The members need no reading from the store.
	group.refreshedAt = clock.Now().Add(time.Hour)
	l.until(b, switchover.Idle)
	return l
}

// countedConn is a connection that counts its bytes.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// until runs rounds until a phase.
func (l *largeGroup) until(b testing.TB, phase switchover.Phase) {
	deadline := time.Now().Add(20 * time.Second)
	for l.holder.phase != phase {
		require.True(b, time.Now().Before(deadline), "still %s", l.holder.phase)
		start := time.Now()
		clock.Sleep(b.Context(), max(l.holder.roundIfHolder(b.Context())-time.Since(start), minWait))
	}
}

// processorTime returns the processor time that this process has used.
func processorTime(b testing.TB) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measure reports the processor time and the bytes of the holder for each run of f.
func (l *largeGroup) measure(b *testing.B, f func()) {
	cpu, bytes, runs := processorTime(b), l.bytes.Load(), 0
	for b.Loop() {
		f()
		runs++
	}
	b.ReportMetric(float64((processorTime(b)-cpu).Microseconds())/1000/float64(runs), "cpu-ms/op")
	b.ReportMetric(float64(l.bytes.Load()-bytes)/1000/float64(runs), "KB/op")
}

// BenchmarkIdleRound measures a round in which the holder reads the states and the counts
// of 72 ranks.
func BenchmarkIdleRound(b *testing.B) {
	l := startLargeGroup(b)
	round := func() {
		start := time.Now()
		wait := l.holder.roundIfHolder(b.Context())
		clock.Sleep(b.Context(), wait-time.Since(start))
	}
	for range warmUpRounds {
		round()
	}
	l.measure(b, round)
}

// BenchmarkSwitch measures a switch of the map of 72 ranks: one expert of each layer
// changes on half of the ranks.
func BenchmarkSwitch(b *testing.B) {
	l := startLargeGroup(b)
	maps := largeMaps(l.holder.group.failureDomains())
	var arming time.Duration
	next := 0
	l.measure(b, func() {
		h := l.holder
		require.True(b, h.coordinator.Submit(h.version+1, maps[next%2]))
		next++
		h.version++
		h.switchStart, h.phase = clock.Now(), switchover.Preparing
		l.until(b, switchover.Idle)
		arming += h.armedAt.Sub(h.preparedAt)
	})
	b.ReportMetric(float64(arming.Milliseconds())/float64(next), "arm-ms/op")
}

// largeMaps returns two maps that differ in one expert of each layer on half of the ranks.
func largeMaps(domains []string) [2]*experts.Map {
	t := topology(&largeExperts, domains)
	initial, _ := mapdelta.Initial(largeLayers, largeRanks, largePerLayer)
	var maps [2]*experts.Map
	for i := range maps {
		maps[i] = &experts.Map{}
		for _, layer := range initial {
			slots := make(experts.Layer, t.Slots())
			for rank, list := range layer {
				first := rank * t.SlotsPerRank
				slots[first], slots[first+1], slots[first+2] = experts.Expert(list[0]), experts.Expert(list[1]), experts.EmptySlot
				if rank%2 == i {
					slots[first+2] = experts.Expert((rank + 5) % largeRanks)
				}
			}
			maps[i].Layers = append(maps[i].Layers, slots)
		}
	}
	return maps
}

// BenchmarkEncodeMap measures the orders to prepare a map for 72 ranks, as changes of the
// last map.
func BenchmarkEncodeMap(b *testing.B) {
	agent := NewAgent(nil, zerolog.Nop())
	agent.identity = identity{group: "g", size: largeRanks}
	g := newGroupClient(Options{Log: zerolog.Nop()}, agent, nil)
	var responses []*pb.ReadRankResponse
	for rank := range largeRanks {
		responses = append(responses, &pb.ReadRankResponse{Rank: uint32(rank), KnownMap: 1, AcceptsChanges: true})
	}
	g.maps.observe(responses)
	t := topology(&largeExperts, make([]string, largeRanks))
	maps := largeMaps(t.Domains)
	g.maps.add(1, expertLists(t, maps[0]))
	version := int64(1)
	for b.Loop() {
		version++
		target := maps[1].Clone()
		var orders []switchover.Order
		for rank := range largeRanks {
			orders = append(orders, switchover.Order{Rank: rank, Kind: switchover.Prepare, Version: version, Map: &target})
		}
		encoded := g.encodeOrders(orders, switchover.Holder{}, 1, t)
		b.ReportMetric(float64(proto.Size(encoded[0].request)), "bytes/order")
	}
}
