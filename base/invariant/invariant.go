// Package invariant checks conditions that must always hold.
//
// In tests a violation panics. In a daemon it is counted and passed to a handler,
// and Check returns false so that the caller can fail the affected request without
// executing it. All functions are safe for concurrent use.
package invariant

import (
	"fmt"
	"sync/atomic"
	"testing"
)

// Handler receives the message of each violation.
type Handler func(message string)

var (
	handler    atomic.Pointer[Handler]
	violations atomic.Int64
)

// SetHandler sets the handler of this process. Without a handler, or in a test
// binary, a violation panics.
func SetHandler(h Handler) { handler.Store(&h) }

// Violations returns the number of violations since the process started.
func Violations() int64 { return violations.Load() }

// Check returns ok. If ok is false, it first records a violation with the
// formatted message.
func Check(ok bool, format string, args ...any) bool {
	if ok {
		return true
	}
	violations.Add(1)
	message := fmt.Sprintf(format, args...)
	h := handler.Load()
	if h == nil || testing.Testing() {
		panic("invariant violated: " + message)
	}
	(*h)(message)
	return false
}
