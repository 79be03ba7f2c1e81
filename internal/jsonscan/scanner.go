// Package jsonscan splits JSON objects and arrays into their elements, however deeply these are nested.
package jsonscan

import (
	"bytes"

	"github.com/cockroachdb/errors"
)

// ErrMalformed is returned for JSON text that is not the expected object or array.
var ErrMalformed = errors.New("malformed JSON object or array")

// Scanner splits a JSON object or array into its elements without parsing them, so that a large
// document can be parsed one element at a time. An element is validated only when it is parsed; the
// values of unknown top-level fields are scanned to find their end, but never parsed.
type Scanner struct {
	data []byte
	pos  int
}

// New returns a Scanner of the text.
func New(data []byte) Scanner { return Scanner{data: data} }

// Peek skips white space and returns the next byte without consuming it, or 0 at the end.
func (s *Scanner) Peek() byte {
	for s.pos < len(s.data) {
		switch c := s.data[s.pos]; c {
		case ' ', '\t', '\r', '\n':
			s.pos++
		default:
			return c
		}
	}

	return 0
}

// consume skips white space and, if the next byte is c, that byte. It reports whether it was c.
func (s *Scanner) consume(c byte) bool {
	if s.Peek() != c {
		return false
	}
	s.pos++

	return true
}

// scanString skips a quoted string and returns the bytes between the quotes, with escapes. ok is
// false if the closing quote is missing.
func (s *Scanner) scanString() (text []byte, ok bool) {
	s.pos++
	for from := s.pos; ; {
		n := bytes.IndexByte(s.data[s.pos:], '"')
		if n < 0 {
			return nil, false
		}
		s.pos += n + 1
		text = s.data[from : s.pos-1]
		escapes := len(text) - len(bytes.TrimRight(text, `\`))
		if escapes%2 == 0 {
			return text, true
		}
	}
}

// Value skips a value and returns its bytes.
func (s *Scanner) Value() ([]byte, error) {
	s.Peek()
	from, depth := s.pos, 0
	for s.pos < len(s.data) {
		switch s.data[s.pos] {
		case '"':
			if _, ok := s.scanString(); !ok {
				return nil, ErrMalformed
			}

			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case ',':
			if depth == 0 {
				return s.data[from:s.pos], nil
			}
		}
		if depth < 0 {
			return s.data[from:s.pos], nil
		}
		s.pos++
	}

	return nil, ErrMalformed
}

// EachElement calls f for each element of an array. f has to consume the element.
func (s *Scanner) EachElement(f func() error) error {
	return s.eachItem('[', ']', f)
}

// EachField calls f with the name of each field of an object. f has to consume the value.
func (s *Scanner) EachField(f func(name []byte) error) error {
	return s.eachItem('{', '}', func() error {
		if s.Peek() != '"' {
			return ErrMalformed
		}
		name, ok := s.scanString()
		if !ok || !s.consume(':') {
			return ErrMalformed
		}

		return f(name)
	})
}

// eachItem calls f for each of the comma-separated items between the two delimiters.
func (s *Scanner) eachItem(begin, end byte, f func() error) error {
	if !s.consume(begin) {
		return ErrMalformed
	}
	for first := true; !s.consume(end); first = false {
		if !first && !s.consume(',') {
			return ErrMalformed
		}
		if err := f(); err != nil {
			return err
		}
	}

	return nil
}

// ExpectEnd returns an error unless only white space is left.
func (s *Scanner) ExpectEnd() error {
	if s.Peek(); s.pos < len(s.data) {
		return ErrMalformed
	}

	return nil
}
