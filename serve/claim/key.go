// Package claim decides whether a non-idempotent call may run. It folds one
// partition of the claim stream (Book) and holds the state machine of one
// call (Call). Both are deterministic and do no I/O.
//
// Nothing in this package is safe for concurrent use; the caller serialises
// access to each Book and each Call.
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

// Identity names one booking. At most one run exists for an identity.
type Identity struct {
	Organisation string
	Service      string
	Key          uuid.UUID
}

// Settings are the bounds that every sidecar of a service shares.
type Settings struct {
	// Window is how long a key is accepted. It is shorter than the retention
	// of the log, so that the records of an accepted key are still there.
	KeyWindow time.Duration
	// Skew bounds the difference between any two clocks of callers, sidecars
	// and the log.
	MaxClockSkew time.Duration
	// DecideWithin bounds the time from the receipt of a call to its run or
	// refusal.
	DecisionTimeout time.Duration
	// InProgressFor is the claim age (log time) after which a claim without
	// an outcome is reported as OutcomeUnknown in place of InProgress.
	MaxInProgressAge time.Duration
	// RetryAfter is the hint on refusals that a later attempt can overcome.
	RetryAfter time.Duration
	// MaxAnswerBytes bounds the body of a stored answer.
	MaxAnswerBytes int
	// MaxAnswersBytes bounds the bodies that one Book holds.
	MaxTotalAnswerBytes int
	// MaxEntries bounds the identities that one Book holds.
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

// KeyTime returns the creation time that a UUIDv7 carries.
func KeyTime(key uuid.UUID) time.Time {
	ms := int64(key[0])<<40 | int64(key[1])<<32 | int64(key[2])<<24 |
		int64(key[3])<<16 | int64(key[4])<<8 | int64(key[5])
	return time.UnixMilli(ms)
}

// ParseKeyText parses the Idempotency-Key of a call without a look at its age.
func ParseKeyText(text string) (uuid.UUID, *errkind.Error) {
	if text == "" {
		return uuid.Nil, errkind.New(errkind.MissingIdempotencyKey, "Idempotency-Key is required")
	}
	key, err := uuid.Parse(text)
	if err != nil {
		return uuid.Nil, errkind.Wrap(errkind.InvalidIdempotencyKey, err, "Idempotency-Key")
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
		return uuid.Nil, errkind.New(errkind.InvalidIdempotencyKey, "Idempotency-Key is from the future")
	}
	if created.Before(now.Add(s.MaxClockSkew - s.KeyWindow)) {
		return uuid.Nil, expired()
	}
	return key, nil
}

func expired() *errkind.Error {
	return errkind.New(errkind.IdempotencyKeyExpired, "Idempotency-Key is older than the retained claims")
}

// HashBody returns the digest that tells two bodies under one key apart.
func HashBody(method, path string, body []byte) string {
	h := sha256.New()
	// The lengths separate the parts, so that no two requests share an input.
	for _, part := range []string{method, path} {
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// PartitionOf returns the partition of id among n.
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
