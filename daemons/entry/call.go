package entry

import (
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	"github.com/zeebo/xxh3"

	"github.com/filbertmux/filbertmux/balance/routing"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/config/table"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/internal/proxyhttp"
	"github.com/filbertmux/filbertmux/serve/claim"
)

const completionsPath = "/v1/chat/completions"

// prefixBytes is the length of the prompt prefix that is hashed for prefix
// affinity: about 256 tokens, the size of a shared system prompt.
const prefixBytes = 1024

// request is a call with its parameters for routing and admission.
type request struct {
	call   *pb.CallRequest
	prefix uint64  // hash of the prompt prefix, 0 if there is none
	cost   float64 // estimated tokens
}

// callOrNil returns the call, or nil for a request that was not parsed.
func (r *request) callOrNil() *pb.CallRequest {
	if r == nil {
		return nil
	}
	return r.call
}

// parser converts HTTP requests to calls. It rejects requests that must not be
// forwarded, so a request that it rejects has not run.
type parser struct {
	settings settings.Entry
}

// completionRequest contains the fields of a chat-completions request that the
// entry reads.
type completionRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	// MaxTokens is the older name of MaxCompletionTokens. The larger value is used.
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
	Messages            []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// prompt returns the concatenated contents of all messages.
func (c completionRequest) prompt() []byte {
	var prompt []byte
	for _, m := range c.Messages {
		prompt = append(prompt, m.Content...)
	}
	return prompt
}

// maxPromptParts bounds the prompt parts of a call.
const maxPromptParts = 64

// sharedParts returns the hashes of the first messages, which other requests may have
// as well. The last message belongs to the request itself.
func (c completionRequest) sharedParts() []string {
	var parts []string
	for _, m := range c.Messages[:min(len(c.Messages)-1, maxPromptParts)] {
		sum := xxh3.Hash128(m.Content).Bytes()
		parts = append(parts, hex.EncodeToString(sum[:]))
	}
	return parts
}

// authenticate returns the organisation whose key hash matches the bearer key.
func (p *parser) authenticate(r *http.Request, view *table.View) (table.Organisation, error) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return table.Organisation{}, errkind.New(errkind.Unauthenticated, "a bearer key is required")
	}
	o, ok := view.OrganisationByKeyHash(table.HashAPIKey(strings.TrimSpace(key)))
	if !ok {
		return table.Organisation{}, errkind.New(errkind.Unauthenticated, "the bearer key does not belong to any organisation")
	}
	return o, nil
}

// parseCompletion parses a chat-completions request. The model name is the service
// name.
func (p *parser) parseCompletion(c *gin.Context, view *table.View, org table.Organisation) (*request, error) {
	body, err := p.readBody(c)
	if err != nil {
		return nil, err
	}
	var completion completionRequest
	if err := json.Unmarshal(body, &completion); err != nil {
		return nil, errkind.Wrap(errkind.InvalidRequest, err, "the body is not a chat-completions request in JSON")
	}
	if completion.Model == "" || len(completion.Messages) == 0 {
		return nil, errkind.New(errkind.InvalidRequest, "model and messages are required")
	}
	prompt := completion.prompt()
	if len(prompt) > p.settings.MaxPromptBytes {
		return nil, errkind.New(errkind.RequestTooLarge, "the prompt is larger than %d bytes", p.settings.MaxPromptBytes)
	}
	service, ok := view.Service(completion.Model)
	if !ok || service.Kind != table.ModelService {
		return nil, errkind.New(errkind.UnknownService, "there is no model service %q", completion.Model)
	}
	call := p.newCall(c.Request, view, org, service.Name, body)
	call.Path = completionsPath
	call.Idempotent = true
	call.Stream = completion.Stream
	call.PromptParts = completion.sharedParts()
	return &request{
		call:   call,
		prefix: routing.HashPrefix(org.Name, prompt, prefixBytes),
		cost:   estimateTokens(len(prompt), completion.completionTokens()),
	}, nil
}

