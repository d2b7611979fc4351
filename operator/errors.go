package operator

import (
	"errors"
	"net"
	"strconv"

	"github.com/twitchtv/twirp"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/config"
	"github.com/lagoonhead/lagoonhead/strict"
)

// Error is the error type of the package.
type Error struct{ lagoonhead.Fault }

func fail(op string, k lagoonhead.Kind, err error) error {
	return &Error{lagoonhead.Fault{Op: "operator." + op, Kind: k, Err: err}}
}

// Keys of the metadata of a twirp error.
const (
	metaKind    = "kind"
	metaBase    = "baseRevision"
	metaCurrent = "currentRevision"
)

var codes = map[lagoonhead.Kind]twirp.ErrorCode{
	lagoonhead.KindInternal:        twirp.Internal,
	lagoonhead.KindInvalid:         twirp.InvalidArgument,
	lagoonhead.KindNotFound:        twirp.NotFound,
	lagoonhead.KindConflict:        twirp.Aborted,
	lagoonhead.KindUnauthenticated: twirp.Unauthenticated,
	lagoonhead.KindForbidden:       twirp.PermissionDenied,
	lagoonhead.KindUnavailable:     twirp.Unavailable,
	lagoonhead.KindTimeout:         twirp.DeadlineExceeded,
	lagoonhead.KindUnknown:         twirp.Unknown,
	lagoonhead.KindExhausted:       twirp.ResourceExhausted,
	lagoonhead.KindStale:           twirp.FailedPrecondition,
	lagoonhead.KindCrashed:         twirp.Internal,
}

// toTwirp turns an error of this program into one of the protocol. The message is
// the list of faults of a document, or the cause below the errors of the packages.
func toTwirp(err error) error {
	if err == nil {
		return nil
	}
	kind := lagoonhead.KindOf(err)
	e := twirp.NewError(codes[kind], message(err)).WithMeta(metaKind, kind.String())
	var c *config.Conflict
	if errors.As(err, &c) {
		e = e.WithMeta(metaBase, strconv.FormatInt(c.Base, 10)).WithMeta(metaCurrent, strconv.FormatInt(c.Current, 10))
	}
	return e
}

func message(err error) string {
	var p strict.Problems
	if errors.As(err, &p) {
		return p.Error()
	}
	for {
		_, ours := err.(interface{ ErrorKind() lagoonhead.Kind })
		next := errors.Unwrap(err)
		if next == nil || !ours {
			return err.Error()
		}
		err = next
	}
}

// fromTwirp turns an error of the protocol back. A failure of the transport after
// the request may have been sent is KindUnknown for a command and KindUnavailable
// for a query.
func fromTwirp(op string, command bool, err error) error {
	if err == nil {
		return nil
	}
	var e twirp.Error
	if !errors.As(err, &e) {
		return fail(op, lagoonhead.KindUnavailable, err)
	}
	if name := e.Meta(metaKind); name != "" {
		kind := lagoonhead.ParseKind(name)
		if kind == lagoonhead.KindConflict {
			return fail(op, kind, conflictOf(e))
		}
		return fail(op, kind, errors.New(e.Msg()))
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return fail(op, lagoonhead.KindUnavailable, dial)
	}
	switch e.Code() {
	case twirp.Unauthenticated:
		return fail(op, lagoonhead.KindUnauthenticated, errors.New(e.Msg()))
	case twirp.PermissionDenied:
		return fail(op, lagoonhead.KindForbidden, errors.New(e.Msg()))
	case twirp.Internal, twirp.DeadlineExceeded, twirp.Canceled, twirp.Unavailable, twirp.Unknown:
		if command {
			return fail(op, lagoonhead.KindUnknown, err)
		}
		return fail(op, lagoonhead.KindUnavailable, err)
	default:
		return fail(op, lagoonhead.KindInvalid, err)
	}
}

func conflictOf(e twirp.Error) error {
	base, errBase := strconv.ParseInt(e.Meta(metaBase), 10, 64)
	current, errCurrent := strconv.ParseInt(e.Meta(metaCurrent), 10, 64)
	if errBase != nil || errCurrent != nil {
		return errors.New(e.Msg())
	}
	return &config.Conflict{Base: base, Current: current}
}
