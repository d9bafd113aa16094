package table

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/zeebo/xxh3"

	"github.com/filbertmux/filbertmux/base/infra"
)

// Digest is the xxh3 hash of a State.
type Digest uint64

// MarshalText implements encoding.TextMarshaler. JSON numbers lose precision
// above 2^53 in some readers, so the digest is 16 hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) { return fmt.Appendf(nil, "%016x", uint64(d)), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(b []byte) error {
	v, err := strconv.ParseUint(string(b), 16, 64)
	if err != nil {
		return errors.Wrap(err, "digest")
	}
	*d = Digest(v)
	return nil
}

// digestSum is the sum of the xxh3 hashes of all elements of the state. A sum
// can be updated in constant time for each change, whereas hashing the whole
// state takes milliseconds with 1,100 organisations.
type digestSum uint64

func (s digestSum) digest(offset infra.Offset) Digest {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(s))
	binary.LittleEndian.PutUint64(b[8:], uint64(offset))
	return Digest(xxh3.Hash(b[:]))
}

func (s *digestSum) add(key Key, e Entry) { *s += rowHash(key, e) }
func (s *digestSum) sub(key Key, e Entry) { *s -= rowHash(key, e) }

func (s *digestSum) addVerdict(v Verdict) { *s += elementHash("verdict", v) }
func (s *digestSum) subVerdict(v Verdict) { *s -= elementHash("verdict", v) }

func (s *digestSum) addDeletion(key Key, at infra.Offset) {
	*s += elementHash("deletion", deletion{key, at})
}

func (s *digestSum) subDeletion(key Key, at infra.Offset) {
	*s -= elementHash("deletion", deletion{key, at})
}

// rowHash returns the hash of a row, or 0 if the row does not exist.
func rowHash(key Key, e Entry) digestSum {
	if e.Version == 0 {
		return 0
	}
	return elementHash("row "+key.String(), e)
}

func elementHash(label string, element any) digestSum {
	data, err := json.Marshal(element)
	if err != nil {
		// Unreachable: the element types contain only strings, booleans and
		// finite numbers.
		panic("table: encode element: " + err.Error())
	}
	return digestSum(xxh3.HashSeed(data, xxh3.HashString(label)))
}
