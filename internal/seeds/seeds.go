// Package seeds chooses the seeds of randomised tests, so that continuous
// integration runs a fixed set, a soak run more of them, and a failing run can
// be replayed alone.
package seeds

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// Environment variables. One replays a single seed, the other sets the number
// of seeds from 1 on.
const (
	oneSeed   = "FILBERTMUX_SEED"
	seedCount = "FILBERTMUX_SEEDS"
)

// Of returns the seeds 1 to n, unless an environment variable says otherwise.
func ForTest(t testing.TB, n int) []uint64 {
	t.Helper()
	if seed, ok := lookup(t, oneSeed); ok {
		return []uint64{seed}
	}
	if count, ok := lookup(t, seedCount); ok {
		n = int(count)
	}
	list := make([]uint64, n)
	for i := range list {
		list[i] = uint64(i) + 1
	}
	return list
}

// Replay returns the command that runs the present test with one seed.
func ReplayCommand(t testing.TB, pkg string, seed uint64) string {
	return fmt.Sprintf("replay: %s=%d go test ./%s -run '^%s$'", oneSeed, seed, pkg, t.Name())
}

func lookup(t testing.TB, name string) (uint64, bool) {
	text := os.Getenv(name)
	if text == "" {
		return 0, false
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil || value == 0 {
		t.Fatalf("%s=%q: want a whole number from 1", name, text)
	}
	return value, true
}
