package freeport

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two test processes that start daemons on the same port, one of which then
// fails to listen.
func TestProcessesFindDifferentPorts(t *testing.T) {
	returned := make(map[string]bool)
	finders := make([]finder, 8)
	for range 3 * blockSize {
		for i := range finders {
			a, err := finders[i].find()
			require.NoError(t, err)
			require.False(t, returned[a], a)
			returned[a] = true
		}
	}
	for i := range finders {
		for _, l := range finders[i].claims {
			require.NoError(t, l.Close())
		}
	}
}
