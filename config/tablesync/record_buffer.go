package tablesync

import "github.com/filbertmux/filbertmux/base/infra"

// Limits of the records that are buffered for peers.
const (
	maxRecentRecords = 1024
	maxRecentBytes   = 4 << 20
)

// recordBuffer holds the last applied records, without gaps.
type recordBuffer struct {
	records []infra.Record
	bytes   int
}

func (r *recordBuffer) add(record infra.Record) {
	r.records = append(r.records, record)
	r.bytes += len(record.Data)
	drop := 0
	for len(r.records)-drop > maxRecentRecords || r.bytes > maxRecentBytes {
		r.bytes -= len(r.records[drop].Data)
		drop++
	}
	if drop > 0 {
		// The copy lets the garbage collector free the dropped records.
		r.records = append([]infra.Record(nil), r.records[drop:]...)
	}
}

func (r *recordBuffer) reset() { *r = recordBuffer{} }

// after returns the records that follow offset, or false if the next one is not
// in the buffer. end is the offset of the last applied record.
func (r *recordBuffer) after(offset, end infra.Offset) ([]infra.Record, bool) {
	if offset >= end {
		return nil, true
	}
	if len(r.records) == 0 || r.records[0].Offset > offset+1 {
		return nil, false
	}
	return r.records[offset+1-r.records[0].Offset:], true
}

// at returns the record at the given offset, or false if it is not in the buffer.
func (r *recordBuffer) at(offset infra.Offset) (infra.Record, bool) {
	if len(r.records) == 0 || offset < r.records[0].Offset || offset > r.records[len(r.records)-1].Offset {
		return infra.Record{}, false
	}
	return r.records[offset-r.records[0].Offset], true
}
