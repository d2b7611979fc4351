package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/catalog"
	"github.com/lagoonhead/lagoonhead/mirror"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Guards against a daemon that is ready before placing knows an endpoint, so that its first
// callers are refused.
func TestReadyOnceEndpointsCanBeChosen(t *testing.T) {
	d := &Daemon{
		Settings: Settings{VM: "vm-1", DutyReturnTime: time.Second, UsageWindow: time.Second},
		Platform: Platform{
			ConfigurationKey: "configuration", EndpointPrefix: "endpoints/",
			DecodeRegistration: func(key string, _ []byte) (lagoonhead.Endpoint, error) {
				return lagoonhead.NewEndpoint(lagoonhead.EndpointID(key), lagoonhead.EndpointKindService, "s", "a:1", "x"), nil
			},
		},
		Timer: timer.NewManual(time.Hour, time.Unix(0, 0)), Log: zap.NewNop(),
	}
	d.buildState()
	d.buildWork()
	d.config.current.Store(catalog.New(catalog.Spec{Version: 1}))
	require.Error(t, d.ready())
	d.endpoints.Put(lagoonhead.Entry{Key: "endpoints/e"}, mirror.Origin{})
	require.Error(t, d.ready(), "the endpoint is not passed to placing yet")
	d.endpoints.Applied()
	require.NoError(t, d.ready())
	d.endpoints.Removed("endpoints/e", mirror.Origin{})
	d.endpoints.Applied()
	require.Error(t, d.ready())
}
