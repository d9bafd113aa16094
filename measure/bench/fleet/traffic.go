package fleet

import "sync/atomic"

// Bytes on the wire. The first two are measured by
// TestBytesOnTheWire, the third is the JSON around a record.
const (
	// logRequestBytes is a read of the log without records, both directions,
	// HTTP headers included.
	logRequestBytes = 285
	// peerRequestBytes is a question to a peer without records.
	peerRequestBytes = 415
	recordBytes      = 80
)

// traffic counts the bytes that one process exchanges for the table.
type traffic struct{ bytes atomic.Int64 }

func (t *traffic) add(n int) { t.bytes.Add(int64(n)) }
