package fleet

import "sync/atomic"

// Bytes on the wire. TestBytesOnTheWire checks the first two against the real
// protocols.
const (
	// logRequestBytes is the size of a log read that returns no records, both
	// directions, including HTTP headers.
	logRequestBytes = 285
	// peerRequestBytes is the size of a TableSince call that returns no records.
	peerRequestBytes = 415
	// recordBytes is the size of the JSON around the data of a record.
	recordBytes = 80
)

// traffic counts the bytes that one process exchanges for the table.
type traffic struct{ bytes atomic.Int64 }

func (t *traffic) add(n int) { t.bytes.Add(int64(n)) }
