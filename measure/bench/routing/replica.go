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
	maxBatch            = 96
	decodeStepBase      = 25 * time.Millisecond
	decodeStepPerStream = 350 * time.Microsecond
	prefillPerSec       = 10000.0
	cachedPrefixes      = 60
)

// job is one request.
type job struct {
	prefix       uint64
	prefixTokens float64
	promptTokens float64
	outputTokens float64
	// onFirstToken and onFinish are called at the first token and at the end.
	onFirstToken func(hit bool)
	onFinish     func()
}

// replica models an engine. A job waits for a stream slot and then for its
// prefill, which is sequential; then it decodes in a batch with the others. The
// replica has an LRU prefix cache.
type replica struct {
	clock *clock
	// slowdown is a factor on all service times.
	slowdown float64
	streams  int
	waiting  []*job
	// prefillFreeAt is the time at which the prefill of all started jobs ends.
	prefillFreeAt time.Time
	cache         *list.List
	cached        map[uint64]*list.Element
}

func newReplica(c *clock, slowdown float64) *replica {
	return &replica{clock: c, slowdown: slowdown, cache: list.New(), cached: make(map[uint64]*list.Element)}
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
	hit := r.lookUpOrCache(j.prefix)
	tokens := j.promptTokens + j.prefixTokens
	if hit {
		tokens = j.promptTokens
	}
	begin := r.clock.now
	if r.prefillFreeAt.After(begin) {
		begin = r.prefillFreeAt
	}
	r.prefillFreeAt = begin.Add(seconds(tokens / prefillPerSec * r.slowdown))
	first := r.prefillFreeAt.Add(r.decodeStep()).Sub(r.clock.now)
	r.clock.after(first, func() {
		j.onFirstToken(hit)
		// The model assumes that the batch size stays the same for the rest of
		// the stream.
		decode := time.Duration(j.outputTokens * float64(r.decodeStep()))
		r.clock.after(decode, func() { r.finish(j) })
	})
}

func (r *replica) finish(j *job) {
	r.streams--
	j.onFinish()
	if len(r.waiting) > 0 {
		next := r.waiting[0]
		r.waiting = r.waiting[1:]
		r.start(next)
	}
}

// decodeStep returns the time between two tokens of a stream.
func (r *replica) decodeStep() time.Duration {
	step := decodeStepBase + time.Duration(r.streams)*decodeStepPerStream
	return time.Duration(float64(step) * r.slowdown)
}

// lookUpOrCache reports whether a prefix was cached, and caches it if not.
func (r *replica) lookUpOrCache(prefix uint64) bool {
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

// load returns the load that the sidecar reports.
func (r *replica) load() decide.Load {
	wait := max(0, r.prefillFreeAt.Sub(r.clock.now))
	if len(r.waiting) > 0 {
		// Queued jobs start at the rate at which streams end.
		stream := time.Duration(meanOutput * float64(r.decodeStep()))
		wait += stream * time.Duration(len(r.waiting)) / maxBatch
	}
	return decide.Load{
		InFlight: r.streams + len(r.waiting),
		Queued:   len(r.waiting),
		Latency:  wait + r.decodeStep(),
	}
}
