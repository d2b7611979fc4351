package caller

import (
	"bytes"
	"encoding/json"
	"strings"
)

// The functions in this file scan a body that is known to be valid UTF-8 and JSON. They
// don't copy values: a prompt of 100,000 tokens has 400 kB, and decoding it takes five
// times as long.

// forEachMember calls f for each member of the object b until f returns an error. It
// returns false when b is not an object.
func forEachMember(b []byte, f func(key string, value json.RawMessage) error) (bool, error) {
	i := skipSpace(b, 0)
	if b[i] != '{' {
		return false, nil
	}
	for i = skipSpace(b, i+1); b[i] != '}'; {
		end := skipValue(b, i)
		key := unquote(b[i:end])
		i = skipSpace(b, skipSpace(b, end)+1) // after the colon
		end = skipValue(b, i)
		if err := f(key, b[i:end:end]); err != nil {
			return true, err
		}
		i = nextItem(b, end)
	}
	return true, nil
}

// forEachElement calls f for each element of the array b until f returns an error. It
// returns false when b is not an array.
func forEachElement(b []byte, f func(index int, value json.RawMessage) error) (bool, error) {
	i := skipSpace(b, 0)
	if b[i] != '[' {
		return false, nil
	}
	i = skipSpace(b, i+1)
	for n := 0; b[i] != ']'; n++ {
		end := skipValue(b, i)
		if err := f(n, b[i:end:end]); err != nil {
			return true, err
		}
		i = nextItem(b, end)
	}
	return true, nil
}

// nextItem returns the index of the next member or element, or of the closing bracket.
// The previous one ends at i.
func nextItem(b []byte, i int) int {
	i = skipSpace(b, i)
	if b[i] == ',' {
		return skipSpace(b, i+1)
	}
	return i
}

func skipSpace(b []byte, i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\t' || b[i] == '\n' || b[i] == '\r') {
		i++
	}
	return i
}

// skipValue returns the index after the value that begins at i.
func skipValue(b []byte, i int) int {
	switch b[i] {
	case '"':
		return skipString(b, i)
	case '{', '[':
		return skipNested(b, i)
	}
	for i < len(b) && !strings.ContainsRune(",]} \t\r\n", rune(b[i])) {
		i++
	}
	return i
}

func skipNested(b []byte, i int) int {
	depth := 0
	for {
		switch b[i] {
		case '"':
			i = skipString(b, i)
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		i++
		if depth == 0 {
			return i
		}
	}
}

// skipString returns the index after the string that begins at i.
func skipString(b []byte, i int) int {
	for i++; ; i++ {
		i += bytes.IndexByte(b[i:], '"')
		escapes := 0
		for b[i-1-escapes] == '\\' {
			escapes++
		}
		if escapes%2 == 0 {
			return i + 1
		}
	}
}

// unquote returns the text of a JSON string.
func unquote(b []byte) string {
	if bytes.IndexByte(b, '\\') < 0 {
		return string(b[1 : len(b)-1])
	}
	var s string
	_ = json.Unmarshal(b, &s) // the string is valid JSON
	return s
}
