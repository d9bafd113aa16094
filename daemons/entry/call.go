package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"path"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"

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

// prefixBytes is the part of a prompt by which requests are kept together: about
// 256 tokens, the size of a shared system prompt.
const prefixBytes = 1024

// request is a call with what routing and admission need to know about it.
type request struct {
	call   *pb.CallRequest
	prefix uint64  // hash of the prompt prefix, 0 without one
	cost   float64 // estimated tokens
}

// callOrNil serves a request that was refused before it was parsed.
func (r *request) callOrNil() *pb.CallRequest {
	if r == nil {
		return nil
	}
	return r.call
}

// parser turns HTTP requests into calls. It refuses whatever must not be
// forwarded, so an error proves that nothing ran.
type parser struct {
	settings settings.Entry
}

// completionRequest is the part of a chat-completions request that is checked.
type completionRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	// MaxTokens has a newer name; the larger value counts.
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
	Messages            []struct {
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// prompt returns the contents of all messages.
func (c completionRequest) prompt() []byte {
	var prompt []byte
	for _, m := range c.Messages {
		prompt = append(prompt, m.Content...)
	}
	return prompt
}

// organisation authenticates the caller by the hash of its bearer key.
func (p *parser) organisation(r *http.Request, view *table.View) (table.Organisation, error) {
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return table.Organisation{}, errkind.New(errkind.Unauthenticated, "a bearer key is required")
	}
	o, ok := view.OrganisationByKeyHash(table.HashAPIKey(strings.TrimSpace(key)))
	if !ok {
		return table.Organisation{}, errkind.New(errkind.Unauthenticated, "the bearer key belongs to no organisation")
	}
	return o, nil
}

// completion parses a model call; the model name is the service name.
func (p *parser) completion(c *gin.Context, view *table.View, org table.Organisation) (*request, error) {
	body, err := p.body(c)
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
		return nil, errkind.New(errkind.RequestTooLarge, "prompt above %d bytes", p.settings.MaxPromptBytes)
	}
	service, ok := view.Service(completion.Model)
	if !ok || service.Kind != table.ModelService {
		return nil, errkind.New(errkind.UnknownService, "no model service %q", completion.Model)
	}
	call := p.call(c.Request, view, org, service.Name, body)
	call.Path = completionsPath
	call.Idempotent = true
	call.Stream = completion.Stream
	return &request{
		call:   call,
		prefix: routing.HashPrefix(org.Name, prompt, prefixBytes),
		cost:   estimateTokens(len(prompt), completion.answerTokens()),
	}, nil
}

// plain parses a call to a plain service: /<service>/<path…>.
func (p *parser) plain(c *gin.Context, view *table.View, org table.Organisation) (*request, error) {
	name, rest, err := splitService(c.Request)
	if err != nil {
		return nil, err
	}
	service, ok := view.Service(name)
	if !ok || service.Kind != table.PlainService {
		return nil, errkind.New(errkind.UnknownService, "no plain service %q", name)
	}
	route, ok := view.MatchRoute(name, c.Request.Method, rest)
	if !ok {
		return nil, errkind.New(errkind.UnknownRoute, "%s %s matches no route of %s", c.Request.Method, rest, name)
	}
	key := c.GetHeader("Idempotency-Key")
	if err := checkKey(route, key); err != nil {
		return nil, err
	}
	body, err := p.body(c)
	if err != nil {
		return nil, err
	}
	call := p.call(c.Request, view, org, name, body)
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

// checkKey refuses a booking whose key no sidecar would take. Its age is left to
// the sidecar that claims it.
func checkKey(route table.Route, key string) error {
	if route.Idempotent {
		return nil
	}
	if key == "" {
		return errkind.New(errkind.MissingIdempotencyKey, "this call needs an Idempotency-Key (a UUIDv7)")
	}
	if _, err := claim.ParseKeyText(key); err != nil {
		return err
	}
	return nil
}

// splitService refuses paths that a backend server may read differently from
// the route match, such as those with dot segments or encoded slashes.
func splitService(r *http.Request) (name, rest string, err error) {
	p := r.URL.Path
	if path.Clean(p) != p || strings.Contains(strings.ToLower(r.URL.EscapedPath()), "%2f") {
		return "", "", errkind.New(errkind.InvalidRequest, "the path is not in its shortest form")
	}
	name, rest, found := strings.Cut(strings.TrimPrefix(p, "/"), "/")
	if !found {
		return "", "", errkind.New(errkind.UnknownService, "no service at %q", p)
	}
	if r.URL.EscapedPath() != "/"+name && !strings.HasPrefix(r.URL.EscapedPath(), "/"+name+"/") {
		return "", "", errkind.New(errkind.InvalidRequest, "the service name must not be encoded")
	}
	return name, "/" + rest, nil
}

func (p *parser) call(r *http.Request, view *table.View, org table.Organisation, service string, body []byte) *pb.CallRequest {
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

func (p *parser) body(c *gin.Context) ([]byte, error) {
	tooLarge := errkind.New(errkind.RequestTooLarge, "body above %d bytes", p.settings.MaxBodyBytes)
	if c.Request.ContentLength > int64(p.settings.MaxBodyBytes) {
		return nil, tooLarge
	}
	// A recorder in a test supports no deadline.
	control := http.NewResponseController(c.Writer)
	_ = control.SetReadDeadline(time.Now().Add(p.settings.BodyTimeout))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, int64(p.settings.MaxBodyBytes)))
	var limit *http.MaxBytesError
	if errors.As(err, &limit) {
		return nil, tooLarge
	}
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidRequest, err, "the body could not be read")
	}
	return body, nil
}

// withheldHeaders are not passed on beside those of one connection: the
// caller's keys, and those that the sidecar sets itself.
var withheldHeaders = map[string]bool{
	"Proxy-Authorization": true, "Expect": true, "Accept-Encoding": true,
	"Authorization": true, "Idempotency-Key": true,
}

func forwardedHeaders(h http.Header) []*pb.Header {
	named := make(map[string]bool)
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var headers []*pb.Header
	for name, values := range h {
		if !withheldHeaders[name] && !proxyhttp.IsHopByHopHeader(name) && !named[name] {
			headers = append(headers, &pb.Header{Name: name, Values: values})
		}
	}
	return headers
}

func labels(r *request) telemetry.RequestLabels {
	call := r.callOrNil()
	return telemetry.RequestLabels{
		Organisation: call.GetOrganisation(), Class: call.GetClass(), Service: call.GetService(),
	}
}
