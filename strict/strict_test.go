package strict

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// Guards against accepting values that are out of range, and scalars that a person
// may mean differently than YAML does, such as 0x7, 1_000 and yes.
func TestScalars(t *testing.T) {
	const text = `{i: %s, d: %s, b: %s}`
	for _, c := range []struct {
		i, d, b string
		faults  int
	}{
		{"7", "1.5s", "true", 0},
		{"07", "1m30s", "false", 0},
		{"0x7", "5", "yes", 3},
		{"1_000", "-1s", "1", 3},
		{`"7"`, "1d", `"true"`, 3},
		{"7.0", "~", "", 3},
		{"[7]", "{}", "null", 3},
		{"99999999999999999999", "2h", "True", 2},
	} {
		m, err := Open("f", fmt.Appendf(nil, text, c.i, c.d, c.b), 1000)
		require.NoError(t, err)
		m.Int("i", 0, 0, 100)
		m.Duration("d", 0, 0, time.Hour)
		m.Bool("b", false)
		m.ReportUnknown()
		var p Problems
		errors.As(m.Err("test"), &p)
		require.Len(t, p, c.faults, "%+v: %v", c, p)
	}
}

// Guards against duplicates that are found only in mappings without an index.
func TestDuplicateInALargeMapping(t *testing.T) {
	var text strings.Builder
	for i := range 5 * minIndexedFields {
		fmt.Fprintf(&text, "f%d: 1\n", i)
	}
	m, err := Open("f", []byte(text.String()+"f7: 2\n"), 10000)
	require.NoError(t, err)
	err = m.Err("test")
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindInvalid))
	require.ErrorContains(t, err, "f:81:1: f7: duplicate field; the first is in line 8")
}

// Guards against empty documents that are rejected, and malformed ones that are
// accepted.
func TestEmptyDocument(t *testing.T) {
	for _, text := range []string{"", "# nothing\n", "---\n", "null"} {
		m, err := Open("f", []byte(text), 100)
		require.NoError(t, err, text)
		m.ReportUnknown()
		require.NoError(t, m.Err("test"))
	}
	for _, text := range []string{"a: [", "\xff", "a: \x01", "text", "a: 1\n--- {b: 1}", "? [x]\n: 1"} {
		m, err := Open("f", []byte(text), 100)
		if err == nil {
			err = m.Err("test")
		}
		require.True(t, lagoonhead.IsKind(err, lagoonhead.KindInvalid), text)
	}
}

// Guards against parsing of a short text that would take gigabytes of memory.
func TestTooManyValues(t *testing.T) {
	for _, text := range []string{"a,", "- ", "-\t", "-\n", "?,", "[", "a: "} {
		_, err := Open("f", []byte(strings.Repeat(text, maxSeparators+1)), 4*maxSeparators)
		require.ErrorContains(t, err, "separators")
	}
}

// Guards against messages that list thousands of accepted values.
func TestListIsShortened(t *testing.T) {
	require.Equal(t, "a, b", JoinAccepted([]string{"a", "b"}))
	require.Equal(t, strings.Repeat("x, ", 11)+"x and 88 more", JoinAccepted(strings.Split(strings.Repeat("x ", 99)+"x", " ")))
}
