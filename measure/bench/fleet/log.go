package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
)

// LogConfig describes the log service. Rates are per second; 0 is no limit.
type LogConfig struct {
	Retention  time.Duration
	AppendRate float64
	ReadRate   float64
	// LostAppendShare and LostReadShare are the shares of answers that never arrive.
	LostAppendShare float64
	LostReadShare   float64
}

// Log is a log service in memory, for virtual time. It is safe for concurrent
// use.
type Log struct {
	config  LogConfig
	appends *rate.Limiter
	reads   *rate.Limiter
	// onAppend receives each record in order, under the lock of the log.
	onAppend func(stream string, r infra.Record)

	mu      sync.Mutex
	rng     *rand.Rand
	streams map[string]*stream
	down    bool
	broken  chan struct{} // closed when an outage starts
	usage   usage
}

type stream struct {
	records []infra.Record
	oldest  infra.Offset
	changed chan struct{}
}

// usage counts the requests that reached the log.
type usage struct {
	reads, appends, refused int
	second                  int64
	inSecond, peak          int
}

func (u *usage) read(now time.Time) {
	u.reads++
	if s := now.Unix(); s != u.second {
		u.second, u.inSecond = s, 0
	}
	u.inSecond++
	u.peak = max(u.peak, u.inSecond)
}

// NewLog returns an empty log. rng is owned by the log afterwards.
func NewLog(c LogConfig, rng *rand.Rand) *Log {
	return &Log{
		config: c, appends: limiter(c.AppendRate), reads: limiter(c.ReadRate), rng: rng,
		streams: make(map[string]*stream), broken: make(chan struct{}),
	}
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

// SetDown starts or ends an outage. Requests in progress fail at its start.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if down && !l.down {
		close(l.broken)
	}
	if !down && l.down {
		l.broken = make(chan struct{})
	}
	l.down = down
}

// stream returns a stream; l.mu is held.
func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{oldest: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) end() infra.Offset {
	return s.oldest + infra.Offset(len(s.records)) - 1
}

func (s *stream) expire(before time.Time) {
	for len(s.records) > 0 && s.records[0].Time.Before(before) {
		s.records = s.records[1:]
		s.oldest++
	}
}

func unavailable(reason string) error {
	return errkind.New(errkind.PlatformUnavailable, "log: %s", reason)
}

// append adds a record. lost reports that the caller must not get the answer.
func (l *Log) append(name string, data []byte) (offset infra.Offset, lost bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.down {
		return 0, false, unavailable("outage")
	}
	l.usage.appends++
	if !l.appends.AllowN(now, 1) {
		l.usage.refused++
		return 0, false, errkind.New(errkind.PlatformRateLimited, "append rate").WithRetryAfter(time.Second)
	}
	s := l.stream(name)
	record := infra.Record{Offset: s.end() + 1, Time: now, Data: data}
	s.records = append(s.records, record)
	if l.onAppend != nil {
		l.onAppend(name, record)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return record.Offset, l.rng.Float64() < l.config.LostAppendShare, nil
}

// admit counts a read and applies the limit of reads.
func (l *Log) admit() (lost bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.down {
		return false, unavailable("outage")
	}
	l.usage.read(now)
	if !l.reads.AllowN(now, 1) {
		l.usage.refused++
		return false, errkind.New(errkind.PlatformRateLimited, "read rate").WithRetryAfter(time.Second)
	}
	return l.rng.Float64() < l.config.LostReadShare, nil
}

// read waits for records. cut ends the wait when the connection breaks.
func (l *Log) read(ctx context.Context, name string, after infra.Offset, limit int, wait time.Duration, cut <-chan struct{}) (infra.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		down, broken := l.down, l.broken
		s := l.stream(name)
		s.expire(time.Now().Add(-l.config.Retention))
		batch, err := s.batch(after, limit)
		changed := s.changed
		l.mu.Unlock()
		if down {
			return infra.Batch{}, unavailable("outage")
		}
		if err != nil || len(batch.Records) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-broken:
		case <-timer.C:
			return batch, nil
		case <-cut:
			return batch, nil // the client finds its connection broken
		case <-ctx.Done():
			return infra.Batch{}, unavailable("canceled")
		}
	}
}

