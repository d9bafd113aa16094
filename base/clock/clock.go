// Package clock provides the clock for decisions that depend on the age of data,
// and a sleep that can be canceled.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot as an offset from the Unix epoch. Unlike the
// monotonic clock of time.Now, it advances while the machine is suspended, and it
// does not jump when the wall clock is set. Values are only comparable on one
// host.
func Now() time.Time {
	var ts unix.Timespec
	// The call fails only if the kernel does not support the clock. CLOCK_BOOTTIME
	// exists since Linux 2.6.39.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Unix())
}

// Sleep waits for d or until ctx is done. It returns false if ctx is done. It
// returns immediately if d is not positive.
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