// parsePlain parses a request to a plain service: /<service>/<path…>.
func (p *parser) parsePlain(c *gin.Context, view *table.View, org table.Organisation) (*request, error) {
	name, rest, err := splitServicePath(c.Request)
	if err != nil {
		return nil, err
	}
	service, ok := view.Service(name)
	if !ok || service.Kind != table.PlainService {
		return nil, errkind.New(errkind.UnknownService, "there is no plain service %q", name)
	}
	route, ok := view.MatchRoute(name, c.Request.Method, rest)
	if !ok {
		return nil, errkind.New(errkind.UnknownRoute, "%s %s does not match any route of %s", c.Request.Method, rest, name)
	}
	key := c.GetHeader("Idempotency-Key")
	if err := checkIdempotencyKey(route, key); err != nil {
		return nil, err
	}
	body, err := p.readBody(c)
	if err != nil {
		return nil, err
	}
	call := p.newCall(c.Request, view, org, name, body)
	call.Path = strings.TrimPrefix(c.Request.URL.EscapedPath(), "/"+name)
	if c.Request.URL.RawQuery != "" {
		call.Path += "?" + c.Request.URL.RawQuery
	}
	call.Idempotent = route.Idempotent
	if !route.Idempotent {
		call.IdempotencyKey = key
	}
	return &request{call: call, cost: estimateTokens(len(body), 0)}, nil
}

// checkIdempotencyKey rejects a non-idempotent call without a valid idempotency
// key. The age of the key is checked by the sidecar that claims it.
func checkIdempotencyKey(route table.Route, key string) error {
	if route.Idempotent {
		return nil
	}
	if key == "" {
		return errkind.New(errkind.MissingIdempotencyKey, "a non-idempotent call requires an Idempotency-Key header with a UUIDv7")
	}
	if _, err := claim.ParseKeyText(key); err != nil {
		return err
	}
	return nil
}

// splitServicePath splits a path into the service name and the path within the
// service. It rejects paths that a backend server may interpret differently from
// the route matcher, such as those with dot segments or encoded slashes.
func splitServicePath(r *http.Request) (name, rest string, err error) {
	p := r.URL.Path
	if path.Clean(p) != p || strings.Contains(strings.ToLower(r.URL.EscapedPath()), "%2f") {
		return "", "", errkind.New(errkind.InvalidRequest, "the path has a dot segment or a repeated, trailing or encoded slash")
	}
	name, rest, found := strings.Cut(strings.TrimPrefix(p, "/"), "/")
	if !found {
		return "", "", errkind.New(errkind.UnknownService, "the path %q does not name a service", p)
	}
	if r.URL.EscapedPath() != "/"+name && !strings.HasPrefix(r.URL.EscapedPath(), "/"+name+"/") {
		return "", "", errkind.New(errkind.InvalidRequest, "the service name in the path must not be percent-encoded")
	}
	return name, "/" + rest, nil
}

func (p *parser) newCall(r *http.Request, view *table.View, org table.Organisation, service string, body []byte) *pb.CallRequest {
	class, _ := view.ClassOf(org.Name, service)
	return &pb.CallRequest{
		Service:      service,
		Organisation: org.Name,
		Class:        class.Name,
		Method:       r.Method,
		Headers:      forwardedHeaders(r.Header),
		Body:         body,
		TableOffset:  uint64(view.Offset()),
	}
}

func (p *parser) readBody(c *gin.Context) ([]byte, error) {
	tooLarge := errkind.New(errkind.RequestTooLarge, "the body is larger than %d bytes", p.settings.MaxBodyBytes)
	if c.Request.ContentLength > int64(p.settings.MaxBodyBytes) {
		return nil, tooLarge
	}
	// The errors are ignored because a test's response recorder has no deadlines.
	controller := http.NewResponseController(c.Writer)
	_ = controller.SetReadDeadline(time.Now().Add(p.settings.BodyTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, int64(p.settings.MaxBodyBytes)))
	var sizeErr *http.MaxBytesError
	if errors.As(err, &sizeErr) {
		return nil, tooLarge
	}
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidRequest, err, "the body could not be read")
	}
	return body, nil
}

// unforwardedHeaders are dropped in addition to the hop-by-hop headers: the caller's
// credentials and the headers that the sidecar sets itself.
var unforwardedHeaders = map[string]bool{
	"Proxy-Authorization": true, "Expect": true, "Accept-Encoding": true,
	"Authorization": true, "Idempotency-Key": true,
}

func forwardedHeaders(h http.Header) []*pb.Header {
	connectionHeaders := make(map[string]bool)
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			connectionHeaders[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var headers []*pb.Header
	for name, values := range h {
		if !unforwardedHeaders[name] && !proxyhttp.IsHopByHopHeader(name) && !connectionHeaders[name] {
			headers = append(headers, &pb.Header{Name: name, Values: values})
		}
	}
	return headers
}

func metricLabels(r *request) telemetry.RequestLabels {
	call := r.callOrNil()
	return telemetry.RequestLabels{
		Organisation: call.GetOrganisation(), Class: call.GetClass(), Service: call.GetService(),
	}
}
