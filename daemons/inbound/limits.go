package inbound

import (
	"time"

	"github.com/filbertmux/filbertmux/serve/bytebudget"
	"github.com/filbertmux/filbertmux/serve/connlimit"
)

const (
	// baseBytes is what a process takes without requests: its program, of which the
	// larger part is in memory, and the data of its tasks.
	baseBytes = 32 << 20
	// programBytes is the part of it that the runtime doesn't count.
	programBytes = 24 << 20
	// minWorkBytes is what is divided if the memory limit leaves less.
	minWorkBytes = 16 << 20
	// softLimitShare is the part of the memory beside the program that the runtime may
	// use. The rest is for bytes that the kernel holds, and for what is allocated while
	// the garbage collector runs.
	softLimitShare = 0.85
	// connectionShare and requestShare are the parts of the memory beside baseBytes that
	// connections without a request and requests with their bodies may take. The rest is
	// for the garbage collector.
	connectionShare = 0.25
	requestShare    = 0.375
	// unreadShare is the part of it that the kernel may hold of clients that aren't read
	// at the moment: those whose claims wait, and those that pipeline requests.
	unreadShare = 1.0 / 16
	// reserveShare is the part of the bytes of requests that only small ones use.
	reserveShare = 1.0 / 8
	// headShare is the part of the bytes of requests that unfinished heads may take in
	// addition.
	headShare = 1.0 / 8

	// connectionBytes is what a connection without a request takes: two buffers of net/http
	// (4 KiB each), a stack (8 KiB), the socket and what describes it.
	connectionBytes = 24 << 10
	// requestBytes is what a request in progress takes beside its body: its head, once as it
	// was read and once as it is sent on, another stack (8 KiB), and the buffers of the
	// connection to a server (12 KiB) and of the response (8 KiB).
	requestBytes = 40 << 10
	// BlockBytes is the size of the blocks in which bodies are read and kept.
	BlockBytes = 32 << 10
	// smallReceiveBytes is the receive buffer of a connection. The kernel holds twice as
	// many bytes at most. A window of this size takes 28 Mbit/s, the slowest link of
	// clients, at round trips of up to 9 ms. Smaller buffers stall on the loopback device,
	// whose segments have 64 KiB.
	smallReceiveBytes = 32 << 10
	// largeReceiveBytes is the receive buffer while a body is read that is larger than a
	// block. It takes 28 Mbit/s at round trips of up to 37 ms, and all that the smallest
	// instance gets, 36 MB/s, at round trips of up to 3.6 ms.
	largeReceiveBytes = 128 << 10
	// sendBytes is the send buffer of a connection. It holds what a client reads slowly.
	sendBytes = 128 << 10

	// minBodyRate is 1% of the slowest link of clients (28 Mbit/s), in bytes per second.
	minBodyRate = 32 << 10
	// rateWindow is the time over which the rate is measured. It is the time that a client
	// has for the head of its request.
	rateWindow = 3 * time.Second
	// stallTimeout is longer than two retransmissions of a lost packet.
	stallTimeout = 500 * time.Millisecond
	// displaceAfter leaves requests in progress some time to end by themselves.
	displaceAfter = 200 * time.Millisecond
	// maxWait ends before clients go away, which they do after a second.
	maxWait = 800 * time.Millisecond
	// minWaiting is the least number of requests that may wait for memory.
	minWaiting = 64
)

// Limits is how the memory and the connections of a process are divided.
type Limits struct {
	Budget      bytebudget.Config
	Connections connlimit.Config
}

// SoftMemoryLimit returns the soft memory limit of the runtime for a process with a memory
// limit, both in bytes.
func SoftMemoryLimit(memory int64) int64 {
	return int64(softLimitShare * float64(max(memory-programBytes, minWorkBytes)))
}

// FewConnections is the bound of a server for few clients, such as the platform's checks.
func FewConnections(n int) connlimit.Config {
	return connlimit.Config{Max: n, MaxPipelined: n, MaxHeadBytes: int64(n) * connectionBytes}
}

// Divide divides the memory of a process, in bytes. maxConnections is the number of
// connections of clients for which it has descriptors.
func Divide(memory int64, maxConnections int) Limits {
	work := float64(max(memory-baseBytes, minWorkBytes))
	total := int64(requestShare * work)
	unread := int(unreadShare * work / (2 * smallReceiveBytes))
	return Limits{
		Budget: bytebudget.Config{
			Total:         total,
			Reserve:       int64(reserveShare * float64(total)),
			Small:         requestBytes + smallHeadBytes + BlockBytes,
			MinRate:       minBodyRate,
			Window:        rateWindow,
			StallTimeout:  stallTimeout,
			DisplaceAfter: displaceAfter,
			MaxWait:       maxWait,
			MaxWaiting:    max(unread, minWaiting),
		},
		Connections: connlimit.Config{
			Max:          min(maxConnections, int(connectionShare*work/connectionBytes)),
			MaxPipelined: unread,
			MaxHeadBytes: int64(headShare * float64(total)),
		},
	}
}
