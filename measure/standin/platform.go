package standin

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
	"golang.org/x/time/rate"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/infra"
)

// FaultsPath takes a JSON Faults value by PUT.
const FaultsPath = "/v1/faults"

const (
	defaultExpertBytes = 4096
	maxAppendBytes     = 4 << 20
	defaultReadLimit   = 1000
)

// PlatformConfig sets up a Platform. Zero values mean: no append limit,
// unlimited retention, no lag, no weight rate limit, the system clock.
type PlatformConfig struct {
	AppendsPerSecond float64
	Retention        time.Duration
	ListLag          time.Duration
	FetchesPerSecond float64
	ExpertBytes      int
	Now              func() time.Time
}

// Platform stands in for the log service, the instance list and the weight
// store. It serves their HTTP protocol and implements the Go interfaces.
type Platform struct {
	log     *logService
	list    *instanceList
	faults  *faultControl
	weights *rate.Limiter
	cfg     PlatformConfig
	mux     *http.ServeMux
}

var (
	_ infra.Log          = (*Platform)(nil)
	_ infra.InstanceList = (*Platform)(nil)
	_ infra.WeightStore  = (*Platform)(nil)
	_ http.Handler       = (*Platform)(nil)
)

// NewPlatform returns a healthy platform with empty streams.
func NewPlatform(cfg PlatformConfig) *Platform {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.ExpertBytes == 0 {
		cfg.ExpertBytes = defaultExpertBytes
	}
	fetches := rate.Inf
	if cfg.FetchesPerSecond > 0 {
		fetches = rate.Limit(cfg.FetchesPerSecond)
	}
	faults := &faultControl{}
	p := &Platform{
		log:     newLogService(cfg, faults),
		list:    &instanceList{lag: cfg.ListLag, now: cfg.Now},
		faults:  faults,
		weights: rate.NewLimiter(fetches, fetchBurst(cfg.FetchesPerSecond)),
		cfg:     cfg,
		mux:     http.NewServeMux(),
	}
	p.routes()
	return p
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f Faults) {
	if f.FetchesPerSecond > 0 {
		p.weights.SetLimitAt(p.cfg.Now(), rate.Limit(f.FetchesPerSecond))
		p.weights.SetBurstAt(p.cfg.Now(), fetchBurst(f.FetchesPerSecond))
	}
	p.faults.set(f)
}

// fetchBurst is the number of fetches that may come at once: those of one
// second, because that is the shortest Retry-After of a refusal.
func fetchBurst(perSecond float64) int { return max(1, int(perSecond)) }

// SetInstances replaces the instance list. Readers see it after the lag.
func (p *Platform) SetInstances(instances []infra.Instance) { p.list.set(instances) }

// Appends returns the number of records appended so far.
func (p *Platform) AppendCount() int64 { return p.log.appendCount() }

// Append implements infra.Log.
func (p *Platform) Append(ctx context.Context, stream string, data []byte) (infra.Offset, error) {
	return p.log.Append(ctx, stream, data)
}

// Read implements infra.Log.
func (p *Platform) Read(ctx context.Context, stream string, after infra.Offset, limit int, wait time.Duration) (infra.Batch, error) {
	return p.log.Read(ctx, stream, after, limit, wait)
}

// Instances implements infra.InstanceList.
func (p *Platform) Instances(context.Context) ([]infra.Instance, error) {
	faults := p.faults.get()
	if faults.ListDown {
		return nil, errkind.New(errkind.PlatformUnavailable, "instance list is down")
	}
	return p.list.get(faults.ListFrozen), nil
}

