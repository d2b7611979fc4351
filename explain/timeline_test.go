package explain

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"go.yaml.in/yaml/v3"

	"github.com/lagoonhead/lagoonhead/outlog"
)

// timelineOf passes the test log through a Timeline twice, as lagoonctl does.
func timelineOf(t *testing.T, request string) (tl Timeline, broken int) {
	raw, err := os.ReadFile("testdata/fleet.log")
	require.NoError(t, err)
	tl.Request = request
	broken, err = outlog.Read(bytes.NewReader(raw), tl.Find)
	require.NoError(t, err)
	_, err = outlog.Read(bytes.NewReader(raw), tl.Relate)
	require.NoError(t, err)
	return tl, broken
}

// Guards against a timeline with a wrong cause, without the events of other VMs, or with
// events that are unrelated to the request.
func TestTimeline(t *testing.T) {
	raw, err := os.ReadFile("testdata/timelines.yaml")
	require.NoError(t, err)
	var cases []struct {
		Request, Cause string
		Text           string
	}
	require.NoError(t, yaml.Unmarshal(raw, &cases))
	for _, c := range cases {
		t.Run(c.Request, func(t *testing.T) {
			tl, broken := timelineOf(t, c.Request)
			require.Equal(t, 1, broken)
			require.True(t, tl.Found())
			require.Equal(t, c.Cause, tl.Cause())
			var out bytes.Buffer
			require.NoError(t, tl.Print(&out))
			if c.Text != "" {
				require.Equal(t, c.Text, out.String())
			}
		})
	}
}

// Guards against a request that is found by an identifier in another field.
func TestUnknownRequest(t *testing.T) {
	tl, _ := timelineOf(t, "e-1")
	require.False(t, tl.Found())
}
