package usage

import (
	"context"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/jsoncall"
)

// PathReport is the path of the protocol.
const PathReport = "/usage/report"

// Client speaks the interface's JSON protocol.
type Client struct {
	// Platform is where the interface is.
	Platform jsoncall.Client
	// Authority is checked right before a report is written. Nil refuses nothing.
	Authority func() error
}

var _ lagoonhead.UsageReporter = (*Client)(nil)

// Report sends one window once, on a connection of its own.
func (c *Client) Report(ctx context.Context, w lagoonhead.UsageWindow) error {
	return c.Platform.Order(ctx, PathReport, w, nil, c.Authority)
}
