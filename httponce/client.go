package httponce

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
)

// Error is the error type of the package. KindUnavailable and KindStale mean
// that no byte of the request was written; KindUnknown means that the receiver
// may have acted.
type Error struct{ lagoonhead.Fault }

func fail(op string, k lagoonhead.Kind, err error) error {
	return &Error{lagoonhead.Fault{Op: "httponce." + op, Kind: k, Err: err}}
}

// Client sends single requests. The zero value dials plain TCP.
type Client struct {
	// TLS is the configuration for https URLs. Nil means the default.
	TLS *tls.Config
	// Dialer opens connections. Its Timeout bounds the dial.
	Dialer net.Dialer
}

// Do dials, calls authority, writes the request and reads the answer, all within
// the deadline of ctx. A nil authority means that none is needed. The body of the
// answer must be closed; that closes the connection too.
//
// The request is encoded before authority is called, so that a single write follows
// the check.
func (c *Client) Do(ctx context.Context, r *http.Request, authority func() error) (*http.Response, error) {
	r.Close = true
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		return nil, fail("encode", lagoonhead.KindInvalid, err)
	}
	conn, err := c.dial(ctx, r)
	if err != nil {
		return nil, fail("dial", lagoonhead.KindUnavailable, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	resp, err := exchange(conn, r, text.Bytes(), authority)
	if err != nil {
		stop()
		conn.Close()
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, conn: conn, stop: stop}
	return resp, nil
}

func exchange(conn net.Conn, r *http.Request, text []byte, authority func() error) (*http.Response, error) {
	if authority != nil {
		if err := authority(); err != nil {
			return nil, fail("authority", lagoonhead.KindStale, err)
		}
	}
	if n, err := conn.Write(text); err != nil {
		k := lagoonhead.KindUnknown
		if n == 0 {
			k = lagoonhead.KindUnavailable
		}
		return nil, fail("write", k, err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), r)
	if err != nil {
		return nil, fail("read", lagoonhead.KindUnknown, err)
	}
	return resp, nil
}

func (c *Client) dial(ctx context.Context, r *http.Request) (net.Conn, error) {
	host := r.URL.Host
	switch r.URL.Scheme {
	case "http":
		return c.Dialer.DialContext(ctx, "tcp", withPort(host, "80"))
	case "https":
		d := tls.Dialer{NetDialer: &c.Dialer, Config: c.TLS}
		return d.DialContext(ctx, "tcp", withPort(host, "443"))
	default:
		return nil, errors.Newf("scheme %q is neither http nor https", r.URL.Scheme)
	}
}

func withPort(host, port string) string {
	if _, _, err := net.SplitHostPort(host); err == nil {
		return host
	}
	return net.JoinHostPort(host, port)
}

// body closes the connection together with the body of the answer.
type body struct {
	io.ReadCloser
	conn net.Conn
	stop func() bool
}

// Close ends the connection.
func (b *body) Close() error {
	b.stop()
	err := b.ReadCloser.Close()
	return errors.CombineErrors(err, b.conn.Close())
}