// Fetch implements infra.WeightStore. The bytes depend only on the
// arguments.
func (p *Platform) Fetch(_ context.Context, _ string, layer, expert int) ([]byte, error) {
	if p.faults.get().WeightsDown {
		return nil, errkind.New(errkind.PlatformUnavailable, "weight store is down")
	}
	if !p.weights.AllowN(p.cfg.Now(), 1) {
		return nil, errkind.New(errkind.PlatformRateLimited, "fetch rate of the weight store exceeded")
	}
	weights := make([]byte, p.cfg.ExpertBytes)
	if len(weights) >= 8 {
		binary.LittleEndian.PutUint32(weights, uint32(layer))
		binary.LittleEndian.PutUint32(weights[4:], uint32(expert))
	}
	return weights, nil
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Platform) routes() {
	p.mux.HandleFunc("POST "+infra.StreamPath+"{stream}", p.serveAppend)
	p.mux.HandleFunc("GET "+infra.StreamPath+"{stream}", p.serveRead)
	p.mux.HandleFunc("GET "+infra.InstancePath, p.serveInstances)
	p.mux.HandleFunc("PUT "+infra.InstancePath, p.servePutInstances)
	p.mux.HandleFunc("GET "+infra.WeightPath+"/{model}/{layer}/{expert}", p.serveWeights)
	p.mux.HandleFunc("PUT "+FaultsPath, p.servePutFaults)
}

func (p *Platform) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
	if err != nil {
		writeError(w, errkind.Wrap(errkind.RequestTooLarge, err, "append body"))
		return
	}
	offset, err := p.Append(r.Context(), r.PathValue("stream"), data)
	writeResult(w, infra.AppendResponse{Offset: offset}, err)
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		writeError(w, errkind.Wrap(errkind.InvalidRequest, err, "after"))
		return
	}
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 {
		limit = defaultReadLimit
	}
	waitMS, err := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if err != nil {
		waitMS = 0
	}
	wait := time.Duration(waitMS) * time.Millisecond
	batch, err := p.Read(r.Context(), r.PathValue("stream"), infra.Offset(after), limit, wait)
	writeResult(w, batch, err)
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	instances, err := p.Instances(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	tag, err := entityTag(instances)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, instances)
}

// entityTag identifies the content of an instance list.
func entityTag(instances []infra.Instance) (string, error) {
	data, err := json.Marshal(instances)
	if err != nil {
		return "", err
	}
	return strconv.Quote(strconv.FormatUint(xxh3.Hash(data), 16)), nil
}

func (p *Platform) servePutInstances(w http.ResponseWriter, r *http.Request) {
	var instances []infra.Instance
	if err := json.NewDecoder(r.Body).Decode(&instances); err != nil {
		writeError(w, errkind.Wrap(errkind.InvalidRequest, err, "instances"))
		return
	}
	p.SetInstances(instances)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) servePutFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		writeError(w, errkind.Wrap(errkind.InvalidRequest, err, "faults"))
		return
	}
	p.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveWeights(w http.ResponseWriter, r *http.Request) {
	layer, layerErr := strconv.Atoi(r.PathValue("layer"))
	expert, expertErr := strconv.Atoi(r.PathValue("expert"))
	if layerErr != nil || expertErr != nil {
		writeError(w, errkind.New(errkind.InvalidRequest, "layer and expert must be whole numbers"))
		return
	}
	weights, err := p.Fetch(r.Context(), r.PathValue("model"), layer, expert)
	if err != nil {
		writeError(w, err)
		return
	}
	_, _ = w.Write(weights)
}

// instanceList shows each new list after a lag.
type instanceList struct {
	mu      sync.Mutex
	lag     time.Duration
	now     func() time.Time
	visible []infra.Instance
	pending []pendingList
}

type pendingList struct {
	from      time.Time
	instances []infra.Instance
}

func (l *instanceList) set(instances []infra.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := append([]infra.Instance{}, instances...)
	l.pending = append(l.pending, pendingList{from: l.now().Add(l.lag), instances: list})
}

func (l *instanceList) get(frozen bool) []infra.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for !frozen && len(l.pending) > 0 && !now.Before(l.pending[0].from) {
		l.visible = l.pending[0].instances
		l.pending = l.pending[1:]
	}
	return append([]infra.Instance{}, l.visible...)
}
