package inventory

import (
	"errors"
	"slices"
	"strings"
)

const acceptedPattern = `segments such as "/loans/{loan}/items" or "/files/{rest...}"`

// pattern is a parsed path pattern of a route.
type pattern struct {
	// segments holds the literal segments; an empty one matches any one segment.
	segments []string
	// tail is true for a pattern that ends with a variable such as "{rest...}", which
	// matches one or more segments.
	tail bool
}

func parsePattern(s string) (pattern, error) {
	var p pattern
	if !strings.HasPrefix(s, "/") {
		return p, errors.New("the path pattern does not begin with '/'")
	}
	if s == "/" {
		return p, nil
	}
	parts := strings.Split(s[1:], "/")
	for i, part := range parts {
		name, variable := strings.CutPrefix(part, "{")
		if !variable {
			if !validSegment(part) {
				return p, errors.New("the path pattern has an empty or unusable segment")
			}
			p.segments = append(p.segments, part)
			continue
		}
		name, closed := strings.CutSuffix(name, "}")
		name, tail := strings.CutSuffix(name, "...")
		if !closed || !validSegment(name) || (tail && i != len(parts)-1) {
			return p, errors.New("the path pattern has an unusable variable")
		}
		if tail {
			p.tail = true
			return p, nil
		}
		p.segments = append(p.segments, "")
	}
	return p, nil
}

// validSegment reports whether a segment consists of characters that need no percent
// encoding in a URL path, so that it can be written in one way only.
func validSegment(s string) bool {
	if s == "" || s == "." || s == ".." {
		return false
	}
	return !strings.ContainsFunc(s, func(c rune) bool {
		letter := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
		return !letter && !strings.ContainsRune("-._~:@", c)
	})
}

// shape returns the pattern without the names of its variables. It is equal for
// patterns that match the same paths.
func (p pattern) shape() string {
	var b strings.Builder
	for _, s := range p.segments {
		if s == "" {
			s = "{}"
		}
		b.WriteString("/" + s)
	}
	if p.tail {
		b.WriteString("/{...}")
	}
	return b.String()
}

// matches reports whether the path matches the pattern. A path with an empty, "." or
// ".." segment matches no pattern, since an endpoint could normalize it to the path
// of another route.
func (p pattern) matches(path string) bool {
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return false
	}
	for _, want := range p.segments {
		var part string
		if rest == "" {
			return false
		}
		part, rest = cutSegment(rest)
		if part == "" || part == "." || part == ".." || (want != "" && part != want) {
			return false
		}
	}
	if !p.tail {
		return rest == ""
	}
	return validTail(rest)
}

// cutSegment returns the first segment and the rest after its '/'. If the path ends
// with that '/', the rest is "/" and not empty, so that "/a/" does not match the
// pattern "/a".
func cutSegment(s string) (segment, rest string) {
	segment, rest, found := strings.Cut(s, "/")
	if found && rest == "" {
		return segment, "/"
	}
	return segment, rest
}

// validTail reports whether the path has segments and none is empty, "." or "..".
func validTail(rest string) bool {
	if rest == "" {
		return false
	}
	for rest != "" {
		var part string
		part, rest = cutSegment(rest)
		if part == "" || part == "." || part == ".." {
			return false
		}
	}
	return true
}

// comparePatterns orders patterns so that the first one that matches a path is the
// most specific: literal segments sort before variables, and variables before a tail.
func comparePatterns(a, b pattern) int {
	for i := range min(len(a.segments), len(b.segments)) {
		if c := compareSegments(a.segments[i], b.segments[i]); c != 0 {
			return c
		}
	}
	return len(b.segments) - len(a.segments)
}

// compareSegments orders segments of patterns; a variable, which is empty, sorts last.
func compareSegments(a, b string) int {
	switch {
	case a == b:
		return 0
	case a == "":
		return 1
	case b == "":
		return -1
	default:
		return strings.Compare(a, b)
	}
}

func sortPatterns[T any](s []T, patternOf func(T) pattern) {
	slices.SortStableFunc(s, func(a, b T) int { return comparePatterns(patternOf(a), patternOf(b)) })
}
