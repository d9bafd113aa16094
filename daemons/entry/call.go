package entry

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"path"
	"strings"

	"github.com/gin-gonic/gin"
	"github.com/go-faster/errors"
	"github.com/zeebo/xxh3"

	"github.com/filbertmux/filbertmux/balance/routing"
	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/base/telemetry"
	"github.com/filbertmux/filbertmux/config/settings"
	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/daemons/inbound"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/internal/jsonsplit"
	"github.com/filbertmux/filbertmux/internal/proxyhttp"
	"github.com/filbertmux/filbertmux/serve/claim"
)

const completionsPath = "/v1/chat/completions"

// prefixBytes is the length of the prompt prefix that is hashed for prefix
// affinity: about 256 tokens, the size of a shared system prompt.
const prefixBytes = 1024

const (
	// bodyCopies is the number of copies of a body: in its calls, and in the message to the
	// sidecar.
	bodyCopies = 2
	// maxMessages bounds the messages of a completion, and maxMembers its other parameters:
	// decoding takes many times the memory of their text.
	maxMessages = 16 << 10
	maxMembers  = 1 << 10
)

// request is a call with its parameters for routing and admission.
type request struct {
	// call has no body, because each attempt has a copy of it and shares the body.
	call   *pb.CallRequest
	body   []byte
	prefix uint64  // hash of the prompt prefix, 0 if there is none
	cost   float64 // estimated tokens
	// memory is what the request takes. It is nil until the body has been read.
	memory *inbound.Request
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
	memory   *inbound.Memory
}

// completionRequest contains the fields of a chat-completions request that the
// entry reads.
type completionRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	// MaxTokens is the older name of MaxCompletionTokens. The larger value is used.
	MaxTokens           int         `json:"max_tokens"`
	MaxCompletionTokens int         `json:"max_completion_tokens"`
	Messages            messageList `json:"messages"`
}

// message contains the fields of a message that the entry reads.
type message struct {
	Content jsonText `json:"content"`
}

// jsonText is the text of a JSON value. It is a part of the text that was decoded, which is not
// modified later, so that large values aren't copied.
type jsonText []byte

// UnmarshalJSON implements json.Unmarshaler.
func (t *jsonText) UnmarshalJSON(data []byte) error {
	*t = data
	return nil
}

// messageList is a list of at most maxMessages messages.
type messageList []message

// UnmarshalJSON implements json.Unmarshaler.
func (l *messageList) UnmarshalJSON(data []byte) error {
	if !bytes.HasPrefix(data, []byte("[")) {
		return errors.New("messages is not an array")
	}
	if jsonsplit.HasMore(data, maxMessages) {
		return errors.Errorf("there are more than %d messages", maxMessages)
	}
	*l = nil
	for text := range jsonsplit.Elements(data) {
		var m message
		if err := json.Unmarshal(text, &m); err != nil {
			return err
		}
		*l = append(*l, m)
	}
	return nil
}

// promptBytes returns the size of the prompt, the contents of all messages.
func (c completionRequest) promptBytes() int {
	size := 0
	for _, m := range c.Messages {
		size += len(m.Content)
	}
	return size
}

// promptPrefix returns the first bytes of the prompt.
func (c completionRequest) promptPrefix() []byte {
	prefix := make([]byte, 0, prefixBytes)
	for _, m := range c.Messages {
		left := prefixBytes - len(prefix)
		prefix = append(prefix, m.Content[:min(left, len(m.Content))]...)
	}
	return prefix
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
func (p *parser) parseCompletion(c *gin.Context, view *table.View, org table.Organisation, r *request) error {
	body, err := p.readBody(c, org, r)
	if err != nil {
		return err
	}
	var completion completionRequest
	if err := json.Unmarshal(body, &completion); err != nil {
		return errkind.Wrap(errkind.InvalidRequest, err, "the body is not a chat-completions request in JSON")
	}
	if jsonsplit.HasMore(body, maxMembers) {
		return errkind.New(errkind.InvalidRequest, "the body has more than %d members", maxMembers)
	}
	if completion.Model == "" || len(completion.Messages) == 0 {
		return errkind.New(errkind.InvalidRequest, "model and messages are required")
	}
	size := completion.promptBytes()
	if size > p.settings.MaxPromptBytes {
		return errkind.New(errkind.RequestTooLarge, "the prompt is larger than %d bytes", p.settings.MaxPromptBytes)
	}
	service, ok := view.Service(completion.Model)
	if !ok || service.Kind != table.ModelService {
		return errkind.New(errkind.UnknownService, "there is no model service %q", completion.Model)
	}
	call := p.newCall(c.Request, view, org, service.Name)
	call.Path = completionsPath
	call.Idempotent = true
	call.Stream = completion.Stream
	call.PromptParts = completion.sharedParts()
	r.call = call
	r.prefix = routing.HashPrefix(org.Name, completion.promptPrefix(), prefixBytes)
	r.cost = estimateTokens(size, completion.completionTokens())
	return nil
}

// parsePlain parses a request to a plain service: /<service>/<path…>.
func (p *parser) parsePlain(c *gin.Context, view *table.View, org table.Organisation, r *request) error {
	name, rest, err := splitServicePath(c.Request)
	if err != nil {
		return err
	}
	service, ok := view.Service(name)
	if !ok || service.Kind != table.PlainService {
		return errkind.New(errkind.UnknownService, "there is no plain service %q", name)
	}
	route, ok := view.MatchRoute(name, c.Request.Method, rest)
	if !ok {
		return errkind.New(errkind.UnknownRoute, "%s %s does not match any route of %s", c.Request.Method, rest, name)
	}
	key := c.GetHeader("Idempotency-Key")
	if err := checkIdempotencyKey(route, key); err != nil {
		return err
	}
	body, err := p.readBody(c, org, r)
	if err != nil {
		return err
	}
	call := p.newCall(c.Request, view, org, name)
	call.Path = strings.TrimPrefix(c.Request.URL.EscapedPath(), "/"+name)
	if c.Request.URL.RawQuery != "" {
		call.Path += "?" + c.Request.URL.RawQuery
	}
	call.Idempotent = route.Idempotent
	if !route.Idempotent {
		call.IdempotencyKey = key
	}
	r.call, r.cost = call, estimateTokens(len(body), 0)
	return nil
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

func (p *parser) newCall(r *http.Request, view *table.View, org table.Organisation, service string) *pb.CallRequest {
	class, _ := view.ClassOf(org.Name, service)
	return &pb.CallRequest{
		Service:      service,
		Organisation: org.Name,
		Class:        class.Name,
		Method:       r.Method,
		Headers:      forwardedHeaders(r.Header),
		TableOffset:  uint64(view.Offset()),
	}
}

// readBody reads the body of a request.
func (p *parser) readBody(c *gin.Context, org table.Organisation, r *request) ([]byte, error) {
	memory, err := p.memory.Read(c.Writer, c.Request, inbound.ReadOptions{
		Organisation: org.Name, MaxBody: p.settings.MaxBodyBytes, Timeout: p.settings.BodyTimeout, Copies: bodyCopies,
	})
	if errkind.Is(err, errkind.Canceled) {
		return nil, errkind.Wrap(errkind.InvalidRequest, err, "the body could not be read")
	}
	if err != nil {
		return nil, err
	}
	r.memory, r.body = memory, memory.Joined()
	return r.body, nil
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
