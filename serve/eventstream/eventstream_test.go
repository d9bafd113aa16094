package eventstream_test

import (
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/serve/eventstream"
)

func split(t require.TestingT, parts ...string) (events, ids []string, buffered int) {
	var s eventstream.Splitter
	for _, p := range parts {
		s.Write([]byte(p))
		for {
			e, ok, err := s.Next()
			require.NoError(t, err)
			if !ok {
				break
			}
			events = append(events, string(e.Raw))
			ids = append(ids, e.ID)
		}
	}
	return events, ids, s.Buffered()
}

// Guards against events that depend on how the stream was divided into reads.
func TestSplitIsIndependentOfReads(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nx-weights: 3\nid: 3\ndata: c\n\nid: 4\nda"
	want := []string{"id: 1\ndata: a\n\n", "id:2\r\ndata: b\r\n\r\n", "x-weights: 3\nid: 3\ndata: c\n\n"}
	rapid.Check(t, func(t *rapid.T) {
		var parts []string
		unread := stream
		for unread != "" {
			n := rapid.IntRange(1, len(unread)).Draw(t, "n")
			parts = append(parts, unread[:n])
			unread = unread[n:]
		}
		events, ids, left := split(t, parts...)
		require.Equal(t, want, events)
		require.Equal(t, []string{"1", "2", "3"}, ids)
		require.Equal(t, len("id: 4\nda"), left)
	})
}

// Guards against unbounded memory for a stream without the end of an event.
func TestEventTooLarge(t *testing.T) {
	var s eventstream.Splitter
	s.Write([]byte(strings.Repeat("x", eventstream.MaxEventBytes+1)))
	_, _, err := s.Next()
	require.True(t, errkind.Is(err, errkind.StreamIncomplete))
}

// Guards against comments that count as events, that are lost, or that keep a stream
// alive without end.
func TestComments(t *testing.T) {
	events, ids, left := split(t, ": a\n\n:", "b\r\n\r\nid: 1\ndata: x\n\n: c\n\n", ": incomplete")
	require.Equal(t, []string{": a\n\n:b\r\n\r\nid: 1\ndata: x\n\n"}, events)
	require.Equal(t, []string{"1"}, ids)
	require.Equal(t, len(": incomplete"), left)

	var s eventstream.Splitter
	comment := []byte(": keep-alive\n\n")
	for sent := 0; sent <= eventstream.MaxEventBytes; sent += len(comment) {
		_, ok, err := s.Next()
		require.NoError(t, err)
		require.False(t, ok)
		s.Write(comment)
	}
	require.Greater(t, len(s.Comments()), 0)
	_, _, err := s.Next()
	require.True(t, errkind.Is(err, errkind.StreamIncomplete))
}

func event(id string) eventstream.Event { return eventstream.Event{ID: id} }

// Guards against an event that the caller gets twice or never when a stream whose ids
// jump is resumed at another server, which may repeat events first.
func TestProgressOfResumedStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		increments := rapid.SliceOfN(rapid.IntRange(1, 9), 1, 30).Draw(t, "increments")
		ids := make([]string, len(increments))
		last := rapid.IntRange(-5, 5).Draw(t, "first")
		for i, d := range increments {
			ids[i], last = strconv.Itoa(last), last+d
		}
		p := eventstream.NewProgress("")
		var got []string
		for next := 0; next < len(ids); {
			from := rapid.IntRange(0, next).Draw(t, "from")
			next = rapid.IntRange(next+1, len(ids)).Draw(t, "next")
			for _, id := range ids[from:next] {
				if p.Accept(event(id)) {
					got = append(got, id)
				}
			}
			require.Equal(t, ids[next-1], p.LastID())
		}
		require.Equal(t, ids, got)
		require.Equal(t, len(ids), p.Events())
	})
}

// Guards against a resumed request whose first events are dropped or refused.
func TestProgressOfResumedRequest(t *testing.T) {
	for _, next := range []string{"13", "17"} {
		p := eventstream.NewProgress("12")
		require.Equal(t, "12", p.LastID())
		require.False(t, p.Accept(event("9")))
		require.False(t, p.Accept(event("12")))
		require.True(t, p.Accept(event(next)))
	}
}

// Guards against events that are dropped from a stream without numeric ids.
func TestProgressWithoutNumericIDs(t *testing.T) {
	p := eventstream.NewProgress("")
	for _, id := range []string{"", "a", "b", "", "7", "c", "3"} {
		require.True(t, p.Accept(event(id)))
	}
	require.Equal(t, "3", p.LastID())
	require.Equal(t, 7, p.Events())
}

// FuzzSplitter guards against panics and against bytes that are lost.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid"), 3)
	f.Fuzz(func(t *testing.T, stream []byte, readSize int) {
		var s eventstream.Splitter
		total := 0
		readSize = max(1, min(readSize, len(stream)))
		for len(stream) > 0 {
			n := min(readSize, len(stream))
			s.Write(stream[:n])
			total += n
			stream = stream[n:]
			for {
				e, ok, err := s.Next()
				if err != nil || !ok {
					break
				}
				total -= len(e.Raw)
			}
		}
		require.Equal(t, total, s.Buffered())
	})
}
