// Package bubble runs the tests of packages that use testing/synctest.
package bubble

import (
	"os"
	"runtime"
	"testing"
)

// Main is the body of a TestMain. It runs the package on one processor. With
// several, Go 1.26.8 crashes inside the race detector (tsan_rtl.cpp:346, or
// SIGSEGV) when timers of a synctest bubble fire. The detector still finds
// races: it compares the order of synchronisation, not simultaneous execution.
func Main(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
