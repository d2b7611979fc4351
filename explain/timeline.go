package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/lagoonhead/lagoonhead/outlog"
)

const (
	// attemptSpan is the time before and after a request within which another request
	// with the same content counts as an attempt of the same caller. Callers retry within
	// seconds.
	attemptSpan = 30 * time.Second
	// endpointSpan is the time before and after a request within which log lines about
	// its endpoints are shown. The registration of a crashed endpoint is removed some
	// seconds after the crash.
	endpointSpan = 10 * time.Second
	// daemonSpan is the same for log lines of the request's daemon that are not about an
	// endpoint.
	daemonSpan = 5 * time.Second
)

// Messages of the log line that a daemon writes at the end of a request.
const (
	served    = "request served"
	notServed = "request not served"
)

// Timeline collects the lines about one request from the logs of all VMs. It needs two
// passes over the logs: every line goes to Find first, then every line goes to Relate.
type Timeline struct {
	// Request is the identifier of the request to find.
	Request string

	request   *outlog.Line // written at the end of the request
	arrived   time.Time
	endpoints []string      // of the request's steps
	attempts  []outlog.Line // other requests with the same content
	related   []outlog.Line // lines about the endpoints or the daemon of the request
	// others counts the other requests that ended during this one, or at most 1 s before
	// or after it, with a step at one of its endpoints. failed counts those of them for
	// which such a step failed.
	others, failed int
}

// Find processes a line in the first pass.
func (t *Timeline) Find(l outlog.Line) {
	if !isRequest(&l) || l.Text("request") != t.Request {
		return
	}
	t.request, t.arrived = &l, arrival(&l)
	t.endpoints = endpointsOf(&l)
}

// Found reports whether the first pass has found the request.
func (t *Timeline) Found() bool { return t.request != nil }

// isRequest reports whether a line was written at the end of a request.
func isRequest(l *outlog.Line) bool { return l.Message == served || l.Message == notServed }

// arrival returns the time at which the request of a line arrived. The line is written
// at the end of the request and has its duration.
func arrival(l *outlog.Line) time.Time {
	return l.Time.Add(-time.Duration(l.Number("took") * float64(time.Millisecond)))
}

// endpointsOf returns the endpoints that are named in the steps of a request, in order
// and without duplicates.
func endpointsOf(l *outlog.Line) []string {
	var list []string
	for _, s := range l.Texts("steps") {
		if id := endpointOf(s); id != "" && !slices.Contains(list, id) {
			list = append(list, id)
		}
	}
	return list
}

// endpointOf returns the endpoint that is named in a step, or "": the word after "at",
// without a trailing colon or comma.
func endpointOf(step string) string {
	words := strings.Fields(step)
	for i, w := range words {
		if w == "at" && i > 0 && i+1 < len(words) {
			return strings.TrimRight(words[i+1], ":,")
		}
	}
	return ""
}

// Relate processes a line in the second pass.
func (t *Timeline) Relate(l outlog.Line) {
	switch {
	case t.request == nil:
	case isRequest(&l):
		t.relateRequest(l)
	case slices.Contains(t.endpoints, l.Text("endpoint")) || t.namesEndpoint(l.Text("key")):
		if t.near(l.Time, endpointSpan) {
			t.related = append(t.related, l)
		}
	case l.VM == t.request.VM && t.concerns(&l) && t.near(l.Time, daemonSpan):
		t.related = append(t.related, l)
	}
}

// concerns reports whether a line of the request's daemon may be relevant to the request:
// it is not about an endpoint, another service or a usage window.
func (t *Timeline) concerns(l *outlog.Line) bool {
	if l.Text("endpoint") != "" || l.Text("key") != "" || l.Fields["window"] != nil {
		return false
	}
	service := l.Text("service")
	return service == "" || service == t.request.Text("service")
}

// namesEndpoint reports whether a store key is that of an endpoint of the request.
func (t *Timeline) namesEndpoint(key string) bool {
	return key != "" && slices.ContainsFunc(t.endpoints, func(id string) bool { return strings.HasSuffix(key, "/"+id) })
}

// near reports whether a time is during the request, or within span before or after it.
func (t *Timeline) near(at time.Time, span time.Duration) bool {
	return at.After(t.arrived.Add(-span)) && at.Before(t.request.Time.Add(span))
}

