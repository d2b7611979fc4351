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

// Keys of the metadata in a twirp error.
const (
	metaKind    = "kind"
	metaBase    = "baseRevision"
	metaCurrent = "currentRevision"
)

// errorCodes are the twirp codes of the kinds of errors.
var errorCodes = map[lagoonhead.Kind]twirp.ErrorCode{
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

// toTwirp converts err to a twirp error, with the kind and the revisions of a conflict
// in the metadata.
func toTwirp(err error) error {
	if err == nil {
		return nil
	}
	kind := lagoonhead.KindOf(err)
	e := twirp.NewError(errorCodes[kind], Message(err)).WithMeta(metaKind, kind.String())
	var c *config.Conflict
	if errors.As(err, &c) {
		e = e.WithMeta(metaBase, strconv.FormatInt(c.Base, 10)).WithMeta(metaCurrent, strconv.FormatInt(c.Current, 10))
	}
	return e
}

// Message returns the list of problems of a document if err wraps one, otherwise the
// message of the cause without the prefixes of the wrapping package errors.
func Message(err error) string {
	var p strict.Problems
	if errors.As(err, &p) {
		return p.Error()
	}
	for {
		_, hasKind := err.(interface{ ErrorKind() lagoonhead.Kind })
		next := errors.Unwrap(err)
		if next == nil || !hasKind {
			return err.Error()
		}
		err = next
	}
}

// fromTwirp converts the error of a twirp call to an *Error. A transport failure after
// the request may have been sent is KindUnknown for a command and KindUnavailable for a
// query.
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
	var netErr *net.OpError
	if errors.As(err, &netErr) && netErr.Op == "dial" {
		return fail(op, lagoonhead.KindUnavailable, netErr)
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

// conflictOf restores a *config.Conflict from the metadata of e.
func conflictOf(e twirp.Error) error {
	base, errBase := strconv.ParseInt(e.Meta(metaBase), 10, 64)
	current, errCurrent := strconv.ParseInt(e.Meta(metaCurrent), 10, 64)
	if errBase != nil || errCurrent != nil {
		return errors.New(e.Msg())
	}
	return &config.Conflict{Base: base, Current: current}
}
