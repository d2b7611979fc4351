package httppool

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const uploadBytes = 4 << 20

// answerPart is the part of an answer that a peer sends before it resets the connection.
const answerPart = "begun"

// framedHead returns the header of a response to request 1 and the beginning of its body.
func framedHead(framing string) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: 1\r\n", idHeader)
	switch framing {
	case "length":
		return head + "Content-Length: 500\r\n\r\n" + answerPart
	case "chunks":
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(answerPart), answerPart)
	default:
		return head + "Connection: close\r\n\r\n" + answerPart
	}
}

// upload sends a request with a body and returns the body of the response.
func (p *peer) upload(t *testing.T, v *Transport, size int) (string, error) {
	t.Helper()
	res, err := v.Do(p.request(t.Context(), t, http.MethodPost, "1", strings.NewReader(strings.Repeat("b", size))), &Exchange{})
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return string(b), err
}

// Guards against a part of an answer that passes for the whole one because its connection was reset
// while the request was still being written: the write takes the error of the connection, and the
// next read sees the end of the stream.
func TestAnswersOfResetConnectionsAreNotWhole(t *testing.T) {
	for _, framing := range []string{"none", "chunks", "length"} {
		for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 30 * time.Millisecond} {
			for _, linger := range []bool{false, true} {
				t.Run(fmt.Sprint(framing, " ", delay, " linger ", linger), func(t *testing.T) {
					p := newPeer(t, func(c net.Conn, in *bufio.Reader) {
						if _, err := http.ReadRequest(in); err != nil {
							return
						}
						_, _ = io.WriteString(c, framedHead(framing))
						time.Sleep(delay)
						if tcp, ok := c.(*net.TCPConn); ok && !linger {
							_ = tcp.SetLinger(0) // else what was not read makes the kernel reset it
						}
					})
					v := newTestTransport(t)
					sends, whole := 40, 0
					if framing != "none" {
						sends = 10 // these were never affected
					}
					for range sends {
						if _, err := p.upload(t, v, uploadBytes); err == nil {
							whole++
						}
					}
					require.Zero(t, whole, "of %d answers passed for whole", sends)
				})
			}
		}
	}
}

// Guards against a crash of the peer that looks like an orderly end, since the kernel ends the
// connection of a process that has read all that has arrived so far.
func TestAnswersThatEndBeforeTheRequestIsReadAreNotWhole(t *testing.T) {
	p := newPeer(t, func(c net.Conn, in *bufio.Reader) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, r.Body, uploadBytes/2)
		_, _ = io.WriteString(c, framedHead("none"))
	})
	for range 20 {
		_, err := p.upload(t, newTestTransport(t), uploadBytes)
		require.Error(t, err)
	}
}

// Guards against whole answers without a length that are taken for broken ones.
func TestAnswersWithoutALengthAreWhole(t *testing.T) {
	for name, size := range map[string]int{"small": 100, "large": uploadBytes} {
		for _, when := range []string{"after the request", "before the request has been read"} {
			t.Run(name+", "+when, func(t *testing.T) {
				p := newPeer(t, func(c net.Conn, in *bufio.Reader) {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if when == "after the request" {
						_, _ = io.Copy(io.Discard, r.Body)
					}
					_, _ = io.WriteString(c, framedHead("none"))
					if tcp, ok := c.(*net.TCPConn); ok {
						_ = tcp.CloseWrite()
					}
					_, _ = io.Copy(io.Discard, r.Body)
				})
				for range 40 {
					body, err := p.upload(t, newTestTransport(t), size)
					require.NoError(t, err)
					require.Equal(t, answerPart, body)
				}
			})
		}
	}
}

// Guards against a request that is cut off because its answer came early, and against a connection
// that carries the next request before the rest of the one before.
func TestRequestsAreSentWholeAfterEarlyAnswers(t *testing.T) {
	for _, singleUse := range []bool{false, true} {
		t.Run(fmt.Sprint("single use ", singleUse), func(t *testing.T) {
			var mu sync.Mutex
			var received []int64
			p := newPeer(t, func(c net.Conn, in *bufio.Reader) {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, response("1", "early"))
				time.Sleep(5 * time.Millisecond)
				n, _ := io.Copy(io.Discard, r.Body)
				mu.Lock()
				defer mu.Unlock()
				received = append(received, n)
			})
			v := newTestTransport(t)
			v.SingleUse = singleUse
			const sends = 20
			for range sends {
				body, err := p.upload(t, v, uploadBytes)
				require.NoError(t, err)
				require.Equal(t, "early", body)
			}
			require.Eventually(t, func() bool {
				mu.Lock()
				defer mu.Unlock()
				return len(received) == sends
			}, 10*time.Second, 5*time.Millisecond)
			for _, n := range received {
				require.EqualValues(t, uploadBytes, n)
			}
		})
	}
}

// Guards against a response of a server in trouble that passes for an answer, and against a connection
// that is used again after it.
func TestResponsesWithoutAFinalStatusFail(t *testing.T) {
	for _, status := range []string{"000 Odd", "001 Odd", "099 Odd", "101 Odd", "600 Odd", "999 Odd", "20 Odd", "2000 Odd", "+20 Odd", "OK", ""} {
		t.Run(status, func(t *testing.T) {
			p := newAnsweringPeer(t, func(earlier []string, id string) string {
				if id == "2" || len(earlier) > 0 {
					return ownResponse(nil, id)
				}
				return "HTTP/1.1 " + status + "\r\n" + idHeader + ": " + id + "\r\nContent-Length: 0\r\n\r\n"
			})
			v := newTestTransport(t)
			var x Exchange
			_, err := p.get(t, v, "1", &x)
			require.Error(t, err)
			require.True(t, x.Written(), "the request may have run")
			require.False(t, IsEnd(err), "the connection was not lost")
			p.requireOwn(t, v, "2", false)
		})
	}
}
