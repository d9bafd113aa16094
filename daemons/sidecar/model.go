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
	"github.com/filbertmux/filbertmux/internal/proxyhttp"
)

const (
	// engineIDHeader names the answer at the engine, which resumes and cancels
	// it at streamsPath.
	engineIDHeader = "X-Request-Id"
	streamsPath    = "/v1/streams/"
	// maxEngineResumes bounds the connections to the engine without progress.
	maxEngineResumes    = 3
	engineCancelTimeout = 2 * time.Second
	priorityField       = "priority"
)

func (s *Server) isModel(call *pb.CallRequest) bool {
	service, ok := s.table.View().Service(call.GetService())
	return ok && service.Kind == table.ModelService
}

// runModel sends a call to the engine and relays its answer. An answer that
// fails is canceled at the engine, which otherwise goes on generating.
func (s *Server) runModel(ctx context.Context, a *attempt, call *pb.CallRequest) (err error) {
	id := fmt.Sprintf("%s.%d.%s", a.id.GetRequestId(), a.id.GetAttempt(), s.incarnation)
	defer func() {
		if err != nil && !proxyhttp.IsDialError(err) {
			go s.backend.cancelStream(id)
		}
	}()
	start := time.Now()
	resp, err := s.backend.do(ctx, s.engineCall(call, id))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	s.latency.add(time.Since(start))
	if !isEventStream(resp.Header) {
		return relay(ctx, a, resp, s.settings.ChunkBytes)
	}
	if err := a.head(ctx, headOf(resp)); err != nil {
		return err
	}
	var progress eventProgress
	err = relayEvents(ctx, a, resp.Body, s.settings.ChunkBytes, &progress)
	return s.resumeModel(ctx, a, id, &progress, err)
}

// resumeModel continues an answer whose connection to the engine broke with
// err. The engine continues the same generation or knows it no longer, so an
// answer never has two continuations.
func (s *Server) resumeModel(ctx context.Context, a *attempt, id string, progress *eventProgress, err error) error {
	for resumes := 0; resumes < maxEngineResumes && err != nil; resumes++ {
		if ctx.Err() != nil || progress.inEvent || !errkind.Is(err, errkind.BackendFailed) && !errkind.Is(err, errkind.StreamIncomplete) {
			return err
		}
		before := progress.tokens
		resp, failed := s.backend.resumeStream(ctx, id, before)
		if errkind.Is(failed, errkind.StreamIncomplete) {
			return failed
		}
		if failed != nil {
			err = failed
			continue
		}
		s.metrics.AddToCounter("engine_resumes", 1)
		err = relayEvents(ctx, a, resp.Body, s.settings.ChunkBytes, progress)
		_ = resp.Body.Close()
		if progress.tokens > before {
			resumes = -1
		}
	}
	return err
}

// engineCall returns the call as the engine gets it.
func (s *Server) engineCall(call *pb.CallRequest, id string) *pb.CallRequest {
	c := proto.CloneOf(call)
	c.Headers = append(c.Headers, &pb.Header{Name: engineIDHeader, Values: []string{id}})
	if class, ok := s.table.View().Class(call.GetClass()); ok {
		c.Body = withPriority(c.GetBody(), class.Priority)
	}
	return c
}

// withPriority sets the priority field of a JSON object. A value of the caller
// is replaced, also one that differs in case, because some decoders take it. A
// body that is no JSON object stays as it is.
func withPriority(body []byte, priority int) []byte {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil || fields == nil {
		return body
	}
	for name := range fields {
		if strings.EqualFold(name, priorityField) {
			delete(fields, name)
		}
	}
	fields[priorityField] = json.RawMessage(strconv.Itoa(priority))
	changed, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return changed
}

// resumeStream continues an answer from a token number on. Its errors do not
// prove that the call did not run.
func (b *backend) resumeStream(ctx context.Context, id string, from int) (*http.Response, error) {
	resp, err := b.stream(ctx, http.MethodGet, id, url.Values{"from": {strconv.Itoa(from)}})
	if err != nil {
		return nil, errkind.New(errkind.BackendFailed, "resume at the engine: %v", err)
	}
	if resp.StatusCode != http.StatusOK || !isEventStream(resp.Header) {
		_ = resp.Body.Close()
		return nil, errkind.New(errkind.StreamIncomplete, "the engine does not continue the answer: status %d", resp.StatusCode)
	}
	return resp, nil
}

// cancelStream stops an answer that nobody wants. It is a hint: an answer that
// the engine has ended or forgotten needs none.
func (b *backend) cancelStream(id string) {
	ctx, stop := context.WithTimeout(context.Background(), engineCancelTimeout)
	defer stop()
	resp, err := b.stream(ctx, http.MethodDelete, id, nil)
	if err == nil {
		_ = resp.Body.Close()
	}
}

func (b *backend) stream(ctx context.Context, method, id string, query url.Values) (*http.Response, error) {
	u := b.base.JoinPath(streamsPath, url.PathEscape(id))
	u.RawQuery = query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, u.String(), http.NoBody)
	if err != nil {
		return nil, err
	}
	return b.once.Do(req)
}
