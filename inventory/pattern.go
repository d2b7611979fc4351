package inventory

import (
	"errors"
	"slices"
	"strings"
)

const acceptedPattern = `segments such as "/loans/{loan}/items" or "/files/{rest...}"`

// pattern is a parsed path pattern. An empty segment stands for one variable
// segment.
type pattern struct {
	segments []string
	tail     bool
}

// parsePattern reads a path pattern.
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
			if !plainSegment(part) {
				return p, errors.New("the path pattern has an empty or unusable segment")
			}
			p.segments = append(p.segments, part)
			continue
		}
		name, closed := strings.CutSuffix(name, "}")
		name, tail := strings.CutSuffix(name, "...")
		if !closed || !plainSegment(name) || (tail && i != len(parts)-1) {
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

// plainSegment accepts the unreserved characters of URLs, so that a segment has
// one spelling only.
func plainSegment(s string) bool {
	if s == "" || s == "." || s == ".." {
		return false
	}
	return !strings.ContainsFunc(s, func(c rune) bool {
		letter := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
		return !letter && !strings.ContainsRune("-._~:@", c)
	})
}

// shape is equal for patterns that match the same paths.
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

// matches reports whether the path has the pattern. A path with an empty, "." or
// ".." segment has none, since an endpoint could read it as another route.
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
	return cleanTail(rest)
}

// cutSegment returns the first segment. The rest of a path that ends with '/' is
// not empty, so that the path does not match without its end.
func cutSegment(s string) (segment, rest string) {
	segment, rest, found := strings.Cut(s, "/")
	if found && rest == "" {
		return segment, "/"
	}
	return segment, rest
}

func cleanTail(rest string) bool {
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

// comparePatterns orders patterns so that the first that matches is the most
// specific: literal segments go before variables, and variables before a tail.
func comparePatterns(a, b pattern) int {
	for i := range min(len(a.segments), len(b.segments)) {
		if c := compareSegments(a.segments[i], b.segments[i]); c != 0 {
			return c
		}
	}
	return len(b.segments) - len(a.segments)
}

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

func sortPatterns[T any](s []T, of func(T) pattern) {
	slices.SortStableFunc(s, func(a, b T) int { return comparePatterns(of(a), of(b)) })
}
