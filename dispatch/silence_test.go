package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/timer"
)

// Guards against an answer that is given up as silent although it arrived while the process was
// stalled, and against a silence that is waited for without end because the process is always late.
func TestAStallOfTheProcessEndsNoAttempt(t *testing.T) {
	d := scriptedDispatcher(nil)
	clock, ok := d.Timer.(*timer.Manual)
	require.True(t, ok)
	ctx, cancel := context.WithCancelCause(t.Context())
	w := &silenceWatch{Dispatcher: d, cancel: cancel, service: scriptService, needed: 1}
	defer w.pause()
	const silence, stall = time.Hour, 3 * time.Second // the system's timer does not fire in this time
	for range 2 {
		w.restart(silence, lagoonhead.VersionPin{}) // the endpoint has sent something
		clock.Advance(silence + stall)
		w.expire()
		require.NoError(t, ctx.Err(), "what arrived meanwhile is unread")
	}
	clock.Advance(silenceRecheck + stall)
	w.expire()
	require.ErrorIs(t, context.Cause(ctx), errSilent)
}
