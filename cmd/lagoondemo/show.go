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

// show runs the steps one after another and prints what each one saw.
func show(ctx context.Context, f *fleet, out io.Writer) error {
	fmt.Fprintf(out, "A fleet of %d daemons, %d engines and a booking service runs in this process.\n\n", daemonCount, engineCount)
	for i, step := range []struct {
		title string
		run   func(context.Context, *fleet, io.Writer) error
	}{
		{"A request is served", showRequest},
		{"A booking runs once", showBooking},
		{"A limit holds over all daemons", showLimit},
		{"An engine is drained", showDrain},
		{"A daemon is lost in the middle of a stream", showLoss},
	} {
		fmt.Fprintf(out, "%d. %s\n", i+1, step.title)
		if err := step.run(ctx, f, out); err != nil {
			return errors.Wrapf(err, "%s", step.title)
		}
	}
	return nil
}

// answer is a streamed answer as a caller reads it.
type answer struct {
	status int
	text   string
	tokens int
	lastID string
	whole  bool
}

func get(ctx context.Context, url string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(r)
}

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

// stream asks a question and reads the answer until its end or until stop returns
// true.
func stream(ctx context.Context, m *member, key, text string, most int, lastID string, stop func(answer) bool) (answer, error) {
	body := fmt.Sprintf(`{"model":"reader","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, most, text)
	h := make(http.Header)
	if lastID != "" {
		h.Set("Last-Event-ID", lastID)
	}
	resp, err := send(ctx, m.url()+"/v1/chat/completions", key, body, h)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode}
	s := bufio.NewScanner(resp.Body)
	for s.Scan() && !a.whole {
		a.line(s.Text())
		if stop != nil && stop(a) {
			break
		}
	}
	return a, nil
}

func (a *answer) line(line string) {
	if id, ok := strings.CutPrefix(line, "id: "); ok {
		a.lastID = id
		return
	}
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return
	}
	if data == "[DONE]" {
		a.whole = true
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

func showRequest(ctx context.Context, f *fleet, out io.Writer) error {
	a, err := stream(ctx, f.daemons[0], frontDeskKey, "Does the third floor fit a weekend?", 12, "", nil)
	if err != nil {
		return err
	}
	if !a.whole {
		return errors.Newf("status %d, the answer is not whole", a.status)
	}
	fmt.Fprintf(out, "   answered by way of %s: %q\n\n", f.daemons[0].url(), a.text)
	return nil
}

func showBooking(ctx context.Context, f *fleet, out io.Writer) error {
	const copies = 6
	var wait sync.WaitGroup
	for i := range copies {
		wait.Go(func() {
			h := http.Header{"Idempotency-Key": {"move-17"}}
			resp, err := send(ctx, f.daemons[i%daemonCount].url()+"/services/crates/bookings", frontDeskKey, `{"crates":40}`, h)
			if err == nil {
				resp.Body.Close()
			}
		})
	}
	wait.Wait()
	if n := f.service.Ran(); n != 1 {
		return errors.Newf("the service ran the booking %d times", n)
	}
	fmt.Fprintf(out, "   sent %d times at once through %d daemons with one idempotency key: the service ran it once\n\n", copies, daemonCount)
	return nil
}

// floodTime is how long the small workspace sends more than its rate.
const floodTime = 3 * time.Second

func showLimit(ctx context.Context, f *fleet, out io.Writer) error {
	began := f.timer.Now()
	end := began + floodTime
	var mu sync.Mutex
	tokens, refused := 0, 0
	var wait sync.WaitGroup
	for i := range 12 {
		wait.Go(func() {
			for n := 0; f.timer.Now() < end && ctx.Err() == nil; n++ {
				short, cancel := context.WithTimeout(ctx, floodTime)
				a, _ := stream(short, f.daemons[i%daemonCount], taggerKey, fmt.Sprintf("tag email %d of %d", n, i), 40, "", nil)
				cancel()
				mu.Lock()
				tokens += a.tokens
				if !a.whole {
					refused++
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	seconds := (f.timer.Now() - began).Seconds()
	most := taggerRate*seconds + taggerBurst
	if float64(tokens) > most {
		return errors.Newf("%d tokens in %.1f s are more than %.0f", tokens, seconds, most)
	}
	fmt.Fprintf(out, "   12 callers of a workspace with %d tokens/s and a burst of %d got %d output tokens in %.1f s\n", taggerRate, taggerBurst, tokens, seconds)
	fmt.Fprintf(out, "   through all daemons together; %d requests were still waiting or refused\n\n", refused)
	return nil
}

func showDrain(ctx context.Context, f *fleet, out io.Writer) error {
	m := f.daemons[0]
	r, err := m.commands().SetLeaving(ctx, &operator.SetLeavingRequest{Endpoint: "e1", Leaving: true, WaitMs: applyWaitMs})
	if err != nil {
		return err
	}
	before := len(f.engines[0].Records())
	for i := range 8 {
		a, err := stream(ctx, f.daemons[i%daemonCount], frontDeskKey, fmt.Sprintf("question %d", i), 5, "", nil)
		if err != nil || !a.whole {
			return errors.CombineErrors(err, errors.Newf("request %d was not answered", i))
		}
	}
	if n := len(f.engines[0].Records()) - before; n != 0 {
		return errors.Newf("the drained engine got %d requests", n)
	}
	fmt.Fprintf(out, "   revision %d is confirmed by %d VMs; 8 requests were answered, none of them by e1\n", r.GetRevision(), len(r.GetConfirmed()))
	_, err = m.commands().SetLeaving(ctx, &operator.SetLeavingRequest{Endpoint: "e1", WaitMs: applyWaitMs})
	fmt.Fprintf(out, "   e1 is back in service\n\n")
	return err
}

func showLoss(ctx context.Context, f *fleet, out io.Writer) error {
	first, _ := stream(ctx, f.daemons[0], frontDeskKey, "Read this long lease.", 120, "", func(a answer) bool { return a.tokens >= 20 })
	f.daemons[0].lose()
	rest, err := stream(ctx, f.daemons[1], frontDeskKey, "Read this long lease.", 120, first.lastID, nil)
	if err != nil {
		return err
	}
	if !rest.whole {
		return errors.Newf("status %d, the answer was not carried on", rest.status)
	}
	fmt.Fprintf(out, "   the caller had %d tokens, then %s was lost; %s carried on with the other %d\n", first.tokens, f.daemons[0].url(), f.daemons[1].url(), rest.tokens)
	a, err := stream(ctx, f.daemons[2], frontDeskKey, "And another one?", 10, "", nil)
	if err != nil || !a.whole {
		return errors.CombineErrors(err, errors.New("the rest of the fleet does not answer"))
	}
	fmt.Fprintf(out, "   the other daemons go on\n")
	return nil
}
