package service

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeservice"
)

// Guards against the copy of an earlier answer on a reused connection that goes to another caller.
func TestCopiesOfAnswersReachNoOtherCaller(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveWithCopies(c)
		}
	}()
	p := &placer{endpoints: []lagoonhead.Endpoint{fakeservice.Endpoint("a", "bookings", "http://"+l.Addr().String())}}
	c := &Client{}
	t.Cleanup(c.Close)
	for n := range 3 {
		id := fmt.Sprint("r", n)
		call := newCall(http.MethodGet, "/availability", true)
		call.Request = lagoonhead.NewRequest(lagoonhead.RequestID(id), "w", "bookings", 0)
		ans, err := c.Call(context.Background(), p, call)
		require.NoError(t, err)
		body, err := io.ReadAll(ans.Body)
		ans.Body.Close()
		require.NoError(t, err)
		require.Equal(t, "answer to "+id, string(body))
	}
}

// serveWithCopies writes the answer to the request before it in front of each answer.
func serveWithCopies(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for last := ""; ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get(HeaderRequestID)
		body := "answer to " + id
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderRequestID, id, len(body), body)
		if _, err := io.WriteString(c, last+answer); err != nil {
			return
		}
		last = answer
	}
}

// suspects counts the crashes that a call is accused of.
type suspects struct {
	lagoonhead.SuspectTracker
	crashes int
}

func (s *suspects) Crashed(uint64, lagoonhead.EndpointID) { s.crashes++ }

// Guards against a call that crashes endpoints and is not known to do so, because it was sent on a
// reused connection.
func TestCrashesOnReusedConnectionsCount(t *testing.T) {
	all, p := newServices(t, 1)
	s := new(suspects)
	c := &Client{Suspects: s}
	t.Cleanup(c.Close)
	call := newCall(http.MethodGet, "/availability", true)
	ans, err := c.Call(context.Background(), p, call)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, ans.Body)
	ans.Body.Close()
	all[0].SetFaultPlan(fakeservice.FaultPlan{Fault: fakeservice.FaultCloseAfterRead})
	_, err = c.Call(context.Background(), p, call)
	require.Error(t, err)
	require.Equal(t, 1, s.crashes, "%v", err)
}
