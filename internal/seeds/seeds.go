// Package seeds selects the seeds of randomised tests: continuous integration
// runs a fixed set, a soak run uses more, and a failing seed can be replayed
// alone.
package seeds

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

// Environment variables. seedVariable selects a single seed; seedCountVariable
// sets the number of seeds, starting from 1.
const (
	seedVariable      = "FILBERTMUX_SEED"
	seedCountVariable = "FILBERTMUX_SEEDS"
)

// ForTest returns the seeds 1 to n, unless an environment variable selects
// others.
func ForTest(t testing.TB, n int) []uint64 {
	t.Helper()
	if seed, ok := lookup(t, seedVariable); ok {
		return []uint64{seed}
	}
	if count, ok := lookup(t, seedCountVariable); ok {
		n = int(count)
	}
	list := make([]uint64, n)
	for i := range list {
		list[i] = uint64(i) + 1
	}
	return list
}

// ReplayCommand returns the command that runs the current test with one seed. pkg
// is the package directory relative to the module root.
func ReplayCommand(t testing.TB, pkg string, seed uint64) string {
	return fmt.Sprintf("replay: %s=%d go test ./%s -run '^%s$'", seedVariable, seed, pkg, t.Name())
}

func lookup(t testing.TB, name string) (uint64, bool) {
	text := os.Getenv(name)
	if text == "" {
		return 0, false
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil || value == 0 {
		t.Fatalf("%s=%q: want a positive integer", name, text)
	}
	return value, true
}