func (s *stream) batch(after infra.Offset, limit int) (infra.Batch, error) {
	if after+1 < s.oldest {
		return infra.Batch{}, &infra.TrimmedError{Oldest: s.oldest, End: s.end()}
	}
	batch := infra.Batch{Oldest: s.oldest, End: s.end()}
	if after < s.end() {
		from := int(after + 1 - s.oldest)
		to := min(from+limit, len(s.records))
		batch.Records = s.records[from:to:to]
	}
	return batch, nil
}

// LinkMode is the state of a link.
type LinkMode int

// Modes of a link: Refuse answers each request with an error, Drop never
// answers. Requests in progress are lost at each change from Pass.
const (
	Pass LinkMode = iota
	Refuse
	Drop
)

// Link is the path from one process to the log. It is safe for concurrent use.
type Link struct {
	latency time.Duration // one way

	mu     sync.Mutex
	mode   LinkMode
	broken chan struct{} // closed when the mode leaves Pass
	passes chan struct{} // closed while the mode is Pass
}

// NewLink returns a link that passes everything after latency.
func NewLink(latency time.Duration) *Link {
	k := &Link{latency: latency, broken: make(chan struct{}), passes: make(chan struct{})}
	close(k.passes)
	return k
}

// SetMode changes the mode.
func (k *Link) SetMode(m LinkMode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.mode == Pass && m != Pass {
		close(k.broken)
		k.passes = make(chan struct{})
	}
	if k.mode != Pass && m == Pass {
		k.broken = make(chan struct{})
		close(k.passes)
	}
	k.mode = m
}

func (k *Link) passing() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.passes
}

func (k *Link) state() (LinkMode, chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mode, k.broken
}

// travel takes the latency. It fails if the connection is broken, with Swallow
// only when ctx ends.
func (k *Link) travel(ctx context.Context, broken <-chan struct{}) error {
	timer := time.NewTimer(k.latency)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return unavailable("canceled")
	}
	select {
	case <-broken:
	default:
		return nil
	}
	if mode, _ := k.state(); mode == Refuse {
		return unavailable("connection refused")
	}
	// A broken connection stays silent after the network is back.
	return silence(ctx)
}

func silence(ctx context.Context) error {
	<-ctx.Done()
	return unavailable("no answer")
}

// Client is the log as one process reaches it. It implements infra.Log.
type Client struct {
	Log  *Log
	Link *Link
	// DeliverDropped delivers appends that a link swallowed once the link passes again,
	// as a network may do with what it has buffered.
	DeliverDropped bool
	traffic        traffic
}

var _ infra.Log = (*Client)(nil)

// Append implements infra.Log.
func (c *Client) Append(ctx context.Context, name string, data []byte) (infra.Offset, error) {
	_, broken := c.Link.state()
	if err := c.Link.travel(ctx, broken); err != nil {
		if mode, _ := c.Link.state(); c.DeliverDropped && mode == Drop {
			go c.deliverLate(name, data)
		}
		return 0, err
	}
	c.traffic.add(logRequestBytes + len(data))
	offset, lost, err := c.Log.append(name, data)
	if lost {
		return 0, silence(ctx)
	}
	if broke := c.Link.travel(ctx, broken); broke != nil {
		return 0, broke
	}
	return offset, err
}

func (c *Client) deliverLate(name string, data []byte) {
	<-c.Link.passing()
	_, _, _ = c.Log.append(name, data)
}

// Read implements infra.Log.
func (c *Client) Read(ctx context.Context, name string, after infra.Offset, limit int, wait time.Duration) (infra.Batch, error) {
	_, broken := c.Link.state()
	c.traffic.add(logRequestBytes)
	if err := c.Link.travel(ctx, broken); err != nil {
		return infra.Batch{}, err
	}
	lost, err := c.Log.admit()
	var batch infra.Batch
	if err == nil {
		batch, err = c.Log.read(ctx, name, after, limit, wait, broken)
	}
	if lost {
		return infra.Batch{}, silence(ctx)
	}
	if broke := c.Link.travel(ctx, broken); broke != nil {
		return infra.Batch{}, broke
	}
	for _, r := range batch.Records {
		c.traffic.add(recordBytes + len(r.Data)*4/3)
	}
	return batch, err
}
