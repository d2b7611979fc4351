package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a demo, the first thing that a newcomer runs, that no longer works.
func TestDemo(t *testing.T) {
	var out, errOut bytes.Buffer
	require.Equal(t, exitDone, run(t.Context(), []string{"-exit"}, &out, &errOut), "%s%s", out.String(), errOut.String())
	for _, step := range []string{"1. ", "2. ", "3. ", "4. ", "5. ", "the other daemons go on"} {
		require.Contains(t, out.String(), step)
	}
}

// Guards against wrong arguments that start a fleet.
func TestArguments(t *testing.T) {
	var out, errOut bytes.Buffer
	require.Equal(t, exitUsage, run(t.Context(), []string{"now"}, &out, &errOut))
	require.Equal(t, exitUsage, run(t.Context(), []string{"-nothing"}, &out, &errOut))
	require.Equal(t, exitDone, run(t.Context(), []string{"-h"}, &out, &errOut))
	require.Contains(t, errOut.String(), "Usage:")
}
