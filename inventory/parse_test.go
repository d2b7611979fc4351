package inventory

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

var update = flag.Bool("update", false, "rewrite the expected messages in testdata")

// sample returns the inventory of testdata/kastiklaud.yaml.
func sample(t testing.TB) *Inventory {
	t.Helper()
	text, err := os.ReadFile("testdata/kastiklaud.yaml")
	require.NoError(t, err)
	inv, err := Parse("kastiklaud.yaml", text)
	require.NoError(t, err)
	return inv
}

// Guards against faults that are not reported, that are not all reported at once, or
// that are reported without file, line, field and accepted values.
func TestFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/faults/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		text, err := os.ReadFile(f)
		require.NoError(t, err)
		_, err = Parse(filepath.Base(f), text)
		require.True(t, lagoonhead.IsKind(err, lagoonhead.KindInvalid), f)
		want := strings.TrimSuffix(f, ".yaml") + ".txt"
		if *update {
			require.NoError(t, os.WriteFile(want, []byte(err.Error()+"\n"), 0o644))
		}
		expected, readErr := os.ReadFile(want)
		require.NoError(t, readErr)
		require.Equal(t, string(expected), err.Error()+"\n", f)
	}
}

// Guards against parsing of a text above the size limit.
func TestSizeLimit(t *testing.T) {
	_, err := Parse("large.yaml", []byte(strings.Repeat("#", MaxBytes+1)))
	require.ErrorContains(t, err, "large.yaml:1:1: the file has 12582913 bytes; accepted: at most 12582912 bytes")
}

// Guards against a value that Format writes in a form that Parse rejects or parses
// to a different value.
func TestFormatParsesToTheSame(t *testing.T) {
	inv := sample(t)
	text, err := Format(inv)
	require.NoError(t, err)
	again, err := Parse("formatted", text)
	require.NoError(t, err)
	require.Equal(t, inv, again)
	require.NoError(t, Validate(inv))
	inv.Workspaces[0].Rate = 0
	require.Error(t, Validate(inv))
}

// Guards against a panic of the parser, and against accepted texts that Format writes
// in a form that Parse rejects or parses to a different inventory.
func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("testdata/*/*.yaml")
	require.NoError(f, err)
	for _, file := range append(files, "testdata/kastiklaud.yaml") {
		text, err := os.ReadFile(file)
		require.NoError(f, err)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		inv, err := Parse("fuzz", text)
		if err != nil {
			return
		}
		out, err := Format(inv)
		require.NoError(t, err)
		again, err := Parse("again", out)
		require.NoError(t, err, string(out))
		require.Equal(t, inv, again)
	})
}