// relateRequest processes a line about another request.
func (t *Timeline) relateRequest(l outlog.Line) {
	if l.Text("request") == t.Request {
		return
	}
	if fingerprint := t.request.Text("fingerprint"); fingerprint != "" && l.Text("fingerprint") == fingerprint && t.near(l.Time, attemptSpan) {
		t.attempts = append(t.attempts, l)
	}
	if !t.near(l.Time, time.Second) {
		return
	}
	atEndpoint, failed := false, false
	for _, s := range l.Texts("steps") {
		if slices.Contains(t.endpoints, endpointOf(s)) {
			atEndpoint = true
			failed = failed || strings.Contains(s, " failed: ")
		}
	}
	if atEndpoint {
		t.others++
	}
	if failed {
		t.failed++
	}
}

// Cause returns one line on how and why the request ended. Found must be true.
func (t *Timeline) Cause() string {
	l := t.request
	if l.Message == served {
		return fmt.Sprintf("served in %s", t.took())
	}
	if callerLeft, _ := l.Fields["callerLeft"].(bool); callerLeft {
		return fmt.Sprintf("the caller left after %s", t.took())
	}
	ran := "it may have run"
	if notRun, _ := l.Fields["notRun"].(bool); notRun {
		ran = "it has not run"
	}
	reason := l.Text("error")
	for _, s := range l.Texts("steps") {
		if strings.Contains(s, " failed: ") {
			_, reason, _ = strings.Cut(s, " ") // the last failed step is more specific than the error
		}
	}
	return fmt.Sprintf("%s, %s: %s", l.Text("kind"), ran, reason)
}

// took returns the duration of the request.
func (t *Timeline) took() time.Duration {
	return t.request.Time.Sub(t.arrived).Round(time.Millisecond)
}

// event is one line of the printed timeline.
type event struct {
	at   time.Time
	vm   string
	text string
}

// Print writes the cause, then the events in the order of time, with their times relative
// to the arrival of the request. Found must be true.
func (t *Timeline) Print(w io.Writer) error {
	l := t.request
	var head strings.Builder
	fmt.Fprintf(&head, "cause: %s\n", t.Cause())
	if t.others > 0 {
		fmt.Fprintf(&head, "of %d other requests at its endpoints around that time, %d met a failure there\n", t.others, t.failed)
	}
	fmt.Fprintf(&head, "request %s at %s, arrived %s", t.Request, l.VM, t.arrived.Format(time.RFC3339Nano))
	for _, name := range []string{"route", "service", "workspace", "configVersion"} {
		if v, ok := l.Fields[name]; ok {
			fmt.Fprintf(&head, ", %s %v", name, v)
		}
	}
	head.WriteByte('\n')
	if _, err := io.WriteString(w, head.String()); err != nil {
		return err
	}
	for _, e := range t.events() {
		if _, err := fmt.Fprintf(w, "%+12.1fms  %-20s %s\n", float64(e.at.Sub(t.arrived))/float64(time.Millisecond), e.vm, e.text); err != nil {
			return err
		}
	}
	return nil
}

// events returns the events of the request and the lines that belong to it, by time.
func (t *Timeline) events() []event {
	list := stepsOf(t.request, "")
	for i := range t.attempts {
		a := &t.attempts[i]
		list = append(list, stepsOf(a, "attempt "+a.Text("request")+": ")...)
	}
	for _, l := range t.related {
		list = append(list, event{l.Time, l.VM, l.Message + fieldText(&l)})
	}
	slices.SortStableFunc(list, func(a, b event) int { return a.at.Compare(b.at) })
	return list
}

// stepsOf returns the arrival, the steps and the end of a request as events.
func stepsOf(l *outlog.Line, prefix string) []event {
	at, ended := arrival(l), l.Time
	list := []event{{at, l.VM, prefix + "arrived"}}
	for _, s := range l.Texts("steps") {
		offset, text, _ := strings.Cut(s, " ")
		if d, err := time.ParseDuration(offset); err == nil {
			list = append(list, event{at.Add(d), l.VM, prefix + text})
			if at.Add(d).After(ended) {
				ended = at.Add(d) // the time of the line has a resolution of 1 ms
			}
		}
	}
	end := l.Message
	if l.Message == notServed {
		end += fmt.Sprintf(": %s (retry after %.0f ms)", l.Text("error"), l.Number("retryAfter"))
	}
	return append(list, event{ended, l.VM, prefix + end})
}

// fieldText returns the fields of a line as text, ordered by name.
func fieldText(l *outlog.Line) string {
	names := make([]string, 0, len(l.Fields))
	for n := range l.Fields {
		names = append(names, n)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, n := range names {
		fmt.Fprintf(&b, " %s=%v", n, l.Fields[n])
	}
	return b.String()
}
