package store

import (
	"context"
	"time"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/jsoncall"
)

// watchWait is the time that a watch call waits for changes. It is bounded so that a
// connection that has stopped working is detected.
const watchWait = 20 * time.Second

// Client is a client of the store's JSON protocol.
type Client struct {
	// Platform makes the calls to the store.
	Platform jsoncall.Client
}

var _ lagoonhead.Store = (*Client)(nil)

// The messages of the protocol.
type (
	// KeyRequest names the key to get, or the prefix of the keys to list.
	KeyRequest struct {
		Key string `json:"key"`
	}
	// ListResponse holds the entries and the revision of the store.
	ListResponse struct {
		Entries  []lagoonhead.Entry `json:"entries"`
		Revision int64              `json:"revision"`
	}
	// WatchRequest waits for changes of keys with a prefix.
	WatchRequest struct {
		Prefix string `json:"prefix"`
		// After is the revision after which changes are returned.
		After int64 `json:"after"`
		// WaitMs is the maximum wait in milliseconds.
		WaitMs int64 `json:"waitMs"`
	}
	// WatchResponse holds the changes; there are none when the wait is over. Revision is
	// the one to pass as After in the next request.
	WatchResponse struct {
		Events   []lagoonhead.Event `json:"events"`
		Revision int64              `json:"revision"`
	}
	// RevisionResponse holds the revision of a write.
	RevisionResponse struct {
		Revision int64 `json:"revision"`
	}
	// DeleteRequest removes a key. IfRevision is the revision that the key must have, as in
	// lagoonhead.PutRequest.
	DeleteRequest struct {
		Key        string `json:"key"`
		IfRevision int64  `json:"ifRevision"`
	}
	// GrantRequest asks for a lease.
	GrantRequest struct {
		TTLMs int64 `json:"ttlMs"`
	}
	// LeaseMessage names a lease. It is the response to a GrantRequest, and the request to
	// renew or revoke the lease.
	LeaseMessage struct {
		Lease lagoonhead.LeaseID `json:"lease"`
	}
)

// The paths of the protocol.
const (
	PathGet    = "/kv/get"
	PathList   = "/kv/list"
	PathWatch  = "/kv/watch"
	PathPut    = "/kv/put"
	PathDelete = "/kv/delete"
	PathGrant  = "/lease/grant"
	PathRenew  = "/lease/renew"
	PathRevoke = "/lease/revoke"
)

// Get returns the entry of key, or KindNotFound.
func (c *Client) Get(ctx context.Context, key string) (lagoonhead.Entry, error) {
	var e lagoonhead.Entry
	err := c.Platform.Read(ctx, PathGet, KeyRequest{Key: key}, &e)
	return e, err
}

// List returns the entries under prefix, ordered by key, and the revision of the
// store.
func (c *Client) List(ctx context.Context, prefix string) ([]lagoonhead.Entry, int64, error) {
	var l ListResponse
	err := c.Platform.Read(ctx, PathList, KeyRequest{Key: prefix}, &l)
	return l.Entries, l.Revision, err
}

// Watch waits for changes under prefix after a revision. It returns no events when
// there are none within the wait of one call.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) ([]lagoonhead.Event, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+jsoncall.DefaultTimeout)
	defer cancel()
	var w WatchResponse
	r := WatchRequest{Prefix: prefix, After: after, WaitMs: watchWait.Milliseconds()}
	if err := c.Platform.LongPoll(ctx, PathWatch, r, &w); err != nil {
		return nil, after, err
	}
	return w.Events, w.Revision, nil
}

// Put writes one key and returns the new revision.
func (c *Client) Put(ctx context.Context, r lagoonhead.PutRequest) (int64, error) {
	var resp RevisionResponse
	err := c.Platform.Write(ctx, PathPut, r, &resp)
	return resp.Revision, err
}

// Delete removes one key if it has the given revision.
func (c *Client) Delete(ctx context.Context, key string, ifRevision int64) error {
	return c.Platform.Write(ctx, PathDelete, DeleteRequest{Key: key, IfRevision: ifRevision}, nil)
}

// GrantLease returns a new lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (lagoonhead.LeaseID, error) {
	var resp LeaseMessage
	err := c.Platform.Write(ctx, PathGrant, GrantRequest{TTLMs: ttl.Milliseconds()}, &resp)
	return resp.Lease, err
}

// RenewLease extends a lease.
func (c *Client) RenewLease(ctx context.Context, id lagoonhead.LeaseID) error {
	return c.Platform.Write(ctx, PathRenew, LeaseMessage{Lease: id}, nil)
}

// RevokeLease ends a lease and deletes the keys under it.
func (c *Client) RevokeLease(ctx context.Context, id lagoonhead.LeaseID) error {
	return c.Platform.Write(ctx, PathRevoke, LeaseMessage{Lease: id}, nil)
}
