package httplimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lagoonhead/lagoonhead"
)

// Guards against requests that get no response while the processor is overloaded, and against
// refusals that no log line tells of.
func TestAnOverloadedDaemonAnswersEachRequest(t *testing.T) {
	const requests = 300
	var asked atomic.Int64
	overloaded := func() bool { return asked.Add(1)%3 != 0 } // two of three connections are not served
	c := New(Limits{}, overloaded, func(r *http.Request, err error) *http.Response {
		require.True(t, lagoonhead.IsKind(err, lagoonhead.KindUnavailable))
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{"Name": r.Header["Name"]}}
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.Header()["Name"] = r.Header["Name"] })}
	go func() { _ = s.Serve(c.Listen(l)) }() // ends with the close below
	defer s.Close()
	var w sync.WaitGroup
	var served, refused atomic.Int64
	for i := range requests {
		w.Go(func() {
			name := strconv.Itoa(i)
			status, got, err := ask(l.Addr().String(), name, i*300)
			switch {
			case err != nil:
				t.Errorf("request %s of %d bytes: %v", name, i*300, err)
			case got != name:
				t.Errorf("request %s got the response to %q", name, got)
			case status == http.StatusOK:
				served.Add(1)
			case status == http.StatusServiceUnavailable:
				refused.Add(1)
			}
		})
	}
	w.Wait()
	require.EqualValues(t, requests/3, served.Load())
	require.EqualValues(t, requests*2/3, refused.Load())
	core, logs := observer.New(zap.InfoLevel)
	c.LogRefused(zap.New(core))
	c.LogRefused(zap.New(core))
	require.Equal(t, 1, logs.Len(), "one line for all, and none when there was nothing new")
	require.EqualValues(t, requests*2/3, logs.All()[0].ContextMap()["behind"])
}

// ask sends a request on a new connection and returns the status and the name in the response.
func ask(address, name string, body int) (status int, got string, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	r := fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: h\r\nName: %s\r\nContent-Length: %d\r\n\r\n", name, body)
	if _, err := c.Write(append(r, make([]byte, body)...)); err != nil {
		return 0, "", err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Header.Get("Name"), err
}
