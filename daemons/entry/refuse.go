package entry

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// requestIDHeader carries the request id on every answer.
const requestIDHeader = "X-Request-Id"

// defaultRetryAfter is the hint for a retryable refusal without one of its own.
const defaultRetryAfter = time.Second

// Refusal is the JSON body of a refused or failed request, and the data of an
// error event.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// RefusalError describes the failure. Execution is not_run, done or unknown.
type ErrorDetail struct {
	Kind              string `json:"kind"`
	Message           string `json:"message"`
	RequestID         string `json:"request_id"`
	Execution         string `json:"execution"`
	RetryAfterSeconds int    `json:"retry_after_seconds,omitempty"`
}

func newRefusal(requestID string, e *errkind.Error) ErrorResponse {
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

// refuse writes the refusal. Nothing of the answer was written before.
func refuse(c *gin.Context, requestID string, err error) {
	e := errkind.Of(err)
	refusal := newRefusal(requestID, e)
	if refusal.Error.RetryAfterSeconds > 0 {
		c.Header("Retry-After", strconv.Itoa(refusal.Error.RetryAfterSeconds))
	}
	if e.Kind == errkind.Unauthenticated {
		c.Header("WWW-Authenticate", "Bearer")
	}
	if e.Kind == errkind.RequestTooLarge || e.Kind == errkind.Leaving {
		// The rest of a body that is too large is not read. A caller of an entry
		// that leaves has to connect to another one.
		c.Header("Connection", "close")
	}
	c.AbortWithStatusJSON(e.Kind.Attributes().HTTPStatus, refusal)
}

// statusOK is the outcome label of a whole answer.
const statusOK = "ok"

func outcome(err error) string {
	if err == nil {
		return statusOK
	}
	return errkind.Of(err).Kind.String()
}

// isSuccess reports whether an HTTP status carries an answer that may stream.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
