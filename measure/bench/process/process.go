// Package process measures the resource usage of running processes: processor
// time, resident memory, and bytes read and written, including sockets. It reads
// /proc and works on Linux only.
package process

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Cmd is the command filbertmux-bench process. It prints the resource usage of
// processes over a period.
type Cmd struct {
	PIDs []int         `arg:"" name:"pid" help:"Ids of the processes."`
	For  time.Duration `default:"30s" help:"How long to measure."`
}

// Run implements the kong command.
func (c *Cmd) Run() error {
	if c.For <= 0 {
		return errors.New("--for must be positive")
	}
	before := make(map[int]usage, len(c.PIDs))
	for _, pid := range c.PIDs {
		u, err := readUsage(pid)
		if err != nil {
			return err
		}
		before[pid] = u
	}
	time.Sleep(c.For)
	for _, pid := range c.PIDs {
		after, err := readUsage(pid)
		if err != nil {
			return err
		}
		printUsage(pid, before[pid], after, c.For)
	}
	return nil
}

func printUsage(pid int, before, after usage, elapsed time.Duration) {
	seconds := elapsed.Seconds()
	fmt.Printf("pid %d: %.2f%% of a core, %.1f MB resident, %.2f KB/s read, %.2f KB/s written\n",
		pid,
		100*(after.cpu-before.cpu).Seconds()/seconds,
		float64(after.residentBytes)/1e6,
		float64(after.readBytes-before.readBytes)/1e3/seconds,
		float64(after.writtenBytes-before.writtenBytes)/1e3/seconds)
}

// usage is the resource usage of a process. All values but residentBytes are
// totals since its start.
type usage struct {
	cpu           time.Duration
	residentBytes int64
	readBytes     int64
	writtenBytes  int64
}

// clockTicksPerSecond is the unit of processor times in /proc (USER_HZ), which
// is 100 on every architecture that Go supports on Linux.
const clockTicksPerSecond = 100

// Indexes of the fields after the command name in /proc/PID/stat, see proc(5).
const (
	statUserTime   = 11
	statSystemTime = 12
)

func readUsage(pid int) (usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return usage{}, errors.Wrapf(err, "process %d", pid)
	}
	// The command name is in parentheses and may contain spaces.
	_, rest, found := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if !found || len(fields) <= statSystemTime {
		return usage{}, errors.Errorf("process %d: unexpected stat line", pid)
	}
	user, userErr := strconv.ParseInt(fields[statUserTime], 10, 64)
	system, systemErr := strconv.ParseInt(fields[statSystemTime], 10, 64)
	if userErr != nil || systemErr != nil {
		return usage{}, errors.Errorf("process %d: unexpected times in stat line", pid)
	}
	u := usage{cpu: time.Duration(user+system) * time.Second / clockTicksPerSecond}
	kilobytes, err := readField(filepath.Join(dir, "status"), "VmRSS:")
	if err != nil {
		return usage{}, err
	}
	u.residentBytes = kilobytes * 1024
	if u.readBytes, err = readField(filepath.Join(dir, "io"), "rchar:"); err != nil {
		return usage{}, err
	}
	u.writtenBytes, err = readField(filepath.Join(dir, "io"), "wchar:")
	return u, err
}

// readField returns the number after name in the line of a file that begins with
// name.
func readField(path, name string) (int64, error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) >= 2 && fields[0] == name {
			return strconv.ParseInt(fields[1], 10, 64)
		}
	}
	return 0, errors.Errorf("%s: no field %s", path, name)
}
