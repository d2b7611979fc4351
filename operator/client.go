package operator

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// clientDialTimeout bounds a connection attempt.
const clientDialTimeout = 5 * time.Second

// Client calls the operator listener of a daemon. Its errors are of type *Error; a
// command whose answer is lost fails with KindUnknown.
type Client struct {
	commands Commands
	queries  Queries
}

// NewClient returns a client of the listener at the base URL address. The token is
// sent when it is not empty; a nil config means the system's roots and no client
// certificate.
func NewClient(address, token string, config *tls.Config) *Client {
	h := &http.Client{Transport: &bearer{token: token, next: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: clientDialTimeout}).DialContext,
		TLSClientConfig: config,
	}}}
	return &Client{commands: NewCommandsProtobufClient(address, h), queries: NewQueriesProtobufClient(address, h)}
}

// bearer adds the token to each request.
type bearer struct {
	token string
	next  http.RoundTripper
}

// RoundTrip adds the token and passes the request on.
func (b *bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	if b.token != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+b.token)
	}
	return b.next.RoundTrip(r)
}

// Apply commits a whole inventory.
func (c *Client) Apply(ctx context.Context, r *ApplyRequest) (*CommitResponse, error) {
	out, err := c.commands.Apply(ctx, r)
	return out, fromTwirp("apply", true, err)
}

// SetLeaving drains or undrains an endpoint.
func (c *Client) SetLeaving(ctx context.Context, r *SetLeavingRequest) (*CommitResponse, error) {
	out, err := c.commands.SetLeaving(ctx, r)
	return out, fromTwirp("setLeaving", true, err)
}

// IssueKey makes a new key.
func (c *Client) IssueKey(ctx context.Context, r *IssueKeyRequest) (*IssueKeyResponse, error) {
	out, err := c.commands.IssueKey(ctx, r)
	return out, fromTwirp("issueKey", true, err)
}

// WithdrawKey ends a key.
func (c *Client) WithdrawKey(ctx context.Context, r *WithdrawKeyRequest) (*CommitResponse, error) {
	out, err := c.commands.WithdrawKey(ctx, r)
	return out, fromTwirp("withdrawKey", true, err)
}

// GetInventory returns the configuration in force.
func (c *Client) GetInventory(ctx context.Context) (*GetInventoryResponse, error) {
	out, err := c.queries.GetInventory(ctx, &GetInventoryRequest{})
	return out, fromTwirp("getInventory", false, err)
}

// Status returns the state of the daemon.
func (c *Client) Status(ctx context.Context) (*StatusResponse, error) {
	out, err := c.queries.Status(ctx, &StatusRequest{})
	return out, fromTwirp("status", false, err)
}

// Explain returns recent decisions.
func (c *Client) Explain(ctx context.Context, r *ExplainRequest) (*ExplainResponse, error) {
	out, err := c.queries.Explain(ctx, r)
	return out, fromTwirp("explain", false, err)
}
