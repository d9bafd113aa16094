package topicproof

import (
	"time"

	"github.com/zeebo/xxh3"
)

// Request asks the gateway at an address for a proof.
type Request struct {
	To     string
	Number uint64
}

// Asker decides whom a gateway asks for proofs, and when. It assigns the requests their
// numbers, by which it finds out when the request of a response was sent.
type Asker struct {
	pollers Pollers
	// next is the number of the next request. A response to a request of an earlier
	// incarnation of the process must not look like one to a request of this one, so the
	// first number is random.
	next uint64
	sent map[uint64]time.Time
	// last is the number of the last request, sent at lastAt. answered means that a response
	// to it arrived.
	last     uint64
	lastAt   time.Time
	answered bool
	turn     int
}

// NewAsker returns an asker that numbers its requests from a random first number on.
func NewAsker(firstNumber uint64) *Asker {
	return &Asker{next: firstNumber, sent: make(map[uint64]time.Time)}
}

// SetPollers replaces the pollers.
func (a *Asker) SetPollers(p Pollers) { a.pollers = p }

// Due returns the request that must be sent now, if any. The responders take turns, so that a
// gateway gets the youngest proof of several pollers within a few requests.
func (a *Asker) Due(now time.Time) (Request, bool) {
	responders := a.pollers.Responders
	if len(responders) == 0 || now.Sub(a.lastAt) < a.interval() {
		return Request{}, false
	}
	for number, at := range a.sent {
		if now.Sub(at) > MaxProofAge {
			// A proof that arrives so late would be too old.
			delete(a.sent, number)
		}
	}
	a.turn = (a.turn + 1) % len(responders)
	r := Request{To: responders[a.turn], Number: a.next}
	a.next++
	a.sent[r.Number] = now
	a.last, a.lastAt, a.answered = r.Number, now, false
	return r, true
}

func (a *Asker) interval() time.Duration {
	if a.answered || len(a.pollers.Responders) == 1 {
		return AskInterval
	}
	return AnswerTimeout
}

// Resolve returns when the request of a response was sent. It returns false if no such request
// was sent lately.
func (a *Asker) Resolve(number uint64) (time.Time, bool) {
	at, ok := a.sent[number]
	if ok && number == a.last {
		a.answered = true
	}
	return at, ok
}

// Digest is the digest of the newest record of each key of a topic. It doesn't depend on the
// order in which the records were read. The zero value is the one of no records.
type Digest struct {
	sum    uint64
	hashes map[string]uint64
}

// Set replaces the value of a key. An empty value deletes the key.
func (d *Digest) Set(key string, value []byte) {
	if d.hashes == nil {
		d.hashes = make(map[string]uint64)
	}
	d.sum -= d.hashes[key]
	delete(d.hashes, key)
	if len(value) > 0 {
		hash := xxh3.HashSeed(value, xxh3.HashString(key))
		d.hashes[key] = hash
		d.sum += hash
	}
}

// Sum returns the digest.
func (d *Digest) Sum() uint64 { return d.sum }
