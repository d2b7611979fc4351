package caller

import (
	"bytes"
	"encoding/json"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
)

// Guards against a scan that splits a body differently from encoding/json, or reads out
// of bounds.
func FuzzScan(f *testing.F) {
	for _, s := range []string{
		`{}`, `[]`, `{"a":1,"b":[1,{"c":"]"}],"d":"\\\"}"}`, ` { "a" : null , "\u0061b" : -1e5 } `,
		`[ "x" , "\\" , {"a":"\\\\"} , [[]] , true ]`, `"s"`, `7`, `[1 ,2	,3]`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		if !utf8.Valid(b) || !json.Valid(b) {
			return
		}
		var wantMembers map[string]json.RawMessage
		isObject := json.Unmarshal(b, &wantMembers) == nil && wantMembers != nil
		got := map[string]json.RawMessage{}
		ok, err := forEachMember(b, func(key string, v json.RawMessage) error { got[key] = v; return nil })
		require.NoError(t, err)
		require.Equal(t, isObject, ok)
		if isObject {
			require.Equal(t, wantMembers, got)
		}
		var wantElements []json.RawMessage
		isArray := json.Unmarshal(b, &wantElements) == nil && wantElements != nil
		gotElements := []json.RawMessage{}
		ok, err = forEachElement(b, func(_ int, v json.RawMessage) error { gotElements = append(gotElements, v); return nil })
		require.NoError(t, err)
		require.Equal(t, isArray, ok)
		if isArray {
			require.Equal(t, wantElements, gotElements)
		}
	})
}

// Guards against block hashes that differ for a common prefix, or are equal for
// different models or prefixes.
func TestPromptBlocks(t *testing.T) {
	a := bytes.Repeat([]byte("a"), 3*blockBytes+5)
	b := bytes.Clone(a)
	b[2*blockBytes] = 'b'
	x, y := PromptBlocks("m", a), PromptBlocks("m", b)
	require.Len(t, x, 3)
	require.Equal(t, x[:2], y[:2])
	require.NotEqual(t, x[2], y[2])
	require.NotEqual(t, x[0], x[1], "equal blocks at different positions must have different hashes")
	require.NotEqual(t, x[0], PromptBlocks("other", a)[0])
	require.Empty(t, PromptBlocks("m", a[:blockBytes-1]))
}
