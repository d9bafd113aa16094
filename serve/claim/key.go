// Package claim decides whether a non-idempotent call may run. Before a call
// runs, its sidecar appends a claim for the idempotency key to a log stream and
// reads it back; the first claim for a key wins. Index holds the state of one
// partition of that stream, Call is the state machine of one call. Both are
// deterministic and do no I/O.
//
// Index and Call are not safe for concurrent use.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/xxh3"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// Identity is an idempotency key in the scope of an organisation and a service.
// At most one call runs for an identity.
type Identity struct {
	Organisation string
	Service      string
	Key          uuid.UUID
}

// Settings are the bounds of the protocol. They are the same in every sidecar of
// a service.
type Settings struct {
	// KeyWindow is the maximum age of an accepted key. It is shorter than the
	// retention of the log, so that the log still holds the records of the key.
	KeyWindow time.Duration
	// MaxClockSkew bounds the difference between any two clocks of callers,
	// sidecars and the log.
	MaxClockSkew time.Duration
	// DecisionTimeout bounds the time from the receipt of a call to its run or
	// refusal.
	DecisionTimeout time.Duration
	// MaxInProgressAge is the age of a claim, by log time, above which a claim
	// without an outcome is reported as OutcomeUnknown instead of InProgress.
	MaxInProgressAge time.Duration
	// RetryAfter is the retry hint on refusals for which a retry can succeed.
	RetryAfter time.Duration
	// MaxAnswerBytes bounds the body of a stored answer.
	MaxAnswerBytes int
	// MaxTotalAnswerBytes bounds the sum of the bodies in one Index.
	MaxTotalAnswerBytes int
	// MaxIdentities bounds the identities in one Index.
	MaxIdentities int
}

// DefaultSettings returns the settings used by the daemons.
func DefaultSettings() Settings {
	return Settings{
		KeyWindow:           12 * time.Hour,
		MaxClockSkew:        30 * time.Second,
		DecisionTimeout:     2 * time.Second,
		MaxInProgressAge:    5 * time.Minute,
		RetryAfter:          time.Second,
		MaxAnswerBytes:      4 << 10,
		MaxTotalAnswerBytes: 8 << 20,
		MaxIdentities:       50_000,
	}
}

// KeyTime returns the creation time encoded in a UUIDv7.
func KeyTime(key uuid.UUID) time.Time {
	ms := int64(key[0])<<40 | int64(key[1])<<32 | int64(key[2])<<24 |
		int64(key[3])<<16 | int64(key[4])<<8 | int64(key[5])
	return time.UnixMilli(ms)
}

// ParseKeyText parses the Idempotency-Key of a call without checking its age.
func ParseKeyText(text string) (uuid.UUID, *errkind.Error) {
	if text == "" {
		return uuid.Nil, errkind.New(errkind.MissingIdempotencyKey, "Idempotency-Key is required")
	}
	key, err := uuid.Parse(text)
	if err != nil {
		return uuid.Nil, errkind.Wrap(errkind.InvalidIdempotencyKey, err, "Idempotency-Key is not a UUID")
	}
	if key.Version() != 7 || key.Variant() != uuid.RFC4122 {
		return uuid.Nil, errkind.New(errkind.InvalidIdempotencyKey, "Idempotency-Key is not a UUIDv7")
	}
	return key, nil
}

// ParseKey parses the Idempotency-Key of a call and checks its age at now.
func ParseKey(text string, now time.Time, s Settings) (uuid.UUID, *errkind.Error) {
	key, err := ParseKeyText(text)
	if err != nil {
		return uuid.Nil, err
	}
	created := KeyTime(key)
	if created.After(now.Add(s.MaxClockSkew)) {
		return uuid.Nil, errkind.New(errkind.InvalidIdempotencyKey, "creation time of the Idempotency-Key is in the future")
	}
	if created.Before(now.Add(s.MaxClockSkew - s.KeyWindow)) {
		return uuid.Nil, keyExpiredError()
	}
	return key, nil
}

func keyExpiredError() *errkind.Error {
	return errkind.New(errkind.IdempotencyKeyExpired, "Idempotency-Key is older than the retained claims")
}

// HashBody returns a digest of the method, path and body of a request. It
// distinguishes different requests that have the same key.
func HashBody(method, path string, body []byte) string {
	h := sha256.New()
	// The length prefixes keep different requests from having the same input.
	for _, part := range []string{method, path} {
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// PartitionOf returns the partition of id among n partitions.
func PartitionOf(id Identity, n int) int {
	if n <= 1 {
		return 0
	}
	return int(xxh3.Hash(id.Key[:]) % uint64(n))
}

// StreamName returns the name of the log stream of a partition.
func StreamName(service string, partition int) string {
	return "claims." + service + "." + strconv.Itoa(partition)
}
