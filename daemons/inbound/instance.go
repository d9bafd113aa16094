package inbound

import (
	"bufio"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors are for files; sockets share the others.
	reservedDescriptors = 200
	// minSockets is what is divided if the descriptors allow less.
	minSockets = 64
	// unknownMemory is the memory of an instance that doesn't tell it.
	unknownMemory = 256 << 20
)

// InstanceMemory returns the memory of the instance in bytes.
func InstanceMemory() int64 {
	file, err := os.Open("/proc/meminfo")
	if err != nil {
		return unknownMemory
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		value, ok := strings.CutPrefix(lines.Text(), "MemTotal:")
		if !ok {
			continue
		}
		kib, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		if err == nil {
			return kib << 10
		}
	}
	return unknownMemory
}

// Sockets returns the number of sockets that a process may have, of a number of descriptors.
// 0 descriptors stand for the limit of the process.
func Sockets(descriptors int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
		own := int(min(limit.Cur, 1<<20))
		if descriptors == 0 || own < descriptors {
			descriptors = own
		}
	}
	return max(descriptors-reservedDescriptors, minSockets)
}
