package fleet

import (
	"fmt"
	"math"
	"strings"

	"github.com/go-faster/errors"
)

// maxHeaderLimit is the highest limit for the headers of a request. The HTTP server adds
// 4,096 bytes to the limit; if the sum overflows, it refuses each request.
const maxHeaderLimit = math.MaxInt - 4096

// Refusal is a reason why no process can serve with a configuration.
type Refusal struct {
	Ref    Ref
	Reason string
}

// Refusals returns the reasons why no process can serve with c. Processes go on with the
// configuration that they have. A configuration with which a part of the requests can be
// served isn't refused, because the others would then be served by an outdated one.
func (c *Config) Refusals() []Refusal {
	var refusals []Refusal
	if c.Limits.MaxHeaderBytes > maxHeaderLimit {
		refusals = append(refusals, Refusal{
			Ref:    Ref{Entry: EntryLimits, Field: FieldMaxHeaderBytes},
			Reason: fmt.Sprintf("each request would be refused with a header limit of more than %d bytes", maxHeaderLimit),
		})
	}
	return refusals
}

// Validate returns the refusals as one error, or nil if there are none.
func (c *Config) Validate() error {
	refusals := c.Refusals()
	if len(refusals) == 0 {
		return nil
	}
	reasons := make([]string, 0, len(refusals))
	for _, r := range refusals {
		reasons = append(reasons, r.Reason)
	}
	return errors.Errorf("configuration can't be served: %s", strings.Join(reasons, "; "))
}

// Supersedes reports whether a process that has the configuration current replaces it by c.
// current is nil if the process has none.
func (c *Config) Supersedes(current *Config) bool {
	return current == nil || c.Version > current.Version
}
