package table

import (
	"cmp"
	"strings"

	"github.com/go-faster/errors"
)

// maxSegments is the maximum number of segments in a pattern. It limits the cost
// of a route match.
const maxSegments = 16

// pattern is a parsed path pattern. A segment is a literal, "{name}" for exactly
// one non-empty segment or, as the last one, "{name...}" for the rest of the
// path.
type pattern struct {
	segments []string // literal text, or "" for a wildcard
	rest     bool     // the pattern ends with "{name...}"
}

func parsePattern(path string) (pattern, error) {
	if !strings.HasPrefix(path, "/") {
		return pattern{}, errors.New("want a path that starts with /")
	}
	parts := splitPath(path)
	if len(parts) > maxSegments {
		return pattern{}, errors.Errorf("want at most %d segments", maxSegments)
	}
	var p pattern
	for i, part := range parts {
		wildcard, isWildcard := strings.CutPrefix(part, "{")
		if !isWildcard {
			if strings.ContainsAny(part, "{}?#% ") {
				return pattern{}, errors.Errorf("segment %q: want a literal without {}?#%% or space, or {name}", part)
			}
			if part == "" {
				return pattern{}, errors.New("empty segment")
			}
			p.segments = append(p.segments, part)
			continue
		}
		name, closed := strings.CutSuffix(wildcard, "}")
		name, isRest := strings.CutSuffix(name, "...")
		if !closed || name == "" || strings.ContainsAny(name, "{}.") {
			return pattern{}, errors.Errorf("segment %q: want {name} or a last {name...}", part)
		}
		if isRest {
			if i != len(parts)-1 {
				return pattern{}, errors.Errorf("segment %q: {name...} must be the last segment", part)
			}
			p.rest = true
			continue
		}
		p.segments = append(p.segments, "")
	}
	return p, nil
}

// canonical returns the pattern without wildcard names. It is equal for two
// patterns that match the same paths.
func (p pattern) canonical() string {
	var b strings.Builder
	for _, s := range p.segments {
		b.WriteByte('/')
		if s == "" {
			s = "{}"
		}
		b.WriteString(s)
	}
	if p.rest {
		b.WriteString("/{...}")
	}
	return b.String()
}

// splitPath returns the segments of a path that starts with /; the root path
// has none.
func splitPath(path string) []string {
	if path == "/" {
		return nil
	}
	return strings.Split(path[1:], "/")
}

func (p pattern) matches(segments []string) bool {
	if len(segments) < len(p.segments) {
		return false
	}
	if !p.rest && len(segments) != len(p.segments) {
		return false
	}
	for i, want := range p.segments {
		isWildcard := want == ""
		if isWildcard && segments[i] == "" || !isWildcard && want != segments[i] {
			return false
		}
	}
	return true
}

// compareSpecificity orders patterns so that the more specific one comes first:
// a literal before a wildcard, more segments before fewer, and an exact pattern
// before one that matches the rest of the path.
func compareSpecificity(a, b pattern) int {
	for i := range min(len(a.segments), len(b.segments)) {
		aWild, bWild := a.segments[i] == "", b.segments[i] == ""
		if aWild != bWild {
			if aWild {
				return 1
			}
			return -1
		}
	}
	if c := cmp.Compare(len(b.segments), len(a.segments)); c != 0 {
		return c
	}
	if a.rest != b.rest {
		if a.rest {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.canonical(), b.canonical())
}
