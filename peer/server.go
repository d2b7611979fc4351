package peer

import (
	"context"
	"crypto/subtle"
	"net/http"

	"github.com/twitchtv/twirp"
)

// maxRequestBytes bounds a request of a peer. A configuration part is the largest
// message.
const maxRequestBytes = 4 << 20

// ConfigSource gives the configuration that this daemon holds.
type ConfigSource interface {
	PullConfig(r *PullConfigRequest) *PullConfigResponse
	RevisionState() *RevisionStateResponse
}

// Lender lends tokens of workspaces.
type Lender interface {
	Borrow(ctx context.Context, r *BorrowRequest) (*BorrowResponse, error)
	GiveBack(ctx context.Context, r *GiveBackRequest) (*GiveBackResponse, error)
}

// UsageKeeper keeps copies of other daemons' usage totals.
type UsageKeeper interface {
	HandUsage(ctx context.Context, r *HandUsageRequest) (*HandUsageResponse, error)
}

// HeartbeatSource builds the heartbeat of this daemon and takes what peers say
// without trusting their ages.
type HeartbeatSource interface {
	Local() *Heartbeat
	Told(h *Heartbeat)
}

// Server answers peers. Set the exported fields before Handler.
type Server struct {
	Config     ConfigSource
	Lender     Lender
	Usage      UsageKeeper
	Heartbeats HeartbeatSource
	// Token is the shared token that requests must carry; empty means that the
	// listener authenticates by mutual TLS or is allowed to be open.
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

// RequireToken refuses requests that do not carry the token. An empty token
// accepts all.
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

type queries struct{ s *Server }

func (q queries) PullConfig(_ context.Context, r *PullConfigRequest) (*PullConfigResponse, error) {
	return q.s.Config.PullConfig(r), nil
}

func (q queries) RevisionState(context.Context, *RevisionStateRequest) (*RevisionStateResponse, error) {
	return q.s.Config.RevisionState(), nil
}

type commands struct{ s *Server }

func (c commands) Exchange(_ context.Context, h *Heartbeat) (*Heartbeat, error) {
	c.s.Heartbeats.Told(h)
	return c.s.Heartbeats.Local(), nil
}

func (c commands) Borrow(ctx context.Context, r *BorrowRequest) (*BorrowResponse, error) {
	return c.s.Lender.Borrow(ctx, r)
}

func (c commands) GiveBack(ctx context.Context, r *GiveBackRequest) (*GiveBackResponse, error) {
	return c.s.Lender.GiveBack(ctx, r)
}

func (c commands) HandUsage(ctx context.Context, r *HandUsageRequest) (*HandUsageResponse, error) {
	return c.s.Usage.HandUsage(ctx, r)
}
