// Package clock reads the clock that decisions about age rest on, and waits.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as a time after the Unix epoch. It goes on
// while the machine is suspended, which the monotonic clock behind time.Now
// does not, and it doesn't jump when the time of day is set. Values are only
// comparable on one machine.
func Now() time.Time {
	var ts unix.Timespec
	// The call fails only for a clock that the kernel doesn't have; CLOCK_BOOTTIME
	// exists since Linux 2.6.39.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}

// Sleep waits for d, or until ctx ends, and reports whether ctx still stands. It
// doesn't wait if d isn't positive.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
