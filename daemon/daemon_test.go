package daemon

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lagoonhead/lagoonhead/caller"
	"github.com/lagoonhead/lagoonhead/explain"
	"github.com/lagoonhead/lagoonhead/freeport"
	"github.com/lagoonhead/lagoonhead/settings"
	"github.com/lagoonhead/lagoonhead/timer"
)

// slowGate refuses requests once release is closed.
type slowGate struct{ entered, release chan struct{} }

func (g slowGate) Fresh() error {
	g.entered <- struct{}{}
	<-g.release
	return errors.New("the configuration is old")
}

// Guards against a background task whose failure resets the connections of running requests,
// and against one that is not logged.
func TestFailedTaskDrainsTheDaemon(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	core, logs := observer.New(zap.InfoLevel)
	gate := slowGate{make(chan struct{}, 1), make(chan struct{})}
	d := &Daemon{Timer: &timer.System{}, Log: zap.New(core)}
	d.Settings.Drain = settings.Drain{Delay: time.Millisecond, InFlightTimeout: time.Minute}
	d.caller = &caller.Server{
		Listener: l, Gate: gate, Decisions: explain.New(1), Timer: d.Timer, Log: d.Log,
		Limits: caller.Limits{DrainDelay: d.Settings.Drain.Delay},
	}
	failure := make(chan error)
	ended := make(chan error, 1)
	tasks := []task{d.caller.Run, func(context.Context) error { return <-failure }}
	go func() {
		ended <- d.run(context.Background(), tasks, tracing{stop: func(context.Context) error { return nil }})
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	_, err = fmt.Fprint(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	<-gate.entered
	failure <- errors.New("broken")
	require.Eventually(t, func() bool {
		return logs.FilterMessage("a background task failed").Len() == 1 && logs.FilterMessage("drain started").Len() == 1
	}, 10*time.Second, time.Millisecond)
	close(gate.release)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err, "the connection ended without an answer")
	res.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	require.ErrorContains(t, <-ended, "broken")
}

// Guards against a start that fails after the listener for callers is open, which resets the
// connections in its accept queue.
func TestFailedStartOpensNoCallerListener(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	address, err := freeport.Find()
	require.NoError(t, err)
	d := &Daemon{Timer: &timer.System{}, Log: zap.NewNop()}
	d.Settings.VM.ID = "vm1"
	d.Settings.Listen = settings.Listen{Caller: address, Peer: "127.0.0.1:0", Operator: taken.Addr().String()}
	ended := make(chan error, 1)
	accepted := make(chan struct{})
	go func() {
		for {
			select {
			case <-ended:
				return
			default:
			}
			if c, err := net.Dial("tcp", address); err == nil {
				c.Close()
				close(accepted)
				return
			}
		}
	}()
	require.ErrorContains(t, d.Run(t.Context()), "address already in use")
	ended <- nil
	select {
	case <-accepted:
		require.Fail(t, "a connection was established")
	default:
	}
}
