package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonhead/lagoonhead"
	"github.com/lagoonhead/lagoonhead/config"
	"github.com/lagoonhead/lagoonhead/strict"
)

// unconfirmedError reports a committed revision that lacks confirmations, and the VMs that
// have not confirmed it. The result of the command is printed before it is returned.
type unconfirmedError struct{ text string }

func (u *unconfirmedError) Error() string { return u.text }

// failure is the JSON output for an error.
type failure struct {
	Error struct {
		Kind            string          `json:"kind"`
		Message         string          `json:"message"`
		BaseRevision    int64           `json:"baseRevision,omitempty"`
		CurrentRevision int64           `json:"currentRevision,omitempty"`
		Problems        strict.Problems `json:"problems,omitempty"`
	} `json:"error"`
}

// finish prints the error of a command and returns the exit code.
func (k *invocation) finish(c command, err error) int {
	if err == nil {
		return exitDone
	}
	code := exitCode(err)
	var u *unconfirmedError
	if errors.As(err, &u) {
		fmt.Fprintf(k.errors, "lagoonctl %s: %v\n", c.name, err)
		return code
	}
	if k.json {
		k.printFailure(err)
		return code
	}
	var p strict.Problems
	if errors.As(err, &p) {
		fmt.Fprintln(k.errors, p.Error())
		return code
	}
	fmt.Fprintf(k.errors, "lagoonctl %s: %s\n", c.name, plainText(err))
	return code
}

func (k *invocation) printFailure(err error) {
	var f failure
	f.Error.Kind = kindName(err)
	f.Error.Message = plainText(err)
	var c *config.Conflict
	if errors.As(err, &c) {
		f.Error.BaseRevision, f.Error.CurrentRevision = c.Base, c.Current
	}
	errors.As(err, &f.Error.Problems)
	k.printJSON(f)
}

// kindName returns the kind of an error in JSON output.
func kindName(err error) string {
	var u *usageError
	if errors.As(err, &u) {
		return "usage"
	}
	return lagoonhead.KindOf(err).String()
}

func exitCode(err error) int {
	var usage *usageError
	var unconfirmed *unconfirmedError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &unconfirmed):
		return exitUnconfirmed
	}
	switch lagoonhead.KindOf(err) {
	case lagoonhead.KindInvalid, lagoonhead.KindNotFound:
		return exitUsage
	case lagoonhead.KindConflict:
		return exitConflict
	default:
		return exitFailed
	}
}

// plainText returns the message of err without the operations that errors of this module
// put before it.
func plainText(err error) string {
	kind := lagoonhead.KindOf(err)
	text := err.Error()
	for {
		_, hasKind := err.(interface{ ErrorKind() lagoonhead.Kind })
		next := errors.Unwrap(err)
		if next == nil || !hasKind {
			break
		}
		err, text = next, next.Error()
	}
	if kind == lagoonhead.KindUnknown {
		return "it is not known whether the change was made: " + text + "; \"lagoonctl get\" shows what is in force"
	}
	return text
}

func (k *invocation) printJSON(v any) {
	e := json.NewEncoder(k.out)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	_ = e.Encode(v)
}

// printMessage prints a response of the daemon in the JSON mapping of protocol buffers.
// protojson varies its white space between builds, so the output is indented again.
func (k *invocation) printMessage(m proto.Message) error {
	b, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, b, "", "  "); err != nil {
		return err
	}
	fmt.Fprintln(k.out, out.String())
	return nil
}
