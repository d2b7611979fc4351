package usage

import (
	"context"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/jsoncall"
)

// PathReport is the path for usage reports.
const PathReport = "/usage/report"

// Client is a client of the interface's JSON protocol.
type Client struct {
	// Platform makes the calls to the interface.
	Platform jsoncall.Client
	// Authority is called right before a report is written; its error prevents the write.
	// Nil means no check.
	Authority func() error
}

var _ lagoonhead.UsageReporter = (*Client)(nil)

// Report sends the report of one window once, on a new connection.
func (c *Client) Report(ctx context.Context, w lagoonhead.UsageWindow) error {
	return c.Platform.WriteWithAuthority(ctx, PathReport, w, nil, c.Authority)
}
