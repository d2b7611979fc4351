package caller

import (
	"io"
	"net/http"
	"time"
)

const (
	// refusalDelay is how long a refusal waits for the rest of the body, which lets the
	// connection stay open.
	refusalDelay = 100 * time.Millisecond
	// discardTime is how long the rest of the body is read after a refusal.
	discardTime = 5 * time.Second
	// discardFactor is the ratio of the bytes read after a refusal to Limits.MaxBodyBytes.
	discardFactor = 4
)

// respondBeforeBody writes a response to a request whose body has not been read, and reads
// the body after it. A close with unread bytes resets the connection, which can destroy the
// response, and makes a caller fail that still sends the body.
func respondBeforeBody(w http.ResponseWriter, r *http.Request, maxBodyBytes int64, write func()) {
	c := http.NewResponseController(w)
	if r.ContentLength == 0 || c.SetReadDeadline(time.Now().Add(refusalDelay)) != nil {
		write()
		return
	}
	write()
	// net/http reads up to 256 KiB of the body before the headers are sent.
	if c.Flush() != nil || c.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, discardFactor*maxBodyBytes); err != io.EOF { //nolint:errorlint // Bodies return it as it is.
		// The deadline stays, because net/http goes on reading.
		return
	}
	_ = c.SetReadDeadline(time.Time{})
}
