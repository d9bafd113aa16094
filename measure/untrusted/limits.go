package untrusted

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// PeakMemoryMB returns the highest resident memory of a process so far, in MiB.
func PeakMemoryMB(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10, err
		}
	}
	return 0, fmt.Errorf("the peak of the resident memory of process %d isn't known", pid)
}

// Sockets returns the number of open sockets of a process.
func Sockets(pid int) (int, error) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, err
	}
	count := 0
	for _, e := range entries {
		// A descriptor that was closed meanwhile has no target.
		if target, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count, nil
}
