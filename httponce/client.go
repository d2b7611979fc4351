package httponce

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/httppool"
)

// Error is the error type of the package. KindInvalid, KindUnavailable and
// KindStale mean that no byte of the request was written; KindUnknown means that
// the receiver may have processed the request.
type Error struct{ lagoonhead.Fault }

func fail(op string, k lagoonhead.Kind, err error) error {
	return &Error{lagoonhead.Fault{Op: "httponce." + op, Kind: k, Err: err}}
}

// maxHeaderBytes bounds the header of a response, with what is read ahead of its body.
const maxHeaderBytes = 64 << 10

// Client sends single requests, each on a new connection. The zero value is ready
// for use.
type Client struct {
	// TLS is the configuration for https URLs. Nil means the default of crypto/tls.
	TLS *tls.Config
	// Dialer opens connections. Its Timeout bounds the dial.
	Dialer net.Dialer
}

// Do dials, calls authority, writes the request and reads the response, all until
// ctx ends. An error of authority prevents the write and is returned with KindStale;
// with a nil authority there is no check. The caller must close the body of the
// response, which closes the connection too.
//
// The request is encoded before authority is called, so that a single write follows
// the check.
func (c *Client) Do(ctx context.Context, r *http.Request, authority func() error) (*http.Response, error) {
	r.Close = true
	var encoded bytes.Buffer
	if err := r.Write(&encoded); err != nil {
		return nil, fail("encode", lagoonhead.KindInvalid, err)
	}
	conn, err := c.dial(ctx, r)
	if err != nil {
		return nil, fail("dial", lagoonhead.KindUnavailable, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	resp, err := exchange(conn, r, encoded.Bytes(), authority)
	if err != nil {
		stop()
		conn.Close()
		return nil, err
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, conn: conn, stop: stop}
	return resp, nil
}

// exchange checks the authority, writes the encoded request and reads the response.
func exchange(conn net.Conn, r *http.Request, encoded []byte, authority func() error) (*http.Response, error) {
	if authority != nil {
		if err := authority(); err != nil {
			return nil, fail("authority", lagoonhead.KindStale, err)
		}
	}
	if n, err := conn.Write(encoded); err != nil {
		k := lagoonhead.KindUnknown
		if n == 0 {
			k = lagoonhead.KindUnavailable
		}
		return nil, fail("write", k, err)
	}
	in := &io.LimitedReader{R: conn, N: maxHeaderBytes}
	buffered := bufio.NewReader(in)
	for {
		resp, err := http.ReadResponse(buffered, r)
		if err != nil {
			return nil, fail("read", lagoonhead.KindUnknown, err)
		}
		if httppool.IsInterim(resp.StatusCode) {
			continue // maxHeaderBytes bounds all of them
		}
		if !httppool.IsFinal(resp.StatusCode) {
			return nil, fail("read", lagoonhead.KindUnknown, errors.Wrapf(httppool.ErrNotFinal, "%03d", resp.StatusCode))
		}
		in.N = math.MaxInt64 // the reader of the body limits it
		return resp, nil
	}
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

// withPort appends the port to a host that has none.
func withPort(host, port string) string {
	if _, _, err := net.SplitHostPort(host); err == nil {
		return host
	}
	return net.JoinHostPort(host, port)
}

// responseBody closes the connection together with the body of the response.
type responseBody struct {
	io.ReadCloser
	conn net.Conn
	stop func() bool // removes the function that runs when the context ends
}

// Close closes the body and the connection.
func (b *responseBody) Close() error {
	b.stop()
	err := b.ReadCloser.Close()
	return errors.CombineErrors(err, b.conn.Close())
}
