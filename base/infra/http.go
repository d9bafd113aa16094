package infra

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// Paths of the HTTP protocol. Append is POST StreamPath+stream with the record
// as body; Read is GET StreamPath+stream?after=&limit=&wait_ms=.
const (
	StreamPath   = "/v1/streams/"
	InstancePath = "/v1/instances"
	WeightPath   = "/v1/weights"
)

// maxResponseBytes bounds the size of a response from the platform.
const maxResponseBytes = 64 << 20

// AppendResponse is the JSON body of a successful append.
type AppendResponse struct {
	Offset Offset `json:"offset"`
}

// TrimmedResponse is the JSON body of a 410 response to a read.
type TrimmedResponse struct {
	Oldest Offset `json:"oldest"`
	End    Offset `json:"end"`
}

// HTTPClient implements Log, InstanceList and WeightStore over HTTP.
// It is safe for concurrent use.
type HTTPClient struct {
	baseURL *url.URL
	client  *http.Client

	mu    sync.Mutex
	cache instanceCache
}

// instanceCache is the last instance list with its entity tag. The list of 600
// backend servers has 119 kB, so an unchanged list is not transferred again.
type instanceCache struct {
	etag      string
	instances []Instance
	// err is an InvalidEntriesError or nil.
	err error
}

var (
	_ Log          = (*HTTPClient)(nil)
	_ InstanceList = (*HTTPClient)(nil)
	_ WeightStore  = (*HTTPClient)(nil)
)

// NewHTTPClient returns a client for the platform at the given http or https URL.
func NewHTTPClient(base string, client *http.Client) (*HTTPClient, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidSettings, err, "parse platform URL")
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, errkind.New(errkind.InvalidSettings, "platform URL %q is not of the form http://host:port", base)
	}
	return &HTTPClient{baseURL: u, client: client}, nil
}

// Append implements Log.
func (c *HTTPClient) Append(ctx context.Context, stream string, data []byte) (Offset, error) {
	u := c.baseURL.JoinPath(StreamPath, stream)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrap(err, "create platform request")
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	var out AppendResponse
	if err := c.doJSON(req, &out); err != nil {
		return 0, err
	}
	return out.Offset, nil
}

// Read implements Log.
func (c *HTTPClient) Read(ctx context.Context, stream string, after Offset, limit int, wait time.Duration) (Batch, error) {
	u := c.baseURL.JoinPath(StreamPath, stream)
	q := url.Values{}
	q.Set("after", strconv.FormatUint(uint64(after), 10))
	q.Set("limit", strconv.Itoa(limit))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	u.RawQuery = q.Encode()
	var out Batch
	if err := c.getJSON(ctx, u, &out); err != nil {
		return Batch{}, err
	}
	return out, nil
}

// Instances implements InstanceList. It sends a conditional request if it has a
// cached list with an entity tag.
func (c *HTTPClient) Instances(ctx context.Context) ([]Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL.JoinPath(InstancePath).String(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "create platform request")
	}
	cached := c.loadCache()
	if cached.etag != "" {
		req.Header.Set("If-None-Match", cached.etag)
	}
	resp, err := c.send(req)
	if err != nil {
		return nil, err
	}
	switch {
	case resp.status == http.StatusNotModified && cached.etag != "":
		return slices.Clone(cached.instances), cached.err
	case resp.status != http.StatusOK:
		return nil, resp.asError()
	}
	list := instanceCache{etag: resp.header.Get("ETag")}
	if list.instances, list.err = decodeInstances(resp.body); list.instances == nil {
		return nil, list.err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cache = list
	return slices.Clone(list.instances), list.err
}

func (c *HTTPClient) loadCache() instanceCache {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cache
}

// Fetch implements WeightStore.
func (c *HTTPClient) Fetch(ctx context.Context, model string, layer, expert int) ([]byte, error) {
	u := c.baseURL.JoinPath(WeightPath, model, strconv.Itoa(layer), strconv.Itoa(expert))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "create platform request")
	}
	return c.readBody(req)
}

func (c *HTTPClient) getJSON(ctx context.Context, u *url.URL, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return errors.Wrap(err, "create platform request")
	}
	return c.doJSON(req, out)
}

func (c *HTTPClient) doJSON(req *http.Request, out any) error {
	body, err := c.readBody(req)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errkind.Wrap(errkind.PlatformUnavailable, err, "decode platform response")
	}
	return nil
}

func (c *HTTPClient) readBody(req *http.Request) ([]byte, error) {
	resp, err := c.send(req)
	if err != nil {
		return nil, err
	}
	if resp.status == http.StatusOK {
		return resp.body, nil
	}
	return nil, resp.asError()
}

// response is an HTTP response with its complete body.
type response struct {
	status int
	header http.Header
	body   []byte
}

func (c *HTTPClient) send(req *http.Request) (response, error) {
	resp, err := c.client.Do(req)
	if err != nil {
		return response{}, errkind.Wrap(errkind.PlatformUnavailable, err, "request to the platform")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, errkind.Wrap(errkind.PlatformUnavailable, err, "read platform response")
	}
	return response{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// asError returns the error for an unsuccessful response.
func (r response) asError() error {
	switch r.status {
	case http.StatusTooManyRequests:
		return errkind.New(errkind.PlatformRateLimited, "platform rate limit exceeded").
			WithRetryAfter(parseRetryAfter(r.header))
	case http.StatusGone:
		var t TrimmedResponse
		if err := json.Unmarshal(r.body, &t); err != nil {
			return errkind.Wrap(errkind.PlatformUnavailable, err, "decode response to a trimmed read")
		}
		return &TrimmedError{Oldest: t.Oldest, End: t.End}
	default:
		return errkind.New(errkind.PlatformUnavailable, "platform returned status %d %s", r.status, http.StatusText(r.status))
	}
}

func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// TrimmedError reports a read of records that are older than the oldest retained
// one.
type TrimmedError struct {
	Oldest Offset
	End    Offset
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return "records trimmed: oldest retained offset " + strconv.FormatUint(uint64(e.Oldest), 10)
}

// Unwrap returns an error of kind RecordsTrimmed.
func (e *TrimmedError) Unwrap() error {
	return errkind.New(errkind.RecordsTrimmed, "oldest retained offset %d", e.Oldest)
}
