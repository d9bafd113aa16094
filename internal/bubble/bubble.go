// Package bubble provides the TestMain of packages that use testing/synctest
// bubbles.
package bubble

import (
	"os"
	"runtime"
	"testing"
)

// Main is the body of a TestMain. It runs the tests with GOMAXPROCS=1, because
// with more, Go 1.26.8 crashes inside the race detector (tsan_rtl.cpp:346, or
// SIGSEGV) when timers of a synctest bubble fire. The detector still finds data
// races: it checks the happens-before order, not simultaneous execution.
func Main(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
