package peer

import (
	"context"
	"crypto/subtle"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/lagoonhead/lagoonhead"
)

// maxRequestBytes is the maximum size of a request. The largest message of the protocol
// carries a configuration part.
const maxRequestBytes = 4 << 20

// ConfigSource provides the configuration in force at this daemon.
type ConfigSource interface {
	PullConfig(r *PullConfigRequest) *PullConfigResponse
	RevisionState() *RevisionStateResponse
}

// Lender lends rate-limit tokens of workspaces to other daemons.
type Lender interface {
	Borrow(ctx context.Context, r *BorrowRequest) (*BorrowResponse, error)
	GiveBack(ctx context.Context, r *GiveBackRequest) (*GiveBackResponse, error)
}

// UsageKeeper keeps copies of other daemons' usage totals.
type UsageKeeper interface {
	HandUsage(ctx context.Context, r *HandUsageRequest) (*HandUsageResponse, error)
}

// UsageCounter provides the counts of requests that this daemon has of itself and others.
type UsageCounter interface {
	UsageCounts(r *UsageCountsRequest) *UsageCountsResponse
}

// StreamKeeper keeps the software versions at which streams began.
type StreamKeeper interface {
	TellStreams(r *TellStreamsRequest) *TellStreamsResponse
	FindStream(r *FindStreamRequest) *FindStreamResponse
}

// HeartbeatSource builds and answers heartbeats.
type HeartbeatSource interface {
	// Heartbeat returns a new heartbeat of this daemon, to be sent to a peer as a request.
	Heartbeat(to lagoonhead.VMID) *Heartbeat
	// Answer processes a heartbeat that a peer sent as a request and returns the response.
	// The ages in the request must not be trusted.
	Answer(request *Heartbeat) *Heartbeat
}

// Server serves the calls of peers. Set the exported fields before Handler is called.
type Server struct {
	Config     ConfigSource
	Lender     Lender
	Usage      UsageKeeper
	Heartbeats HeartbeatSource
	// Counts is nil if this daemon has no counts by usage window.
	Counts UsageCounter
	// Streams is nil if this daemon keeps no software versions of streams.
	Streams StreamKeeper
	// Token is the shared bearer token that requests must carry. It is empty if the
	// listener authenticates by mutual TLS or is allowed to be without authentication.
	Token string
}

// Handler returns the HTTP handler of both services.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	q := NewQueriesServer(queries{s})
	c := NewCommandsServer(commands{s})
	mux.Handle(q.PathPrefix(), q)
	mux.Handle(c.PathPrefix(), c)
	return RequireToken(s.Token, http.MaxBytesHandler(mux, maxRequestBytes))
}

// RequireToken rejects requests that do not carry the bearer token. An empty token
// accepts all requests.
func RequireToken(token string, next http.Handler) http.Handler {
	if token == "" {
		return next
	}
	want := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, "token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

type queries struct{ server *Server }

func (q queries) PullConfig(_ context.Context, r *PullConfigRequest) (*PullConfigResponse, error) {
	return q.server.Config.PullConfig(r), nil
}

func (q queries) RevisionState(context.Context, *RevisionStateRequest) (*RevisionStateResponse, error) {
	return q.server.Config.RevisionState(), nil
}

func (q queries) UsageCounts(_ context.Context, r *UsageCountsRequest) (*UsageCountsResponse, error) {
	if q.server.Counts == nil {
		return nil, twirp.NewError(twirp.Unimplemented, "there are no counts by usage window")
	}
	return q.server.Counts.UsageCounts(r), nil
}

func (q queries) FindStream(_ context.Context, r *FindStreamRequest) (*FindStreamResponse, error) {
	if q.server.Streams == nil {
		return nil, errNoStreams
	}
	return q.server.Streams.FindStream(r), nil
}

// errNoStreams is the answer to calls about streams of a daemon without a StreamKeeper.
var errNoStreams = twirp.NewError(twirp.Unimplemented, "no software versions of streams are kept")

type commands struct{ server *Server }

func (c commands) Exchange(_ context.Context, h *Heartbeat) (*Heartbeat, error) {
	return c.server.Heartbeats.Answer(h), nil
}

func (c commands) Borrow(ctx context.Context, r *BorrowRequest) (*BorrowResponse, error) {
	return c.server.Lender.Borrow(ctx, r)
}

func (c commands) GiveBack(ctx context.Context, r *GiveBackRequest) (*GiveBackResponse, error) {
	return c.server.Lender.GiveBack(ctx, r)
}

func (c commands) HandUsage(ctx context.Context, r *HandUsageRequest) (*HandUsageResponse, error) {
	return c.server.Usage.HandUsage(ctx, r)
}

func (c commands) TellStreams(_ context.Context, r *TellStreamsRequest) (*TellStreamsResponse, error) {
	if c.server.Streams == nil {
		return nil, errNoStreams
	}
	return c.server.Streams.TellStreams(r), nil
}
