package jsoncall

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/httponce"
)

// maxResponseBytes bounds a response of the platform. A list of store entries with
// values of the maximum size is the largest one.
const maxResponseBytes = 64 << 20

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

func fail(op string, k lagoonhead.Kind, err error) error {
	return &Error{lagoonhead.Fault{Op: op, Kind: k, Err: err}}
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	// Kind is the camelCase name of a lagoonhead.Kind.
	Kind    string `json:"kind"`
	Message string `json:"message"`
}

// Client calls one interface of the platform.
type Client struct {
	// BaseURL is the address of the interface, without a slash at its end.
	BaseURL string
	// HTTP sends the calls of Read, LongPoll and Write. Nil means http.DefaultClient.
	HTTP *http.Client
	// AuthorityClient sends the calls of WriteWithAuthority.
	AuthorityClient httponce.Client
	// Timeout bounds each call except those of LongPoll. Zero means DefaultTimeout.
	Timeout time.Duration
	// Token is sent as a bearer token unless it is empty.
	Token string
}

// DefaultTimeout bounds a call to the platform, which usually responds within
// milliseconds.
const DefaultTimeout = 2 * time.Second

// Read makes a call that changes nothing. A failure with an unknown outcome is therefore
// KindUnavailable, or KindTimeout when ctx has ended or Timeout is over.
func (c *Client) Read(ctx context.Context, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	return c.query(ctx, path, in, out)
}

// LongPoll makes a call that changes nothing and may last until ctx ends, such as a watch.
func (c *Client) LongPoll(ctx context.Context, path string, in, out any) error {
	return c.query(ctx, path, in, out)
}

// query makes a call that changes nothing, so no failure of it has KindUnknown.
func (c *Client) query(ctx context.Context, path string, in, out any) error {
	err := c.call(ctx, path, in, out, c.client().Do)
	if lagoonhead.IsKind(err, lagoonhead.KindUnknown) {
		k := lagoonhead.KindUnavailable
		if ctx.Err() != nil {
			k = lagoonhead.KindTimeout
		}
		return fail(path, k, err)
	}
	return err
}

// Write makes a call that may change state. A failure after the request may have been
// sent is KindUnknown.
func (c *Client) Write(ctx context.Context, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	return c.call(ctx, path, in, out, c.client().Do)
}

// WriteWithAuthority makes a call that may change state on a new connection, and checks
// authority after the dial and before the write. See package httponce.
func (c *Client) WriteWithAuthority(ctx context.Context, path string, in, out any, authority func() error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	return c.call(ctx, path, in, out, func(r *http.Request) (*http.Response, error) {
		return c.AuthorityClient.Do(ctx, r, authority)
	})
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return DefaultTimeout
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

// call sends in with do and decodes the response into out.
func (c *Client) call(ctx context.Context, path string, in, out any, do func(*http.Request) (*http.Response, error)) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fail(path, lagoonhead.KindInvalid, err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return fail(path, lagoonhead.KindInvalid, err)
	}
	r.Header.Set("Content-Type", "application/json")
	if c.Token != "" {
		r.Header.Set("Authorization", "Bearer "+c.Token)
	}
	resp, err := do(r)
	if err != nil {
		return fail(path, sendKind(err), err)
	}
	defer resp.Body.Close()
	return readResponse(path, resp, out)
}

// sendKind returns the error kind of a request that could not be sent or got no
// response. It is KindUnknown when the request can have reached the platform.
func sendKind(err error) lagoonhead.Kind {
	var once *httponce.Error
	if errors.As(err, &once) {
		return once.Kind
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return lagoonhead.KindUnavailable
	}
	return lagoonhead.KindUnknown
}

// readResponse decodes a response with status 200 into out, unless out is nil, and any
// other one as an error.
func readResponse(path string, resp *http.Response, out any) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fail(path, lagoonhead.KindUnknown, err)
	}
	if resp.StatusCode == http.StatusOK {
		if out == nil {
			return nil
		}
		if err := json.Unmarshal(body, out); err != nil {
			return fail(path, lagoonhead.KindUnknown, err)
		}
		return nil
	}
	var e ErrorBody
	if err := json.Unmarshal(body, &e); err != nil {
		return fail(path, lagoonhead.KindUnknown, errors.Newf("status %d", resp.StatusCode))
	}
	return fail(path, lagoonhead.ParseKind(e.Kind), errors.Newf("%s", e.Message))
}
