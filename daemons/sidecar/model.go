package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/filbertmux/filbertmux/base/errkind"
	"github.com/filbertmux/filbertmux/config/table"
	pb "github.com/filbertmux/filbertmux/gen/filbertmux/v1"
	"github.com/filbertmux/filbertmux/internal/jsonsplit"
	"github.com/filbertmux/filbertmux/internal/proxyhttp"
)

const (
	// engineRequestIDHeader carries the id under which the engine resumes and
	// cancels the response at streamsPath.
	engineRequestIDHeader = "X-Request-Id"
	streamsPath           = "/v1/streams/"
	// maxEngineResumes bounds the consecutive resumptions without progress.
	maxEngineResumes    = 3
	engineCancelTimeout = 2 * time.Second
	priorityField       = "priority"
	// maxMembers is far above the number of parameters of a completion.
	maxMembers = 1 << 10
)

func (s *Server) isModelCall(call *pb.CallRequest) bool {
	service, ok := s.table.View().Service(call.GetService())
	return ok && service.Kind == table.ModelService
}

// runModelCall sends a call to the engine and relays the response. If the call
// fails, it is cancelled at the engine, which would otherwise continue to generate.
func (s *Server) runModelCall(ctx context.Context, a *attempt, call *pb.CallRequest) (err error) {
	id := fmt.Sprintf("%s.%d.%s", a.id.GetRequestId(), a.id.GetAttempt(), s.incarnation)
	defer func() {
		if err != nil && !proxyhttp.IsDialError(err) {
			go s.backend.cancelStream(id)
		}
	}()
	start := time.Now()
	engineCall, err := s.newEngineCall(call, id)
	if err != nil {
		return err
	}
	resp, err := s.backend.send(ctx, engineCall)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	s.latency.add(time.Since(start))
	a.releaseBody(engineCall)
	if !isEventStream(resp.Header) {
		return relay(ctx, a, resp, s.settings.ChunkBytes)
	}
	if err := a.appendHead(ctx, headOf(resp)); err != nil {
		return err
	}
	var progress eventProgress
	err = relayEvents(ctx, a, resp.Body, s.settings.ChunkBytes, &progress)
	return s.resumeModelStream(ctx, a, id, &progress, err)
}

// resumeModelStream resumes a response whose connection to the engine broke with
// err. The engine either continues the same generation or reports that the id is
// unknown, so tokens of two generations are never mixed.
func (s *Server) resumeModelStream(ctx context.Context, a *attempt, id string, progress *eventProgress, err error) error {
	for resumes := 0; resumes < maxEngineResumes && err != nil; resumes++ {
		if ctx.Err() != nil || progress.midEvent || !errkind.Is(err, errkind.BackendFailed) && !errkind.Is(err, errkind.StreamIncomplete) {
			return err
		}
		tokensBefore := progress.tokens
		resp, resumeErr := s.backend.resumeStream(ctx, id, tokensBefore)
		if errkind.Is(resumeErr, errkind.StreamIncomplete) {
			return resumeErr
		}
		if resumeErr != nil {
			err = resumeErr
			continue
		}
		s.metrics.AddToCounter("engine_resumes", 1)
		err = relayEvents(ctx, a, resp.Body, s.settings.ChunkBytes, progress)
		_ = resp.Body.Close()
		if progress.tokens > tokensBefore {
			resumes = -1 // progress resets the count: the loop increments it to 0
		}
	}
	return err
}

// newEngineCall returns the call as it is sent to the engine: with the request id
// and the priority of its class. It takes the body of the call.
func (s *Server) newEngineCall(call *pb.CallRequest, id string) (*pb.CallRequest, error) {
	body := call.GetBody()
	call.Body = nil
	c := proto.CloneOf(call)
	c.Headers = append(c.Headers, &pb.Header{Name: engineRequestIDHeader, Values: []string{id}})
	c.Body = body
	class, ok := s.table.View().Class(call.GetClass())
	if !ok {
		return c, nil
	}
	var err error
	c.Body, err = withPriority(body, class.Priority)
	return c, err
}

// withPriority sets the priority field of a JSON object. It replaces a value set
// by the caller, also under a name that differs in case, because some decoders
// match names case-insensitively. A body that is not a JSON object is unchanged. One with
// very many members is refused, because decoding takes many times the memory of their text.
func withPriority(body []byte, priority int) ([]byte, error) {
	if json.Valid(body) && jsonsplit.HasMore(body, maxMembers) {
		return nil, errkind.New(errkind.InvalidRequest, "the body has more than %d members", maxMembers)
	}
	fields := decodeObject(body)
	if fields == nil {
		return body, nil
	}
	for name := range fields {
		if strings.EqualFold(name, priorityField) {
			delete(fields, name)
		}
	}
	fields[priorityField] = json.RawMessage(strconv.Itoa(priority))
	changed, err := json.Marshal(fields)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidRequest, err, "set the priority")
	}
	return changed, nil
}

// decodeObject returns the members of a JSON object, or nil.
func decodeObject(body []byte) map[string]json.RawMessage {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return nil
	}
	return fields
}

// resumeStream resumes a response at a token index. Its errors do not prove that
// the call did not run.
func (b *backendClient) resumeStream(ctx context.Context, id string, from int) (*http.Response, error) {
	resp, err := b.sendStreamRequest(ctx, http.MethodGet, id, url.Values{"from": {strconv.Itoa(from)}})
	if err != nil {
		return nil, errkind.New(errkind.BackendFailed, "resume the stream at the engine: %v", err)
	}
	if resp.StatusCode != http.StatusOK || !isEventStream(resp.Header) {
		_ = resp.Body.Close()
		return nil, errkind.New(errkind.StreamIncomplete, "engine refused to resume the stream: status %d", resp.StatusCode)
	}
	return resp, nil
}

// cancelStream cancels the generation of a response. It is best effort: errors
// are ignored, since the response may have ended or be unknown to the engine.
func (b *backendClient) cancelStream(id string) {
	ctx, stop := context.WithTimeout(context.Background(), engineCancelTimeout)
	defer stop()
	resp, err := b.sendStreamRequest(ctx, http.MethodDelete, id, nil)
	if err == nil {
		_ = resp.Body.Close()
	}
}

func (b *backendClient) sendStreamRequest(ctx context.Context, method, id string, query url.Values) (*http.Response, error) {
	u := b.baseURL.JoinPath(streamsPath, url.PathEscape(id))
	u.RawQuery = query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, u.String(), http.NoBody)
	if err != nil {
		return nil, err
	}
	return b.client.Do(req)
}
