package jsontext

import (
	"bytes"
	"encoding/json"
	"errors"
	"unicode/utf8"
)

// ErrNotObject and ErrNotList report a value of another type than the one that is to be visited.
var (
	ErrNotObject = errors.New("jsontext: the value is no object")
	ErrNotList   = errors.New("jsontext: the value is no list")
)

// Check returns nil if a text is one valid JSON value, and otherwise the error of encoding/json,
// such as a *json.SyntaxError.
func Check(text []byte) error {
	return json.Unmarshal(text, &ignoredValue{})
}

// ignoredValue takes any JSON value, and keeps nothing of it.
type ignoredValue struct{}

// UnmarshalJSON implements json.Unmarshaler.
func (*ignoredValue) UnmarshalJSON([]byte) error { return nil }

// Members calls visit for each member of an object, in order, and stops at its first error. It
// returns ErrNotObject if the value is no object.
func Members(text []byte, visit func(name string, value []byte) error) error {
	position := skipSpace(text, 0)
	if position == len(text) || text[position] != '{' {
		return ErrNotObject
	}
	for position = skipSpace(text, position+1); text[position] != '}'; position = skipSeparator(text, position) {
		nameEnd := skipString(text, position)
		name, err := decodeName(text[position:nameEnd])
		if err != nil {
			return err
		}
		colon := skipSpace(text, nameEnd)
		begin := skipSpace(text, colon+1)
		position = skipValue(text, begin)
		if err := visit(name, text[begin:position]); err != nil {
			return err
		}
	}
	return nil
}

// Elements calls visit for each element of a list, with its position from 0 on, and stops at its
// first error. It returns ErrNotList if the value is no list.
func Elements(text []byte, visit func(position int, value []byte) error) error {
	position := skipSpace(text, 0)
	if position == len(text) || text[position] != '[' {
		return ErrNotList
	}
	number := 0
	for position = skipSpace(text, position+1); text[position] != ']'; position = skipSeparator(text, position) {
		begin := position
		position = skipValue(text, begin)
		if err := visit(number, text[begin:position]); err != nil {
			return err
		}
		number++
	}
	return nil
}

// Counts is what a JSON text consists of.
type Counts struct {
	// Objects counts the objects at any depth.
	Objects int
	// Elements counts the elements of all lists.
	Elements int
}

// Count counts what a text consists of. It allocates no more than a byte for each level of nesting.
func Count(text []byte) Counts {
	var counts Counts
	var containers []byte
	for position := skipSpace(text, 0); position < len(text); {
		switch text[position] {
		case '"':
			position = skipString(text, position)
			continue
		case '{':
			counts.Objects++
			containers = append(containers, '{')
		case '[':
			if text[skipSpace(text, position+1)] != ']' {
				counts.Elements++
			}
			containers = append(containers, '[')
		case '}', ']':
			containers = containers[:len(containers)-1]
		case ',':
			if containers[len(containers)-1] == '[' {
				counts.Elements++
			}
		}
		position++
	}
	return counts
}

// decodeName returns the name of a member from its text with quotes.
func decodeName(quoted []byte) (string, error) {
	plain := quoted[1 : len(quoted)-1]
	if bytes.IndexByte(plain, '\\') < 0 && utf8.Valid(plain) {
		return string(plain), nil
	}
	var name string
	err := json.Unmarshal(quoted, &name)
	return name, err
}

// skipSpace returns the position of the first byte from a position on that is no white space.
func skipSpace(text []byte, position int) int {
	for position < len(text) && isSpace(text[position]) {
		position++
	}
	return position
}

func isSpace(character byte) bool {
	return character == ' ' || character == '\n' || character == '\r' || character == '\t'
}

// skipSeparator returns the position of the next member or element behind a value, or that of the
// bracket behind the last one.
func skipSeparator(text []byte, position int) int {
	position = skipSpace(text, position)
	if text[position] == ',' {
		return skipSpace(text, position+1)
	}
	return position
}

// skipValue returns the position behind the value that begins at a position.
func skipValue(text []byte, position int) int {
	switch text[position] {
	case '"':
		return skipString(text, position)
	case '{', '[':
		return skipContainer(text, position)
	}
	for position < len(text) && !isSpace(text[position]) && bytes.IndexByte([]byte(",]}"), text[position]) < 0 {
		position++
	}
	return position
}

// skipContainer returns the position behind the object or list that begins at a position.
func skipContainer(text []byte, position int) int {
	depth := 0
	for {
		switch text[position] {
		case '"':
			position = skipString(text, position)
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		position++
		if depth == 0 {
			return position
		}
	}
}

// skipString returns the position behind the string that begins at a position.
func skipString(text []byte, position int) int {
	for position++; text[position] != '"'; position++ {
		if text[position] == '\\' {
			position++
		}
	}
	return position + 1
}
