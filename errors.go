package lagoonhead

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind classifies an error by how its receiver may react.
type Kind uint8

// The kinds of errors that cross package boundaries.
const (
	// KindInternal means that the program itself has a bug.
	KindInternal Kind = iota
	// KindInvalid means that the input is invalid and a retry with it cannot succeed.
	KindInvalid
	// KindNotFound means that the named thing does not exist.
	KindNotFound
	// KindConflict means that a compare-and-swap found another revision.
	KindConflict
	// KindUnauthenticated means that the credentials are missing or unknown.
	KindUnauthenticated
	// KindForbidden means that the credentials do not cover the operation.
	KindForbidden
	// KindUnavailable means that nothing was done and a retry may succeed.
	KindUnavailable
	// KindTimeout means that the deadline expired before anything was done.
	KindTimeout
	// KindUnknown means that the operation may or may not have taken effect.
	KindUnknown
	// KindExhausted means that a limit or a bounded queue is used up.
	KindExhausted
	// KindStale means that the sender has lost its authority (its lease or fencing
	// token) or acted on outdated data.
	KindStale
	// KindCrashed means that an endpoint crashed, or closed the connection, while it
	// ran the request.
	KindCrashed
)

var kindNames = [...]string{
	KindInternal:        "internal",
	KindInvalid:         "invalid",
	KindNotFound:        "notFound",
	KindConflict:        "conflict",
	KindUnauthenticated: "unauthenticated",
	KindForbidden:       "forbidden",
	KindUnavailable:     "unavailable",
	KindTimeout:         "timeout",
	KindUnknown:         "unknown",
	KindExhausted:       "exhausted",
	KindStale:           "stale",
	KindCrashed:         "crashed",
}

// String returns the camelCase name of the kind.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// Fault holds an operation, a kind and a cause. Each package embeds it in its own Error
// type.
type Fault struct {
	// Op names the operation that failed, for example "store.put".
	Op string
	// Kind classifies the failure.
	Kind Kind
	// Err is the cause. It may be nil.
	Err error
}

// Error returns the operation, the kind and the cause on one line.
func (f Fault) Error() string {
	if f.Err == nil {
		return f.Op + ": " + f.Kind.String()
	}
	return f.Op + ": " + f.Kind.String() + ": " + f.Err.Error()
}

// Unwrap returns the cause.
func (f Fault) Unwrap() error { return f.Err }

// ErrorKind returns the kind. KindOf calls it on the error of any package.
func (f Fault) ErrorKind() Kind { return f.Kind }

// KindOf returns the kind of the outermost error in the chain of err that has
// one, and KindInternal when there is none. It must not be called with nil.
func KindOf(err error) Kind {
	var k interface{ ErrorKind() Kind }
	if errors.As(err, &k) {
		return k.ErrorKind()
	}
	return KindInternal
}

// IsKind reports whether err is not nil and has the kind k.
func IsKind(err error, k Kind) bool { return err != nil && KindOf(err) == k }

// ParseKind returns the kind with the given name, and KindInternal when there is
// none.
func ParseKind(name string) Kind {
	for k, n := range kindNames {
		if n == name {
			return Kind(k)
		}
	}
	return KindInternal
}
