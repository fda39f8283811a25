// Package rawjson splits JSON objects and arrays into their members without decoding them. Unlike encoding/json, which
// checks a whole document first and fails at a nesting depth of 10,000, it passes over members of any depth, so that one
// odd member does not hide the others. It checks only what it needs to find the end of a member.
package rawjson

import (
	"encoding/json"
	"errors"
)

// ErrMalformed is returned for text that is not a single JSON object or array.
var ErrMalformed = errors.New("rawjson: not a JSON object or array")

// Object returns the members of a JSON object. Of members with the same name, the last one counts. A member whose name
// cannot be decoded is left out.
func Object(data []byte) (map[string]json.RawMessage, error) {
	s, err := open(data, '{', '}')
	if err != nil {
		return nil, err
	}
	out := make(map[string]json.RawMessage)
	for !s.atEnd() {
		name, err := s.value()
		if err != nil {
			return nil, err
		}
		if !s.skip(':') {
			return nil, ErrMalformed
		}
		value, err := s.value()
		if err != nil {
			return nil, err
		}
		var key string
		if json.Unmarshal(name, &key) == nil {
			out[key] = value
		}
		if !s.skip(',') && !s.atEnd() {
			return nil, ErrMalformed
		}
	}
	return out, nil
}

// Array returns the elements of a JSON array.
func Array(data []byte) ([]json.RawMessage, error) {
	s, err := open(data, '[', ']')
	if err != nil {
		return nil, err
	}
	var out []json.RawMessage
	for !s.atEnd() {
		value, err := s.value()
		if err != nil {
			return nil, err
		}
		out = append(out, value)
		if !s.skip(',') && !s.atEnd() {
			return nil, ErrMalformed
		}
	}
	return out, nil
}

// scanner reads the members between the brackets of an object or array.
type scanner struct {
	data []byte
	pos  int
}

// open returns a scanner of the text between two brackets.
func open(data []byte, first, last byte) (*scanner, error) {
	s := &scanner{data: data}
	s.skipSpace()
	end := len(data)
	for end > s.pos && isSpace(data[end-1]) {
		end--
	}
	if end-s.pos < 2 || data[s.pos] != first || data[end-1] != last {
		return nil, ErrMalformed
	}
	s.data, s.pos = data[:end-1], s.pos+1
	return s, nil
}

func isSpace(b byte) bool { return b == ' ' || b == '\n' || b == '\r' || b == '\t' }

func (s *scanner) skipSpace() {
	for s.pos < len(s.data) && isSpace(s.data[s.pos]) {
		s.pos++
	}
}

func (s *scanner) atEnd() bool {
	s.skipSpace()
	return s.pos == len(s.data)
}

// skip passes over the next byte if it is b.
func (s *scanner) skip(b byte) bool {
	s.skipSpace()
	if s.pos == len(s.data) || s.data[s.pos] != b {
		return false
	}
	s.pos++
	return true
}

// value returns the next value and passes over it. It uses no recursion, since the depth of the value is not bounded.
func (s *scanner) value() (json.RawMessage, error) {
	s.skipSpace()
	start, depth := s.pos, 0
	for s.pos < len(s.data) {
		switch b := s.data[s.pos]; b {
		case '"':
			if !s.skipString() {
				return nil, ErrMalformed
			}
			if depth == 0 {
				return s.data[start:s.pos], nil
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth < 0 {
				return nil, ErrMalformed
			}
			if depth == 0 {
				s.pos++
				return s.data[start:s.pos], nil
			}
		case ',', ':', ' ', '\n', '\r', '\t':
			if depth == 0 {
				return s.scalar(start)
			}
		}
		s.pos++
	}
	if depth > 0 {
		return nil, ErrMalformed
	}
	return s.scalar(start)
}

// scalar returns the number, boolean or null that began at start and ends before the current position.
func (s *scanner) scalar(start int) (json.RawMessage, error) {
	if s.pos == start {
		return nil, ErrMalformed
	}
	return s.data[start:s.pos], nil
}

// skipString passes over a string and reports whether it ends.
func (s *scanner) skipString() bool {
	for s.pos++; s.pos < len(s.data); s.pos++ {
		switch s.data[s.pos] {
		case '\\':
			s.pos++
		case '"':
			s.pos++
			return true
		}
	}
	s.pos = len(s.data)
	return false
}
