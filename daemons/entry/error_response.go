package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// requestIDHeader is the response header with the request id.
const requestIDHeader = "X-Request-Id"

// defaultRetryAfter is the Retry-After value of a retryable error that has none of
// its own.
const defaultRetryAfter = time.Second

// ErrorResponse is the JSON body of the response to a refused or failed request,
// and the data of an error event.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error. Execution is not_run, done or unknown.
type ErrorDetail struct {
	Kind              string `json:"kind"`
	Message           string `json:"message"`
	RequestID         string `json:"request_id"`
	Execution         string `json:"execution"`
	RetryAfterSeconds int    `json:"retry_after_seconds,omitempty"`
}

func newErrorResponse(requestID string, e *errkind.Error) ErrorResponse {
	return ErrorResponse{Error: ErrorDetail{
		Kind:              e.Kind.String(),
		Message:           e.Message,
		RequestID:         requestID,
		Execution:         e.Execution.String(),
		RetryAfterSeconds: retryAfterSeconds(e),
	}}
}

func retryAfterSeconds(e *errkind.Error) int {
	after := e.RetryAfter
	if after <= 0 && e.Kind.Attributes().Retryable {
		after = defaultRetryAfter
	}
	return int(math.Ceil(after.Seconds()))
}

// writeError writes an error response. Nothing of the response may have been written
// before.
func writeError(c *gin.Context, requestID string, err error) {
	e := errkind.Of(err)
	response := newErrorResponse(requestID, e)
	if response.Error.RetryAfterSeconds > 0 {
		c.Header("Retry-After", strconv.Itoa(response.Error.RetryAfterSeconds))
	}
	if e.Kind == errkind.Unauthenticated {
		c.Header("WWW-Authenticate", "Bearer")
	}
	if e.Kind == errkind.RequestTooLarge || e.Kind == errkind.Leaving {
		// The rest of an oversized body is not read, so the connection can't be
		// reused. A caller of a draining entry has to connect to another entry.
		c.Header("Connection", "close")
	}
	body, err := json.Marshal(response)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	c.Header("Content-Length", strconv.Itoa(len(body)))
	c.Abort()
	c.Data(e.Kind.Attributes().HTTPStatus, "application/json; charset=utf-8", body)
}

// outcomeOK is the outcome label of a complete response.
const outcomeOK = "ok"

func outcome(err error) string {
	if err == nil {
		return outcomeOK
	}
	return errkind.Of(err).Kind.String()
}

// isSuccess reports whether an HTTP status code is 2xx.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
