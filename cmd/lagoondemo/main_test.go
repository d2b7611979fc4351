package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a step of the demo that fails; newcomers run the demo first.
func TestDemo(t *testing.T) {
	var out, errOut bytes.Buffer
	require.Equal(t, exitDone, run(t.Context(), []string{"-exit"}, &out, &errOut), "%s%s", out.String(), errOut.String())
	for _, step := range []string{"1. ", "2. ", "3. ", "4. ", "5. ", "the other daemons go on"} {
		require.Contains(t, out.String(), step)
	}
}

// Guards against invalid arguments that start the fleet instead of ending with a usage
// error.
func TestArguments(t *testing.T) {
	var out, errOut bytes.Buffer
	require.Equal(t, exitUsage, run(t.Context(), []string{"now"}, &out, &errOut))
	require.Equal(t, exitUsage, run(t.Context(), []string{"-nothing"}, &out, &errOut))
	require.Equal(t, exitDone, run(t.Context(), []string{"-h"}, &out, &errOut))
	require.Contains(t, errOut.String(), "Usage:")
}
