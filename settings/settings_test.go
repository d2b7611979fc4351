package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
)

// Guards against a field that is ignored or stored in the wrong setting.
func TestLoad(t *testing.T) {
	s, err := Load("testdata/full.yaml")
	require.NoError(t, err)
	require.Equal(t, VM{ID: "vm1", FailureDomain: "tll-a", Region: "tallinn"}, s.VM)
	require.True(t, s.Peer.TLS())
	require.Equal(t, Trace{Exporter: ExportOTLP, Endpoint: "http://10.0.9.4:4318", SampleRatio: 0.05}, s.Trace)
	require.Equal(t, Drain{Delay: 25 * time.Second, InFlightTimeout: time.Hour}, s.Drain)
	require.Equal(t, Limits{
		MaxBodyBytes: 2 << 20, MemoryBytes: 2 << 30, MaxWait: 5 * time.Second, MaxInFlight: 100,
		HeaderTimeout: 2 * time.Second, IdleTimeout: 4 * time.Second,
	}, s.Limits)
	_, err = Load("testdata/absent.yaml")
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindNotFound))
}

// Guards against a setting that is required although it has a default, and against
// listening without TLS or a token on a non-loopback address by default.
func TestDefault(t *testing.T) {
	s, err := Parse("small.yaml", []byte(`
vm: {id: vm1, failureDomain: a, region: r}
platform: {store: "http://127.0.0.1:1", vms: "http://127.0.0.1:2"}`))
	require.NoError(t, err)
	want := Default()
	want.VM, want.Platform = s.VM, s.Platform
	require.Equal(t, want, s)
	require.Error(t, Default().Check())
	s.Operator.TokenFile = "token"
	s.Listen.Operator = "10.0.0.1:1"
	require.ErrorContains(t, s.Check(), "operator.allowPlainText")
	s.Operator.AllowPlainText = true
	require.NoError(t, s.Check())
	s.Operator.TokenFile = ""
	require.ErrorContains(t, s.Check(), "operator.tokenFile")
}

// Guards against faults that are not all reported at once, or that are reported
// without their position in the file.
func TestFaults(t *testing.T) {
	_, err := Load("testdata/faults.yaml")
	require.True(t, lagoonhead.IsKind(err, lagoonhead.KindInvalid))
	want, readErr := os.ReadFile("testdata/faults.txt")
	require.NoError(t, readErr)
	require.Equal(t, string(want), err.Error()+"\n")
}

// Guards against errors that contain a secret, and against secrets that are accepted
// although they are too short.
func TestSecrets(t *testing.T) {
	writeSecret := func(text string) string {
		f := filepath.Join(t.TempDir(), "secret")
		require.NoError(t, os.WriteFile(f, []byte(text), 0o600))
		return f
	}
	token, err := Security{TokenFile: writeSecret(" 0123456789abcdef\n")}.ReadToken()
	require.NoError(t, err)
	require.Equal(t, "0123456789abcdef", token)
	_, err = Security{TokenFile: writeSecret("secret")}.ReadToken()
	require.Error(t, err)
	require.NotContains(t, strings.ReplaceAll(err.Error(), "/secret", ""), "secret:")
	key, err := Resume{KeyFile: writeSecret(strings.Repeat("0a", 32))}.ReadKey()
	require.NoError(t, err)
	require.Len(t, key, 32)
	_, err = Resume{KeyFile: writeSecret(strings.Repeat("0a", 31))}.ReadKey()
	require.Error(t, err)
	require.NotContains(t, err.Error(), "0a0a")
}
