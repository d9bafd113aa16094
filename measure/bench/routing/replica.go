package routing

import (
	"container/list"
	"time"

	decide "github.com/filbertmux/filbertmux/balance/routing"
)

// Parameters of the replica model. The design sizes (1,500 requests/s and
// 720,000 generated tokens/s on 600 replicas, 45 ms between tokens) give 480
// tokens a request and about 54 streams a replica.
const (
	maxBatch       = 96
	stepBase       = 25 * time.Millisecond
	stepPerStream  = 350 * time.Microsecond
	prefillPerSec  = 10000.0
	cachedPrefixes = 60
)

// job is one request of the load.
type job struct {
	prefix       uint64
	prefixTokens float64
	promptTokens float64
	outputTokens float64
	// first and last are called at the first token and at the end.
	first func(hit bool)
	last  func()
}

// replica models an engine: jobs wait for a stream slot, then for the prefill,
// which runs one at a time, then decode in a batch. It has an LRU prefix cache.
type replica struct {
	clock *clock
	// slowness multiplies all service times.
	slowness float64
	streams  int
	waiting  []*job
	// prefillFree is when the prefill of all started jobs ends.
	prefillFree time.Time
	cache       *list.List
	cached      map[uint64]*list.Element
}

func newReplica(c *clock, slowness float64) *replica {
	return &replica{clock: c, slowness: slowness, cache: list.New(), cached: make(map[uint64]*list.Element)}
}

func (r *replica) submit(j *job) {
	if r.streams >= maxBatch {
		r.waiting = append(r.waiting, j)
		return
	}
	r.start(j)
}

func (r *replica) start(j *job) {
	r.streams++
	hit := r.lookUp(j.prefix)
	tokens := j.promptTokens + j.prefixTokens
	if hit {
		tokens = j.promptTokens
	}
	begin := r.clock.now
	if r.prefillFree.After(begin) {
		begin = r.prefillFree
	}
	r.prefillFree = begin.Add(seconds(tokens / prefillPerSec * r.slowness))
	first := r.prefillFree.Add(r.step()).Sub(r.clock.now)
	r.clock.after(first, func() {
		j.first(hit)
		// The batch at this time stands for the batch during the stream.
		decode := time.Duration(j.outputTokens * float64(r.step()))
		r.clock.after(decode, func() { r.finish(j) })
	})
}

func (r *replica) finish(j *job) {
	r.streams--
	j.last()
	if len(r.waiting) > 0 {
		next := r.waiting[0]
		r.waiting = r.waiting[1:]
		r.start(next)
	}
}

// step is the time between two tokens of a stream.
func (r *replica) step() time.Duration {
	step := stepBase + time.Duration(r.streams)*stepPerStream
	return time.Duration(float64(step) * r.slowness)
}

// lookUp reports whether a prefix is cached, and caches it.
func (r *replica) lookUp(prefix uint64) bool {
	if e, ok := r.cached[prefix]; ok {
		r.cache.MoveToFront(e)
		return true
	}
	r.cached[prefix] = r.cache.PushFront(prefix)
	if r.cache.Len() > cachedPrefixes {
		oldest := r.cache.Back()
		r.cache.Remove(oldest)
		delete(r.cached, oldest.Value.(uint64))
	}
	return false
}

// load is what the sidecar reports.
func (r *replica) load() decide.Load {
	wait := max(0, r.prefillFree.Sub(r.clock.now))
	if len(r.waiting) > 0 {
		// Slots become free at the rate at which streams end.
		stream := time.Duration(meanOutput * float64(r.step()))
		wait += stream * time.Duration(len(r.waiting)) / maxBatch
	}
	return decide.Load{
		InFlight: r.streams + len(r.waiting),
		Queued:   len(r.waiting),
		Latency:  wait + r.step(),
	}
}
