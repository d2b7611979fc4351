package ordering

import (
	"context"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/jsoncall"
)

// The paths of the protocol.
const (
	PathTotal     = "/ordering/total"
	PathEndpoints = "/ordering/endpoints"
)

// EndpointsResponse lists the endpoints that the platform runs.
type EndpointsResponse struct {
	Endpoints []lagoonhead.PlatformEndpoint `json:"endpoints"`
}

// Client is a client of the interface's JSON protocol.
type Client struct {
	// Platform makes the calls to the interface.
	Platform jsoncall.Client
	// Authority is called right before an order is written; its error prevents the write.
	// Nil means no check.
	Authority func() error
}

var (
	_ lagoonhead.EndpointOrderer = (*Client)(nil)
	_ lagoonhead.EndpointLister  = (*Client)(nil)
)

// SetTotal sends an order once, on a new connection.
func (c *Client) SetTotal(ctx context.Context, o lagoonhead.TotalOrder) error {
	return c.Platform.WriteWithAuthority(ctx, PathTotal, o, nil, c.Authority)
}

// Endpoints lists the endpoints that the platform runs.
func (c *Client) Endpoints(ctx context.Context) ([]lagoonhead.PlatformEndpoint, error) {
	var resp EndpointsResponse
	err := c.Platform.Read(ctx, PathEndpoints, struct{}{}, &resp)
	return resp.Endpoints, err
}
