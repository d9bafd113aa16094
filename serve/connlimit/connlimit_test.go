package connlimit_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/serve/connlimit"
)

func newTable(maxConns int) *connlimit.Table[int] {
	return connlimit.New[int](connlimit.Config{Max: maxConns, MaxPipelined: 2, MaxHeadBytes: 100})
}

// takeAll returns the values of the connections that have to be closed.
func takeAll(table *connlimit.Table[int]) (values []int) {
	for c := table.TakeExcess(); c != nil; c = table.TakeExcess() {
		values = append(values, c.Value)
	}
	return values
}

// Guards against the end of a connection with a request in progress or of a fresh idle one
// while older ones are left, and against new connections that find no place.
func TestOrderOfClosing(t *testing.T) {
	table := newTable(0)
	var conns []*connlimit.Conn[int]
	for i := range 8 {
		conns = append(conns, table.Add(i))
	}
	conns[0].SetState(connlimit.Busy)
	conns[1].SetState(connlimit.Pipelined)
	conns[5].SetState(connlimit.Idle)
	conns[2].SetState(connlimit.Idle)
	conns[6].SetState(connlimit.Closing)
	conns[3].SetState(connlimit.Head) // is in it already, and stays the oldest one
	require.Equal(t, []int{6, 5, 2, 3, 4, 7}, takeAll(table))
	require.Equal(t, 2, table.Len())
	require.Equal(t, 1, table.Count(connlimit.Pipelined))
}

// Guards against an idle time that counts from the first response of a connection.
func TestIdleTimeCountsFromLastRequest(t *testing.T) {
	table := newTable(1)
	first, second := table.Add(1), table.Add(2)
	for _, c := range []*connlimit.Conn[int]{first, second, first} {
		c.SetState(connlimit.Busy)
		c.SetState(connlimit.Idle)
	}
	require.Equal(t, []int{2}, takeAll(table))
}

// Guards against heads that are left unfinished and take the memory: many lines, or many
// connections.
func TestHeadBytesAreBounded(t *testing.T) {
	table := newTable(100)
	var conns []*connlimit.Conn[int]
	for i := range 5 {
		conns = append(conns, table.Add(i))
		conns[i].AddHeadBytes(20)
	}
	require.Empty(t, takeAll(table))
	conns[0].SetState(connlimit.Busy)
	conns[0].AddHeadBytes(1000)
	conns[4].AddHeadBytes(20)
	require.Empty(t, takeAll(table))
	conns[4].AddHeadBytes(1)
	require.Equal(t, []int{1}, takeAll(table))
}

// Guards against clients that send the next requests ahead, of which the kernel holds a
// buffer for each.
func TestRequestsAheadAreBounded(t *testing.T) {
	table := newTable(100)
	for i := range 4 {
		c := table.Add(i)
		c.SetState(connlimit.Busy)
		c.SetState(connlimit.Pipelined)
	}
	require.Equal(t, []int{0, 1}, takeAll(table))
}

// Guards against a table that counts a connection twice or exceeds its bounds although a
// connection could be closed.
func TestTableStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(10)
		open := make(map[int]*connlimit.Conn[int])
		for i := range rapid.IntRange(1, 200).Draw(t, "actions") {
			if i == 0 || rapid.Bool().Draw(t, "add") {
				open[i] = table.Add(i)
			}
			c := open[rapid.IntRange(0, i).Draw(t, "conn")]
			if c != nil {
				c.AddHeadBytes(rapid.Int64Range(0, 30).Draw(t, "head"))
				c.SetState(rapid.SampledFrom([]connlimit.State{
					connlimit.Head, connlimit.Busy, connlimit.Pipelined, connlimit.Idle, connlimit.Closing,
				}).Draw(t, "state"))
			}
			for _, value := range takeAll(table) {
				open[value].Remove()
				delete(open, value)
			}
			require.Equal(t, len(open), table.Len())
			require.LessOrEqual(t, table.Count(connlimit.Pipelined), 2)
			inProgress := table.Count(connlimit.Busy) + table.Count(connlimit.Pipelined)
			require.True(t, table.Len() <= 10 || table.Len() == inProgress)
		}
	})
}
