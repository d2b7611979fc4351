package outlog

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	fieldInCode = regexp.MustCompile(`zap\.[A-Z]\w*\("([A-Za-z]+)"`)
	fieldInPage = regexp.MustCompile("`([A-Za-z]+)`")
)

// loggedFields returns the sorted names of the log fields in the code, without tests.
func loggedFields(t *testing.T) []string {
	var names []string
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		for _, m := range fieldInCode.FindAllSubmatch(raw, -1) {
			names = append(names, string(m[1]))
		}
		return err
	})
	require.NoError(t, err)
	slices.Sort(names)
	return slices.Compact(names)
}

// documentedFields returns the sorted names in the first column of the table of log
// fields on the operators' page, and "vm".
func documentedFields(t *testing.T) []string {
	raw, err := os.ReadFile("../docs/OPERATIONS.md")
	require.NoError(t, err)
	_, table, found := strings.Cut(string(raw), "| field | what it holds |\n|---|---|\n")
	require.True(t, found, "the table of fields is missing")
	names := []string{"vm"} // every line has it; the page says so above the table
	for row := range strings.Lines(table) {
		cells := strings.Split(row, "|")
		if len(cells) < 3 {
			break
		}
		for _, m := range fieldInPage.FindAllStringSubmatch(cells[1], -1) {
			names = append(names, m[1])
		}
	}
	slices.Sort(names)
	return names
}

// Guards against a log field that the operators' page does not document, and against the
// documentation of a field that does not exist any more.
func TestFieldsAreDocumented(t *testing.T) {
	require.Equal(t, documentedFields(t), loggedFields(t))
}

// Guards against lines that are skipped or counted as broken because a log collector has
// added a prefix, and against a truncated line that ends the reading.
func TestRead(t *testing.T) {
	const log = `17.2 vm-1 {"level":"info","ts":"2026-05-22T03:45:10.5Z","msg":"m","vm":"a","took":3,"steps":["x","y"]}
no object
{"level":"info","ts":"2026-05-22T03:45:10.5Z","msg":"cut
{"level":"info","ts":"yesterday","msg":"m"}
{"level":"warn","ts":"2026-05-22T03:45:11Z","msg":"last","vm":"b"}`
	var got []Line
	broken, err := Read(strings.NewReader(log+"\n{"+strings.Repeat("x", 2*maxLineBytes)), func(l Line) { got = append(got, l) })
	require.NoError(t, err)
	require.Equal(t, 3, broken)
	require.Len(t, got, 2)
	require.Equal(t, "a", got[0].VM)
	require.Equal(t, []string{"x", "y"}, got[0].Texts("steps"))
	require.InDelta(t, 3, got[0].Number("took"), 0)
	require.Equal(t, "last", got[1].Message)
}
