package errkind

import (
	"net/http"

	"connectrpc.com/connect"
)

// statusClientClosedRequest is the non-standard status 499, which is commonly used
// for a client that closed its connection. net/http has no constant for it.
const statusClientClosedRequest = 499

// Process exit codes of the commands.
const (
	ExitFailure     = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitRefused     = 4
	ExitUnavailable = 5
	ExitUnknown     = 6
	ExitTimeout     = 7
)

var attributes = [kindCount]Attributes{
	Internal:              {"internal", http.StatusInternalServerError, connect.CodeInternal, ExitFailure, Unknown, false},
	InvalidRequest:        {"invalid_request", http.StatusBadRequest, connect.CodeInvalidArgument, ExitInvalid, NotRun, false},
	RequestTooLarge:       {"request_too_large", http.StatusRequestEntityTooLarge, connect.CodeInvalidArgument, ExitInvalid, NotRun, false},
	Unauthenticated:       {"unauthenticated", http.StatusUnauthorized, connect.CodeUnauthenticated, ExitRefused, NotRun, false},
	UnknownService:        {"unknown_service", http.StatusNotFound, connect.CodeNotFound, ExitInvalid, NotRun, false},
	UnknownRoute:          {"unknown_route", http.StatusNotFound, connect.CodeNotFound, ExitInvalid, NotRun, false},
	MissingIdempotencyKey: {"missing_idempotency_key", http.StatusBadRequest, connect.CodeInvalidArgument, ExitInvalid, NotRun, false},
	InvalidIdempotencyKey: {"invalid_idempotency_key", http.StatusBadRequest, connect.CodeInvalidArgument, ExitInvalid, NotRun, false},
	IdempotencyKeyExpired: {"idempotency_key_expired", http.StatusConflict, connect.CodeFailedPrecondition, ExitUnknown, Unknown, false},
	IdempotencyKeyReused:  {"idempotency_key_reused", http.StatusUnprocessableEntity, connect.CodeFailedPrecondition, ExitInvalid, NotRun, false},
	InProgress:            {"in_progress", http.StatusConflict, connect.CodeAborted, ExitUnknown, Unknown, true},
	OutcomeUnknown:        {"outcome_unknown", http.StatusBadGateway, connect.CodeUnknown, ExitUnknown, Unknown, false},
	LimitExceeded:         {"limit_exceeded", http.StatusTooManyRequests, connect.CodeResourceExhausted, ExitRefused, NotRun, true},
	QueueFull:             {"queue_full", http.StatusServiceUnavailable, connect.CodeResourceExhausted, ExitUnavailable, NotRun, true},
	DeadlineUnreachable:   {"deadline_unreachable", http.StatusServiceUnavailable, connect.CodeDeadlineExceeded, ExitTimeout, NotRun, true},
	NoBackendServer:       {"no_backend_server", http.StatusServiceUnavailable, connect.CodeUnavailable, ExitUnavailable, NotRun, true},
	Leaving:               {"leaving", http.StatusServiceUnavailable, connect.CodeUnavailable, ExitUnavailable, NotRun, true},
	SuspectRequest:        {"suspect_request", http.StatusUnprocessableEntity, connect.CodeFailedPrecondition, ExitRefused, NotRun, false},
	LogUnavailable:        {"log_unavailable", http.StatusServiceUnavailable, connect.CodeUnavailable, ExitUnavailable, NotRun, true},
	BackendUnavailable:    {"backend_unavailable", http.StatusServiceUnavailable, connect.CodeUnavailable, ExitUnavailable, NotRun, true},
	BackendFailed:         {"backend_failed", http.StatusBadGateway, connect.CodeUnknown, ExitUnknown, Unknown, false},
	BackendTimeout:        {"backend_timeout", http.StatusGatewayTimeout, connect.CodeDeadlineExceeded, ExitTimeout, Unknown, false},
	StreamIncomplete:      {"stream_incomplete", http.StatusBadGateway, connect.CodeDataLoss, ExitUnknown, Unknown, false},
	Canceled:              {"canceled", statusClientClosedRequest, connect.CodeCanceled, ExitFailure, Unknown, false},
	StaleFencingToken:     {"stale_fencing_token", http.StatusConflict, connect.CodeFailedPrecondition, ExitRefused, NotRun, false},
	StaleTable:            {"stale_table", http.StatusServiceUnavailable, connect.CodeFailedPrecondition, ExitUnavailable, NotRun, true},
	InvalidSettings:       {"invalid_settings", http.StatusInternalServerError, connect.CodeInvalidArgument, ExitUsage, NotRun, false},
	InvalidTable:          {"invalid_table", http.StatusBadRequest, connect.CodeInvalidArgument, ExitInvalid, NotRun, false},
	ChangeConflict:        {"change_conflict", http.StatusConflict, connect.CodeAborted, ExitRefused, NotRun, false},
	PlatformUnavailable:   {"platform_unavailable", http.StatusServiceUnavailable, connect.CodeUnavailable, ExitUnavailable, Unknown, true},
	PlatformRateLimited:   {"platform_rate_limited", http.StatusServiceUnavailable, connect.CodeResourceExhausted, ExitUnavailable, NotRun, true},
	RecordsTrimmed:        {"records_trimmed", http.StatusGone, connect.CodeOutOfRange, ExitUnavailable, NotRun, false},
	PublishUnknown:        {"publish_unknown", http.StatusBadGateway, connect.CodeUnknown, ExitUnknown, Unknown, false},
	WaitTimeout:           {"wait_timeout", http.StatusGatewayTimeout, connect.CodeDeadlineExceeded, ExitTimeout, Done, false},
	InvalidCounts:         {"invalid_counts", http.StatusBadRequest, connect.CodeInvalidArgument, ExitInvalid, NotRun, false},
	StaleCounts:           {"stale_counts", http.StatusConflict, connect.CodeFailedPrecondition, ExitUnavailable, NotRun, true},
	InvalidMap:            {"invalid_map", http.StatusBadRequest, connect.CodeInvalidArgument, ExitInvalid, NotRun, false},
	CheckFailed:           {"check_failed", http.StatusBadRequest, connect.CodeInvalidArgument, ExitFailure, NotRun, false},
	CheckNotRun:           {"check_not_run", http.StatusInternalServerError, connect.CodeUnavailable, ExitUsage, NotRun, false},
	AnswerNotStored:       {"answer_not_stored", http.StatusGone, connect.CodeAlreadyExists, ExitFailure, Done, false},
	MemoryExhausted:       {"memory_exhausted", http.StatusServiceUnavailable, connect.CodeResourceExhausted, ExitUnavailable, NotRun, true},
	SlowBody:              {"slow_body", http.StatusServiceUnavailable, connect.CodeDeadlineExceeded, ExitTimeout, NotRun, true},
}
