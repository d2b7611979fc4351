package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead/operator"
)

// show runs the steps in order and prints the result of each. It stops at the first
// step that fails.
func show(ctx context.Context, f *fleet, out io.Writer) error {
	fmt.Fprintf(out, "A fleet of %d daemons, %d engines and a booking service runs in this process.\n\n", daemonCount, engineCount)
	for i, step := range []struct {
		title string
		run   func(context.Context, *fleet, io.Writer) error
	}{
		{"A request is served", showRequest},
		{"A booking runs once", showBooking},
		{"A rate limit holds across all daemons", showLimit},
		{"An engine is drained", showDrain},
		{"A daemon crashes in the middle of a stream", showCrash},
	} {
		fmt.Fprintf(out, "%d. %s\n", i+1, step.title)
		if err := step.run(ctx, f, out); err != nil {
			return errors.Wrapf(err, "%s", step.title)
		}
	}
	return nil
}

// answer is what a caller has received of a streamed completion.
type answer struct {
	// status is the HTTP status code.
	status int
	text   string
	// tokens counts the events with text; the fake engine sends one per output token.
	tokens int
	// lastEventID resumes the stream when sent as the header Last-Event-ID.
	lastEventID string
	// complete is true once the final event, [DONE], has arrived.
	complete bool
}

// get sends a GET request. The caller closes the body of the response.
func get(ctx context.Context, url string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(r)
}

// send posts a JSON body with an API key. The caller closes the body of the response.
func send(ctx context.Context, url, key, body string, header http.Header) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if header != nil {
		r.Header = header
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	return http.DefaultClient.Do(r)
}

