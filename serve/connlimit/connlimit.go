// Package connlimit decides which connections of clients a process closes, so that it stays
// within its descriptors and its memory while it accepts new ones all the time.
//
// The package is deterministic, without goroutines and I/O. A Table isn't safe for
// concurrent use. All methods take constant time.
package connlimit

// State is what a connection is used for.
type State uint8

// States.
const (
	// Head means that the head of a request is unfinished, or that nothing has arrived
	// yet.
	Head State = iota
	// Busy means that a request is in progress.
	Busy
	// Pipelined means that a request is in progress and bytes of the next one have arrived,
	// which the process doesn't read yet.
	Pipelined
	// Idle means that the connection waits for the next request.
	Idle
	// Closing means that the last response has been sent, and the rest of its request is
	// dropped.
	Closing

	stateCount
)

// String returns the name of s in metrics and logs.
func (s State) String() string {
	return [stateCount]string{"head", "busy", "pipelined", "idle", "closing"}[s]
}

// Config holds the bounds of a table.
type Config struct {
	// Max is the number of connections.
	Max int
	// MaxPipelined is the number of connections in the state Pipelined.
	MaxPipelined int
	// MaxHeadBytes is what all unfinished heads together may take.
	MaxHeadBytes int64
}

// Table holds the open connections. T is the type of the value that a connection carries
// for its owner.
type Table[T any] struct {
	cfg Config
	// lists holds the sentinels of the lists by state. Each list is in the order in which
	// its connections entered the state.
	lists     [stateCount]Conn[T]
	sizes     [stateCount]int
	total     int
	headBytes int64
}

// Conn is a connection in a table.
type Conn[T any] struct {
	Value T

	table      *Table[T]
	state      State
	next, prev *Conn[T]
	// headBytes is what the unfinished head takes.
	headBytes int64
	removed   bool
}

// New returns an empty table.
func New[T any](cfg Config) *Table[T] {
	t := &Table[T]{cfg: cfg}
	for s := range t.lists {
		t.lists[s].next, t.lists[s].prev = &t.lists[s], &t.lists[s]
	}
	return t
}

// Add adds a connection in the state Head.
func (t *Table[T]) Add(value T) *Conn[T] {
	c := &Conn[T]{Value: value, table: t}
	t.total++
	c.link(Head)
	return c
}

// Len returns the number of connections.
func (t *Table[T]) Len() int { return t.total }

// Count returns the number of connections in a state.
func (t *Table[T]) Count(s State) int { return t.sizes[s] }

// TakeExcess removes a connection that has to be closed and returns it, or nil if the table
// is within its bounds. Beyond Max these are, in this order, those that are being closed
// anyway, those that have been idle longest, and those with the oldest unfinished head.
// Connections with a request in progress are closed only if their clients pipeline requests.
func (t *Table[T]) TakeExcess() *Conn[T] {
	c := t.excess()
	if c != nil {
		c.Remove()
	}
	return c
}

func (t *Table[T]) excess() *Conn[T] {
	if t.sizes[Pipelined] > t.cfg.MaxPipelined {
		return t.oldest(Pipelined)
	}
	if t.headBytes > t.cfg.MaxHeadBytes {
		return t.oldest(Head)
	}
	if t.total <= t.cfg.Max {
		return nil
	}
	for _, s := range []State{Closing, Idle, Head} {
		if t.sizes[s] > 0 {
			return t.oldest(s)
		}
	}
	return nil
}

func (t *Table[T]) oldest(s State) *Conn[T] { return t.lists[s].next }

// State returns the state of the connection.
func (c *Conn[T]) State() State { return c.state }

// SetState records what the connection is used for from now on. It has no effect after
// Remove.
func (c *Conn[T]) SetState(s State) {
	if c.removed || c.state == s {
		return
	}
	c.unlink()
	c.dropHead()
	c.link(s)
}

// AddHeadBytes records that the unfinished head takes n more bytes.
func (c *Conn[T]) AddHeadBytes(n int64) {
	if !c.removed && c.state == Head {
		c.headBytes += n
		c.table.headBytes += n
	}
}

// Remove removes the connection. Further calls have no effect.
func (c *Conn[T]) Remove() {
	if c.removed {
		return
	}
	c.unlink()
	c.dropHead()
	c.removed = true
	c.table.total--
}

func (c *Conn[T]) dropHead() {
	c.table.headBytes -= c.headBytes
	c.headBytes = 0
}

// link appends the connection to the list of a state.
func (c *Conn[T]) link(s State) {
	sentinel := &c.table.lists[s]
	c.state, c.next, c.prev = s, sentinel, sentinel.prev
	c.prev.next, c.next.prev = c, c
	c.table.sizes[s]++
}

func (c *Conn[T]) unlink() {
	c.next.prev, c.prev.next = c.prev, c.next
	c.table.sizes[c.state]--
}
