package tablesync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/base/infra"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/internal/seeds"
)

// TestReadersSurviveFaults runs readers through outages, slow phases, expiry
// and restarts. It guards against an offset that decreases, readers that
// disagree at an offset, and a reader that doesn't come back. The order of
// goroutines is not part of the seed, so a replay may need several attempts.
func TestReadersSurviveFaults(t *testing.T) {
	list := seeds.ForTest(t, 8)
	var total Stats
	for _, seed := range list {
		synctest.Test(t, func(t *testing.T) {
			t.Logf("seed %d; %s", seed, seeds.ReplayCommand(t, "config/tablesync", seed))
			runFaults(t, rand.New(rand.NewPCG(seed, 1)), &total)
		})
		require.False(t, t.Failed())
	}
	t.Logf("%d seeds: %+v", len(list), total)
}

func runFaults(t *testing.T, rng *rand.Rand, total *Stats) {
	const readers, steps = 6, 150
	f := newFleet(t)
	stops := make([]context.CancelFunc, readers)
	fleet := make([]*Syncer, readers)
	for i := range readers {
		fleet[i], stops[i] = f.start(f.log)
	}
	f.setReaders(fleet...)
	digests := make(map[infra.Offset]table.Digest)
	offsets := make([]infra.Offset, readers)
	published := 0
	for range steps {
		switch rng.IntN(8) {
		case 0:
			f.log.set(true, 0)
		case 1:
			f.log.set(false, time.Duration(rng.IntN(5000))*time.Millisecond)
		case 2, 3:
			f.log.set(false, 0)
		case 4:
			i := rng.IntN(readers)
			total.add(fleet[i].Stats())
			stops[i]()
			fleet[i], stops[i] = f.start(f.log)
			f.setReaders(fleet...)
			offsets[i] = 0
		default:
			_, err := f.log.Append(f.ctx, DefaultStream, classSet(t, fmt.Sprintf("c%d", published)))
			if err == nil {
				published++
			}
		}
		time.Sleep(time.Duration(rng.IntN(40)) * time.Second)
		for i, s := range fleet {
			offset, digest := s.Digest()
			require.GreaterOrEqual(t, offset, offsets[i])
			offsets[i] = offset
			if want, ok := digests[offset]; ok {
				require.Equal(t, want, digest, "offset %d", offset)
			}
			digests[offset] = digest
		}
	}
	f.log.set(false, 0)
	last := f.publish(fmt.Sprintf("c%d", published))
	for i, s := range fleet {
		ctx, cancel := context.WithTimeout(f.ctx, 2*time.Minute)
		require.NoError(t, s.Wait(ctx, last), "reader %d at offset %d of %d, %+v", i, s.Offset(), last, s.Stats())
		cancel()
		total.add(s.Stats())
		stops[i]()
	}
}

func (s *Stats) add(o Stats) {
	s.LogErrors += o.LogErrors
	s.PeerCatchUps += o.PeerCatchUps
	s.PeerErrors += o.PeerErrors
	s.SnapshotRestores += o.SnapshotRestores
	s.SnapshotsPublished += o.SnapshotsPublished
	s.SnapshotErrors += o.SnapshotErrors
	s.Table.Accepted += o.Table.Accepted
	s.Table.Snapshots += o.Table.Snapshots
}
