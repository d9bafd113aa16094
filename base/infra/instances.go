package infra

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"

	"github.com/go-faster/errors"

	"github.com/filbertmux/filbertmux/base/errkind"
)

// InvalidEntriesError reports entries of an instance list that name no instance to use.
// Other writers may leave such entries. The rest of the list is valid.
type InvalidEntriesError struct {
	// Count is the number of invalid entries, and First the error of the first one.
	Count int
	First error
}

// Error implements error.
func (e *InvalidEntriesError) Error() string {
	return fmt.Sprintf("%d entries of the instance list are invalid, the first one: %v", e.Count, e.First)
}

// ValidInstances reads a list and returns its valid entries. invalid is nil if there are no
// others.
func ValidInstances(ctx context.Context, list InstanceList) (valid []Instance, invalid *InvalidEntriesError, err error) {
	valid, err = list.Instances(ctx)
	if errors.As(err, &invalid) {
		return valid, invalid, nil
	}
	return valid, nil, err
}

// Unwrap returns the error of the first invalid entry.
func (e *InvalidEntriesError) Unwrap() error { return e.First }

// decodeInstances decodes an instance list entry by entry, so that an invalid one doesn't
// hide the others. If some are invalid it returns the valid ones and an
// InvalidEntriesError.
func decodeInstances(data []byte) ([]Instance, error) {
	entries, err := splitArray(data)
	if err != nil {
		return nil, errkind.Wrap(errkind.PlatformUnavailable, err, "decode instance list")
	}
	list := make([]Instance, 0, len(entries))
	var invalid InvalidEntriesError
	for _, entry := range entries {
		i, err := decodeInstance(entry)
		if err == nil {
			list = append(list, i)
			continue
		}
		if invalid.Count++; invalid.First == nil {
			invalid.First = err
		}
	}
	if invalid.Count > 0 {
		return list, &invalid
	}
	return list, nil
}

func decodeInstance(data []byte) (Instance, error) {
	var i Instance
	if err := json.Unmarshal(data, &i); err != nil {
		return Instance{}, errors.Wrap(err, "decode instance")
	}
	if i.ID == "" {
		return Instance{}, errors.New("instance without an id")
	}
	host, port, err := net.SplitHostPort(i.Address)
	if err != nil {
		return Instance{}, errors.Wrapf(err, "instance %q", i.ID)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return Instance{}, errors.Errorf("instance %q has the invalid address %q", i.ID, i.Address)
	}
	return i, nil
}

// splitArray returns the elements of a JSON array without decoding them. Unlike package
// json it doesn't limit how deeply they are nested.
func splitArray(data []byte) ([][]byte, error) {
	data = bytes.TrimSpace(data)
	if string(data) == "null" {
		return nil, nil
	}
	if len(data) < 2 || data[0] != '[' || data[len(data)-1] != ']' {
		return nil, errors.New("not an array")
	}
	inner := bytes.TrimSpace(data[1 : len(data)-1])
	if len(inner) == 0 {
		return nil, nil
	}
	var elements [][]byte
	depth, start, inString := 0, 0, false
	for i := 0; i < len(inner); i++ {
		switch c := inner[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			if depth--; depth < 0 {
				return nil, errors.New("the array ends before the data")
			}
		case c == ',' && depth == 0:
			elements = append(elements, inner[start:i])
			start = i + 1
		}
	}
	if depth != 0 || inString {
		return nil, errors.New("the array is incomplete")
	}
	return append(elements, inner[start:]), nil
}
