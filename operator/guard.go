package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"expvar"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"
)

// Guard lets only operators in. With Token set, a request needs the token as its
// bearer token; with MutualTLS set, it needs a verified client certificate; with
// both set, it needs both. With neither, the listener is open, which the settings
// allow on loopback or when they say so.
type Guard struct {
	Token     string
	MutualTLS bool

	refused expvar.Int
}

// Refused returns how many requests were refused.
func (g *Guard) Refused() int64 { return g.refused.Value() }

// Wrap returns a handler that refuses what the guard does not let in.
func (g *Guard) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if reason := g.refuse(r); reason != "" {
			g.refused.Add(1)
			_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, reason))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (g *Guard) refuse(r *http.Request) string {
	if g.MutualTLS && (r.TLS == nil || len(r.TLS.VerifiedChains) == 0) {
		return "a client certificate is needed"
	}
	if g.Token != "" && !sameToken(r.Header.Get("Authorization"), g.Token) {
		return "the operator token is missing or wrong"
	}
	return ""
}

// sameToken compares hashes, so that the time tells neither length nor content.
func sameToken(header, token string) bool {
	given, ok := strings.CutPrefix(header, "Bearer ")
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1 && ok
}