// stream requests a completion of prompt from a daemon and reads the answer until its end
// or until stop returns true; a nil stop reads to the end. A lastEventID that isn't empty
// resumes an earlier stream behind that event.
func stream(ctx context.Context, m *member, key, prompt string, maxTokens int, lastEventID string, stop func(answer) bool) (answer, error) {
	body := fmt.Sprintf(`{"model":"reader","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, maxTokens, prompt)
	h := make(http.Header)
	if lastEventID != "" {
		h.Set("Last-Event-ID", lastEventID)
	}
	resp, err := send(ctx, m.url()+"/v1/chat/completions", key, body, h)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode}
	s := bufio.NewScanner(resp.Body)
	for s.Scan() && !a.complete {
		a.parseLine(s.Text())
		if stop != nil && stop(a) {
			break
		}
	}
	return a, nil
}

// parseLine adds one line of the server-sent events to the answer. It ignores lines that
// it cannot parse.
func (a *answer) parseLine(line string) {
	if id, ok := strings.CutPrefix(line, "id: "); ok {
		a.lastEventID = id
		return
	}
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return
	}
	if data == "[DONE]" {
		a.complete = true
		return
	}
	var v struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &v) != nil {
		return
	}
	for _, c := range v.Choices {
		a.text += c.Delta.Content
		if c.Delta.Content != "" {
			a.tokens++
		}
	}
}

// showRequest streams one completion.
func showRequest(ctx context.Context, f *fleet, out io.Writer) error {
	a, err := stream(ctx, f.daemons[0], frontDeskKey, "Does the third floor fit a weekend?", 12, "", nil)
	if err != nil {
		return err
	}
	if !a.complete {
		return errors.Newf("status %d, the answer is not whole", a.status)
	}
	fmt.Fprintf(out, "   answered through %s: %q\n\n", f.daemons[0].url(), a.text)
	return nil
}

// showBooking sends the same booking through several daemons at the same time and checks
// that the service executed it once.
func showBooking(ctx context.Context, f *fleet, out io.Writer) error {
	const copies = 6
	var wg sync.WaitGroup
	for i := range copies {
		wg.Go(func() {
			h := http.Header{"Idempotency-Key": {"move-17"}}
			resp, err := send(ctx, f.daemons[i%daemonCount].url()+"/services/crates/bookings", frontDeskKey, `{"crates":40}`, h)
			if err == nil {
				resp.Body.Close()
			}
		})
	}
	wg.Wait()
	if n := f.service.Ran(); n != 1 {
		return errors.Newf("the service ran the booking %d times instead of once", n)
	}
	fmt.Fprintf(out, "   sent %d times concurrently through %d daemons with one idempotency key: the service ran it once\n\n", copies, daemonCount)
	return nil
}

// floodDuration is how long the tagger workspace sends more than its rate allows. It is
// also the timeout of each request.
const floodDuration = 3 * time.Second

// showLimit sends more requests than the quota of the tagger workspace allows and checks
// that all daemons together served no more output tokens than rate and burst permit.
func showLimit(ctx context.Context, f *fleet, out io.Writer) error {
	start := f.timer.Now()
	deadline := start + floodDuration
	var mu sync.Mutex
	tokens, unfinished := 0, 0
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			for n := 0; f.timer.Now() < deadline && ctx.Err() == nil; n++ {
				requestCtx, cancel := context.WithTimeout(ctx, floodDuration)
				a, _ := stream(requestCtx, f.daemons[i%daemonCount], taggerKey, fmt.Sprintf("tag email %d of %d", n, i), 40, "", nil)
				cancel()
				mu.Lock()
				tokens += a.tokens
				if !a.complete {
					unfinished++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	seconds := (f.timer.Now() - start).Seconds()
	maxTokens := taggerRate*seconds + taggerBurst
	if float64(tokens) > maxTokens {
		return errors.Newf("%d tokens in %.1f s are more than %.0f", tokens, seconds, maxTokens)
	}
	fmt.Fprintf(out, "   12 callers of a workspace with %d tokens/s and a burst of %d got %d output tokens in %.1f s\n", taggerRate, taggerBurst, tokens, seconds)
	fmt.Fprintf(out, "   through all daemons together; %d requests were refused or did not finish\n\n", unfinished)
	return nil
}

// showDrain marks engine e1 as leaving, checks that it gets no new requests, and puts it
// back into service.
func showDrain(ctx context.Context, f *fleet, out io.Writer) error {
	m := f.daemons[0]
	r, err := m.operatorClient().SetLeaving(ctx, &operator.SetLeavingRequest{Endpoint: "e1", Leaving: true, WaitMs: commitWaitMs})
	if err != nil {
		return err
	}
	before := len(f.engines[0].Records())
	for i := range 8 {
		a, err := stream(ctx, f.daemons[i%daemonCount], frontDeskKey, fmt.Sprintf("question %d", i), 5, "", nil)
		if err != nil || !a.complete {
			return errors.CombineErrors(err, errors.Newf("request %d was not answered", i))
		}
	}
	if n := len(f.engines[0].Records()) - before; n != 0 {
		return errors.Newf("the drained engine got %d requests", n)
	}
	fmt.Fprintf(out, "   revision %d is confirmed by %d VMs; 8 requests were answered, none of them by e1\n", r.GetRevision(), len(r.GetConfirmed()))
	_, err = m.operatorClient().SetLeaving(ctx, &operator.SetLeavingRequest{Endpoint: "e1", WaitMs: commitWaitMs})
	fmt.Fprintf(out, "   e1 is back in service\n\n")
	return err
}

// showCrash crashes a daemon in the middle of a stream, resumes the stream through
// another daemon, and checks that the rest of the fleet still serves requests.
func showCrash(ctx context.Context, f *fleet, out io.Writer) error {
	first, _ := stream(ctx, f.daemons[0], frontDeskKey, "Read this long lease.", 120, "", func(a answer) bool { return a.tokens >= 20 })
	f.daemons[0].crash()
	rest, err := stream(ctx, f.daemons[1], frontDeskKey, "Read this long lease.", 120, first.lastEventID, nil)
	if err != nil {
		return err
	}
	if !rest.complete {
		return errors.Newf("status %d, the answer was not carried on", rest.status)
	}
	fmt.Fprintf(out, "   the caller had %d tokens, then %s was lost; %s carried on with the other %d\n", first.tokens, f.daemons[0].url(), f.daemons[1].url(), rest.tokens)
	a, err := stream(ctx, f.daemons[2], frontDeskKey, "And another one?", 10, "", nil)
	if err != nil || !a.complete {
		return errors.CombineErrors(err, errors.New("the remaining daemons do not answer"))
	}
	fmt.Fprintf(out, "   the other daemons go on\n")
	return nil
}
