package groupcontrol_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the package on one processor. With several, Go 1.26.8 crashes
// inside the race detector (tsan_rtl.cpp:346, or SIGSEGV) when timers of a
// synctest bubble fire. The detector still finds races: it compares the order
// of synchronisation, not simultaneous execution.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
