package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"expvar"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"
)

// Guard authenticates operators. With Token set, a request needs the token as its
// bearer token; with MutualTLS set, it needs a verified client certificate; with
// both set, it needs both. With neither, every request is accepted; the settings allow
// that only on a loopback address or if it is enabled explicitly.
type Guard struct {
	Token     string
	MutualTLS bool

	refused expvar.Int
}

// Refused returns the number of requests that were rejected.
func (g *Guard) Refused() int64 { return g.refused.Value() }

// Wrap returns a handler that rejects requests without the required credentials and
// passes the others to next.
func (g *Guard) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if reason := g.refusal(r); reason != "" {
			g.refused.Add(1)
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, reason))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// refusal returns the reason for which the request is rejected, or "".
func (g *Guard) refusal(r *http.Request) string {
	if g.MutualTLS && (r.TLS == nil || len(r.TLS.VerifiedChains) == 0) {
		return "a client certificate is needed"
	}
	if g.Token != "" && !sameToken(r.Header.Get("Authorization"), g.Token) {
		return "the operator token is missing or wrong"
	}
	return ""
}

// sameToken compares hashes in constant time, so that the time reveals neither the
// length nor the content of the token.
func sameToken(header, token string) bool {
	given, ok := strings.CutPrefix(header, "Bearer ")
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1 && ok
}
