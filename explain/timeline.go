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
	// attemptSpan is how long before and after a request another one with the same
	// content counts as an attempt of the same caller. Callers repeat within seconds.
	attemptSpan = 30 * time.Second
	// endpointSpan is how far from a request what is said of its endpoints is shown. An
	// endpoint that has crashed leaves the list some seconds later.
	endpointSpan = 10 * time.Second
	// daemonSpan is the same for what its daemon says of itself.
	daemonSpan = 5 * time.Second
)

const (
	served    = "request served"
	notServed = "request not served"
)

// Timeline joins what the logs of all VMs say of one request. First, every line is given
// to Find, then every line again to Relate.
type Timeline struct {
	// Request is the identifier that is looked for.
	Request string

	request     *outlog.Line
	arrived     time.Time
	endpoints   []string
	attempts    []outlog.Line
	surrounding []outlog.Line
	// others counts requests that had an endpoint of this one in their steps close to its
	// end, failed those of them that an endpoint of this one failed.
	others, failed int
}

// Find takes a line of the first pass.
func (t *Timeline) Find(l outlog.Line) {
	if !isRequest(&l) || l.Text("request") != t.Request {
		return
	}
	t.request, t.arrived = &l, arrival(&l)
	t.endpoints = endpointsOf(&l)
}

// Found reports whether the first pass has met the request.
func (t *Timeline) Found() bool { return t.request != nil }

func isRequest(l *outlog.Line) bool { return l.Message == served || l.Message == notServed }

// arrival returns when the request of a line arrived; the line is written at its end.
func arrival(l *outlog.Line) time.Time {
	return l.Time.Add(-time.Duration(l.Number("took") * float64(time.Millisecond)))
}

// endpointsOf returns the endpoints that the steps of a request name, in order.
func endpointsOf(l *outlog.Line) []string {
	var list []string
	for _, s := range l.Texts("steps") {
		if id := endpointOf(s); id != "" && !slices.Contains(list, id) {
			list = append(list, id)
		}
	}
	return list
}

// endpointOf returns the endpoint that a step names: the word behind "at", without a colon
// behind it.
func endpointOf(step string) string {
	words := strings.Fields(step)
	for i, w := range words {
		if w == "at" && i > 0 && i+1 < len(words) {
			return strings.TrimRight(words[i+1], ":,")
		}
	}
	return ""
}

// Relate takes a line of the second pass.
func (t *Timeline) Relate(l outlog.Line) {
	switch {
	case t.request == nil:
	case isRequest(&l):
		t.relateRequest(l)
	case slices.Contains(t.endpoints, l.Text("endpoint")) || t.namesEndpoint(l.Text("key")):
		if t.near(l.Time, endpointSpan) {
			t.surrounding = append(t.surrounding, l)
		}
	case l.VM == t.request.VM && t.concerns(&l) && t.near(l.Time, daemonSpan):
		t.surrounding = append(t.surrounding, l)
	}
}

// concerns reports whether a line of the request's daemon may say something about the
// request: it is not about other endpoints, other services or the reports of usage.
func (t *Timeline) concerns(l *outlog.Line) bool {
	if l.Text("endpoint") != "" || l.Text("key") != "" || l.Fields["window"] != nil {
		return false
	}
	service := l.Text("service")
	return service == "" || service == t.request.Text("service")
}

func (t *Timeline) namesEndpoint(key string) bool {
	return key != "" && slices.ContainsFunc(t.endpoints, func(id string) bool { return strings.HasSuffix(key, "/"+id) })
}

func (t *Timeline) near(at time.Time, span time.Duration) bool {
	return at.After(t.arrived.Add(-span)) && at.Before(t.request.Time.Add(span))
}

func (t *Timeline) relateRequest(l outlog.Line) {
	if l.Text("request") == t.Request {
		return
	}
	if content := t.request.Text("fingerprint"); content != "" && l.Text("fingerprint") == content && t.near(l.Time, attemptSpan) {
		t.attempts = append(t.attempts, l)
	}
	if !t.near(l.Time, time.Second) {
		return
	}
	met, failed := false, false
	for _, s := range l.Texts("steps") {
		if slices.Contains(t.endpoints, endpointOf(s)) {
			met = true
			failed = failed || strings.Contains(s, " failed: ")
		}
	}
	if met {
		t.others++
	}
	if failed {
		t.failed++
	}
}

// Cause says in one line why the request ended as it did.
func (t *Timeline) Cause() string {
	l := t.request
	if l.Message == served {
		return fmt.Sprintf("served in %s", t.took())
	}
	if left, _ := l.Fields["callerLeft"].(bool); left {
		return fmt.Sprintf("the caller left after %s", t.took())
	}
	ran := "it may have run"
	if notRun, _ := l.Fields["notRun"].(bool); notRun {
		ran = "it has not run"
	}
	reason := l.Text("error")
	for _, s := range l.Texts("steps") {
		if strings.Contains(s, " failed: ") {
			_, reason, _ = strings.Cut(s, " ") // the last failed step says more than the error
		}
	}
	return fmt.Sprintf("%s, %s: %s", l.Text("kind"), ran, reason)
}

func (t *Timeline) took() time.Duration {
	return t.request.Time.Sub(t.arrived).Round(time.Millisecond)
}

// event is a line of the printed timeline.
type event struct {
	at   time.Time
	vm   string
	text string
}

// Print writes the cause, then what happened in the order of time, relative to the arrival
// of the request.
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

func (t *Timeline) events() []event {
	list := stepsOf(t.request, "")
	for i := range t.attempts {
		a := &t.attempts[i]
		list = append(list, stepsOf(a, "attempt "+a.Text("request")+": ")...)
	}
	for _, l := range t.surrounding {
		list = append(list, event{l.Time, l.VM, l.Message + fieldText(&l)})
	}
	slices.SortStableFunc(list, func(a, b event) int { return a.at.Compare(b.at) })
	return list
}

// stepsOf returns the arrival, the steps and the end of a request.
func stepsOf(l *outlog.Line, prefix string) []event {
	at, ended := arrival(l), l.Time
	list := []event{{at, l.VM, prefix + "arrived"}}
	for _, s := range l.Texts("steps") {
		offset, text, _ := strings.Cut(s, " ")
		if d, err := time.ParseDuration(offset); err == nil {
			list = append(list, event{at.Add(d), l.VM, prefix + text})
			if at.Add(d).After(ended) {
				ended = at.Add(d) // the time of the line is known to the millisecond only
			}
		}
	}
	end := l.Message
	if l.Message == notServed {
		end += fmt.Sprintf(": %s (retry after %.0f ms)", l.Text("error"), l.Number("retryAfter"))
	}
	return append(list, event{ended, l.VM, prefix + end})
}

// fieldText returns the fields of a line in the order of their names.
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
