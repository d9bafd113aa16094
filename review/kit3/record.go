package kit3

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to a file, with the seconds since an event.
// It is safe for concurrent use.
type Record struct {
	mu   sync.Mutex
	file *os.File
	zero time.Time
}

// NewRecord creates the file. Times count from now.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, zero: time.Now()}, nil
}

// SetZero makes later times count from an event.
func (r *Record) SetZero(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zero = at
}

// At adds a line about an event at a time.
func (r *Record) At(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", at.Sub(r.zero).Seconds(), fmt.Sprintf(format, args...))
}

// Now adds a line about an event that has just happened.
func (r *Record) Now(format string, args ...any) { r.At(time.Now(), format, args...) }

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
