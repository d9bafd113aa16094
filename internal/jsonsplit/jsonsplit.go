// Package jsonsplit splits JSON arrays and objects into their elements without decoding them.
// Decoding many tiny elements takes many times the memory of their text, so their number is
// bounded first. Its functions are pure.
package jsonsplit

import "iter"

// Elements returns the texts of the elements of an array, or of the members of an object, in
// order. data is valid JSON; it has no elements if it is neither.
func Elements(data []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		s := scanner{data: data}
		for {
			element := s.next()
			if element == nil || !yield(element) {
				return
			}
		}
	}
}

// HasMore reports whether an array or an object has more than n elements.
func HasMore(data []byte, n int) bool {
	for range Elements(data) {
		if n--; n < 0 {
			return true
		}
	}
	return false
}

// scanner finds the ends of the elements at the outermost level.
type scanner struct {
	data []byte
	at   int
	// depth is the number of open arrays and objects.
	depth int
}

// next returns the text of the next element, or nil.
func (s *scanner) next() []byte {
	start := -1
	for ; s.at < len(s.data); s.at++ {
		c := s.data[s.at]
		atEnd := s.depth == 1 && (c == ',' || c == ']' || c == '}')
		if atEnd && start >= 0 {
			element := s.data[start:s.at]
			if c == ',' {
				s.at++
			}
			return element
		}
		if start < 0 && s.depth == 1 && !isSpace(c) && !atEnd {
			start = s.at
		}
		switch c {
		case '"':
			s.skipString()
		case '[', '{':
			s.depth++
		case ']', '}':
			s.depth--
		}
	}
	return nil
}

// skipString moves to the quotation mark that ends a string.
func (s *scanner) skipString() {
	for s.at++; s.at < len(s.data) && s.data[s.at] != '"'; s.at++ {
		if s.data[s.at] == '\\' {
			s.at++
		}
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }
