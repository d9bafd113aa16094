// Package inbound bounds what the clients of a daemon take of its process: connections, and
// the memory of requests and their bodies. The decisions are those of packages connlimit and
// bytebudget; this package does the I/O around them.
//
// A daemon accepts connections through a Connections, and reads each request through a
// Memory. What both refuse has not run and never will.
package inbound

import (
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/serve/bytebudget"
)

const (
	// stepInterval is the time between two steps of the budget while bodies are received.
	stepInterval = 50 * time.Millisecond
	// maxStepTime is the longest time between two looks at the clock that counts. While the
	// process itself stands still, no client is slow.
	maxStepTime = 4 * stepInterval
)

// Memory divides the memory for requests among the clients of a process. It is safe for
// concurrent use.
type Memory struct {
	metrics *telemetry.Metrics
	total   int64

	mu     sync.Mutex
	budget *bytebudget.Budget[*Request]
	// blocks are free blocks. Their bytes and those that clients hold stay within the
	// budget together.
	blocks [][]byte
	// now is the time of the budget, which was lastNow on the clock.
	now     time.Time
	lastNow time.Time
	// timer runs the steps, while running is set.
	timer   *time.Timer
	running bool
	// ended counts the requests that were refused or ended since the last report, by reason.
	ended map[bytebudget.Reason]int
}

// NewMemory returns a Memory without requests.
func NewMemory(cfg bytebudget.Config, metrics *telemetry.Metrics) *Memory {
	now := time.Now()
	return &Memory{
		metrics: metrics, total: cfg.Total, budget: bytebudget.New[*Request](cfg),
		now: now, lastNow: now, ended: make(map[bytebudget.Reason]int),
	}
}

// Held returns the number of bytes that clients hold.
func (m *Memory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Held()
}

// budgetTime returns the time of the budget. The caller holds mu.
func (m *Memory) budgetTime() time.Time {
	now := time.Now()
	m.now = m.now.Add(min(now.Sub(m.lastNow), maxStepTime))
	m.lastNow = now
	return m.now
}

// step runs a step of the budget and tells the requests what it decided. The caller holds
// mu.
func (m *Memory) step() {
	out := m.budget.Step(m.budgetTime())
	for _, c := range out.Granted {
		c.Value.wakeUp()
	}
	for _, c := range out.Ended {
		m.ended[c.Reason()]++
		m.metrics.AddToLabelled("requests_ended_for_memory", "reason", c.Reason().String(), 1)
		c.Value.interrupt()
	}
}

// use is what the clients of a process take of its memory at one moment.
type use struct {
	held    int64
	free    int64
	waiting int
	// ended counts the requests that were refused or ended since the last call, by reason.
	ended map[bytebudget.Reason]int
}

// takeUse returns the current use, and starts to count anew.
func (m *Memory) takeUse() use {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := use{
		held: m.budget.Held(), free: int64(len(m.blocks)) * BlockBytes, waiting: m.budget.WaitingCount(), ended: m.ended,
	}
	m.ended = make(map[bytebudget.Reason]int)
	return u
}

// run runs the steps while bodies are received. The caller holds mu.
func (m *Memory) run() {
	if m.running {
		return
	}
	m.running = true
	if m.timer == nil {
		m.timer = time.AfterFunc(stepInterval, m.tick)
		return
	}
	m.timer.Reset(stepInterval)
}

func (m *Memory) tick() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.step()
	if m.running = m.budget.IsReceiving(); m.running {
		m.timer.Reset(stepInterval)
	}
}

// stepForWaiting runs a step after bytes were given back. The caller holds mu.
func (m *Memory) stepForWaiting() {
	if m.budget.WaitingCount() > 0 {
		m.step()
	}
}

// takeBlock returns a block whose bytes have been claimed. Smaller blocks aren't used again.
// The caller holds mu.
func (m *Memory) takeBlock(size int) []byte {
	defer m.dropBlocks()
	n := len(m.blocks)
	if size < BlockBytes || n == 0 {
		return make([]byte, size)
	}
	block := m.blocks[n-1]
	m.blocks = m.blocks[:n-1]
	return block
}

// putBlocks takes back blocks whose bytes have been given back. The caller holds mu.
func (m *Memory) putBlocks(blocks [][]byte) {
	for _, b := range blocks {
		if cap(b) == BlockBytes {
			m.blocks = append(m.blocks, b[:BlockBytes])
		}
	}
	m.dropBlocks()
}

// dropBlocks leaves free blocks to the garbage collector that don't fit beside what clients
// hold. The caller holds mu.
func (m *Memory) dropBlocks() {
	keep := int(max(m.budget.Free(), 0) / BlockBytes)
	if keep >= len(m.blocks) {
		return
	}
	clear(m.blocks[keep:])
	m.blocks = m.blocks[:keep]
}
