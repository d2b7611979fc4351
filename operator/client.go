package operator

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonhead/lagoonhead"
)

// clientDialTimeout limits a connection attempt.
const clientDialTimeout = 5 * time.Second

// Client calls the operator listener of a daemon. Its errors are of type *Error; a
// command whose response is lost fails with KindUnknown.
type Client struct {
	commands Commands
	queries  Queries
}

// NewClient returns a client of the listener at the base URL address. The token is
// sent if it is not empty; a nil config means the system's root certificates and no
// client certificate.
func NewClient(address, token string, config *tls.Config) *Client {
	h := &http.Client{Transport: &tokenTransport{token: token, next: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: clientDialTimeout}).DialContext,
		TLSClientConfig: config,
	}}}
	return &Client{commands: NewCommandsProtobufClient(address, h), queries: NewQueriesProtobufClient(address, h)}
}

// tokenTransport adds the bearer token to each request.
type tokenTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *tokenTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.token != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+t.token)
	}
	return t.next.RoundTrip(r)
}

// Apply replaces the configuration by a whole inventory.
func (c *Client) Apply(ctx context.Context, r *ApplyRequest) (*CommitResponse, error) {
	out, err := c.commands.Apply(ctx, r)
	return out, fromTwirp("apply", true, err)
}

// SetLeaving marks an endpoint as leaving, so that it drains, or removes the mark.
func (c *Client) SetLeaving(ctx context.Context, r *SetLeavingRequest) (*CommitResponse, error) {
	out, err := c.commands.SetLeaving(ctx, r)
	return out, fromTwirp("setLeaving", true, err)
}

// IssueKey creates a new API key for a workspace.
func (c *Client) IssueKey(ctx context.Context, r *IssueKeyRequest) (*IssueKeyResponse, error) {
	out, err := c.commands.IssueKey(ctx, r)
	return out, fromTwirp("issueKey", true, err)
}

// WithdrawKey revokes an API key.
func (c *Client) WithdrawKey(ctx context.Context, r *WithdrawKeyRequest) (*CommitResponse, error) {
	out, err := c.commands.WithdrawKey(ctx, r)
	return out, fromTwirp("withdrawKey", true, err)
}

// GetInventory returns the configuration in force as YAML.
func (c *Client) GetInventory(ctx context.Context) (*GetInventoryResponse, error) {
	out, err := c.queries.GetInventory(ctx, &GetInventoryRequest{})
	return out, fromTwirp("getInventory", false, err)
}

// Status returns the state of the daemon, its peers and the endpoints.
func (c *Client) Status(ctx context.Context) (*StatusResponse, error) {
	out, err := c.queries.Status(ctx, &StatusRequest{})
	return out, fromTwirp("status", false, err)
}

// Explain returns recent decisions with their reasons, the newest first.
func (c *Client) Explain(ctx context.Context, r *ExplainRequest) (*ExplainResponse, error) {
	out, err := c.queries.Explain(ctx, r)
	return out, fromTwirp("explain", false, err)
}

// ExplainPlacement returns where a request would be sent now, and why. A daemon of a release without
// the call is an error of KindUnavailable.
func (c *Client) ExplainPlacement(ctx context.Context, r *ExplainPlacementRequest) (*ExplainPlacementResponse, error) {
	out, err := c.queries.ExplainPlacement(ctx, r)
	if lacksCall(err) {
		return nil, fail("explainPlacement", lagoonhead.KindUnavailable, errors.New("the daemon does not explain placements: the address is that of another listener, or the daemon is of an older release"))
	}
	return out, fromTwirp("explainPlacement", false, err)
}

// lacksCall reports whether a listener does not know a call. One that serves metrics for every path
// responds with a text.
func lacksCall(err error) bool {
	var e twirp.Error
	if !errors.As(err, &e) || e.Meta(metaKind) != "" {
		return false
	}
	return e.Code() == twirp.BadRoute || (e.Code() == twirp.Internal && errors.Is(err, proto.Error))
}
