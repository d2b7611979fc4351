package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/fakeservice"
)

// newRawService returns the address of a server that sends text in response to the header of each
// request, waits for up to 6 ms and closes the connection. This resets it if the body of the
// request has not been read.
func newRawService(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, text)
					time.Sleep(time.Duration(n%4) * 2 * time.Millisecond)
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against a part of an answer that passes for the whole one because the service reset the
// connection while the call was still being written.
func TestAnswersOfResetConnectionsAreNotWhole(t *testing.T) {
	p := &placer{endpoints: []lagoonhead.Endpoint{fakeservice.Endpoint("a", "bookings", newRawService(t, "HTTP/1.1 200 OK\r\n\r\nbegun"))}}
	c := &Client{Limits: Limits{MaxBodyBytes: 8 << 20}}
	t.Cleanup(c.Close)
	call := newCall(http.MethodPost, "/bookings", false)
	call.Body = make([]byte, 4<<20)
	for range 80 {
		ans, err := c.Call(t.Context(), p, call)
		if err == nil {
			_, err = io.ReadAll(ans.Body)
			ans.Body.Close()
		}
		require.Error(t, err)
	}
}

// Guards against a response of a service in trouble that passes for an answer, and against a call
// that is reported as not run after it.
func TestResponsesWithoutAFinalStatusFail(t *testing.T) {
	for _, status := range []string{"000 Odd", "099 Odd", "101 Odd", "600 Odd", "999 Odd", "20 Odd", ""} {
		for _, idempotent := range []bool{false, true} {
			t.Run(fmt.Sprint(status, " idempotent ", idempotent), func(t *testing.T) {
				text := "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"
				p := &placer{endpoints: []lagoonhead.Endpoint{fakeservice.Endpoint("a", "bookings", newRawService(t, text))}}
				c := new(Client)
				t.Cleanup(c.Close)
				_, err := c.Call(t.Context(), p, newCall(http.MethodGet, "/availability", idempotent))
				require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnknown), "%v", err)
			})
		}
	}
}
