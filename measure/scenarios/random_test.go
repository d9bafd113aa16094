package scenarios

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/filbertmux/filbertmux/internal/seeds"
)

// Guards against violations of the invariants under random faults of all kinds,
// several at once and also during recovery: a booking that runs twice, a not_run
// answer for a booking that ran, a truncated response that ends as if complete, a
// response to another request, a table that goes back, and a deployment that does
// not recover without an operator.
func TestRandomFaults(t *testing.T) {
	for _, seed := range seeds.ForTest(t, 2) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			scriptSlots <- struct{}{}
			defer func() { <-scriptSlots }()
			t.Logf("replay: FILBERTMUX_SEED=%d go test -race ./measure/scenarios -run 'TestRandomFaults'", seed)
			env := newEnvironment(t, t.TempDir())
			defer env.shutdown()
			r, err := newRandomRun(env, seed, !raceDetector)
			require.NoError(t, err)
			require.NoError(t, r.run(func() error { return r.round(t.Context(), 0, randomFaultSteps) }))
		})
	}
}
