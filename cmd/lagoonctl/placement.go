package main

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lagoonhead/lagoonhead/operator"
)

var placementCommand = command{
	name: "placement", short: "explain where a request would be sent now",
	long: `Prints where a daemon would send a request now, and why: the engine that prefills the
prompt, the endpoint that runs the request, each candidate with its load, its expected wait
in ms and the parts of its cost in ms, the reason why each other endpoint is excluded, and
the decision under load. Nothing is sent to an endpoint or to the store, and nothing is
counted, so that the command can be run on a busy system.

-address is an IP:PORT or a URL: the operator listener, or on the platform the listener for
metrics. The rate limit of the workspace is not considered.`,
	define: func(k *invocation) func(context.Context) error {
		r := k.remoteFlags()
		q := &operator.ExplainPlacementRequest{}
		f := k.flags
		f.StringVar(&q.Route, "route", "", "`name` of the route; by default the first one that leads to -service")
		f.StringVar(&q.Service, "service", "", "`name` of the service; by default drawn from those of -route, as for a request")
		f.StringVar(&q.Workspace, "workspace", "", "`id` of the workspace")
		f.Int64Var(&q.PromptTokens, "tokens", 0, "length of the prompt in `tokens`; 0 for a request without a description of the prompt")
		f.Var(partsFlag{q}, "shared", "`ID:TOKENS` of a part at the beginning of the prompt that other prompts share; may be repeated, in the order of the prompt")
		f.Var(optionalBool{&q.Retryable}, "retryable", "whether the request may be retried; by default as the route says")
		return func(ctx context.Context) error {
			if q.GetRoute() == "" && q.GetService() == "" {
				return &usageError{"-route or -service is needed"}
			}
			if !strings.Contains(r.address, "://") {
				r.address = "http://" + r.address
			}
			client, err := k.prepare(r, 0)
			if err != nil {
				return err
			}
			ctx, cancel := r.context(ctx, 0)
			defer cancel()
			p, err := client.ExplainPlacement(ctx, q)
			if err != nil {
				return err
			}
			if k.json {
				return k.printMessage(p)
			}
			return k.printPlacement(p)
		}
	},
}

// partsFlag adds shared parts to a request.
type partsFlag struct {
	request *operator.ExplainPlacementRequest
}

var _ flag.Value = partsFlag{}

// String returns an empty string, the default.
func (partsFlag) String() string { return "" }

// Set adds a part from ID:TOKENS.
func (p partsFlag) Set(s string) error {
	i := strings.LastIndexByte(s, ':')
	if i <= 0 {
		return errors.New("it is not ID:TOKENS")
	}
	n, err := strconv.ParseInt(s[i+1:], 10, 64)
	if err != nil || n <= 0 {
		return errors.New("the number of tokens is not a positive number")
	}
	p.request.SharedParts = append(p.request.SharedParts, &operator.PromptPart{Id: s[:i], Tokens: n})
	return nil
}

// optionalBool is a flag that stays nil if it is not given.
type optionalBool struct{ value **bool }

// String returns an empty string, the default.
func (optionalBool) String() string { return "" }

// IsBoolFlag lets the flag be given without a value.
func (optionalBool) IsBoolFlag() bool { return true }

// Set sets the value.
func (o optionalBool) Set(s string) error {
	v, err := strconv.ParseBool(s)
	*o.value = &v
	return err
}

func (k *invocation) printPlacement(p *operator.ExplainPlacementResponse) error {
	fmt.Fprintf(k.out, "VM %s, revision %d, route %s, service %s%s, workspace %s, retryable: %s\n", p.GetVm(), p.GetRevision(), p.GetRoute(),
		p.GetService(), drawnService(p), orNone(p.GetWorkspace()), yesNo(p.GetRetryable()))
	if c := p.GetPrefill(); c != nil {
		fmt.Fprintf(k.out, "\nprefill: %s; %s\n", orNone(c.GetChosen()), describeChoice(c))
		if p.GetCacheSource() != "" {
			fmt.Fprintf(k.out, "the shared part is fetched from %s\n", p.GetCacheSource())
		}
		if err := k.printPrefillCandidates(c); err != nil {
			return err
		}
	}
	switch c := p.GetRun(); {
	case c != nil:
		fmt.Fprintf(k.out, "\nrun: %s; %s\n", orNone(c.GetChosen()), describeChoice(c))
		if err := k.printRunCandidates(c); err != nil {
			return err
		}
	default:
		fmt.Fprintf(k.out, "\nrun: %s\n", orNone(p.GetRunEngine()))
	}
	k.printPlacementDecision(p.GetDecision())
	return nil
}

// drawnService says with which probability the service was drawn if the route has several.
func drawnService(p *operator.ExplainPlacementResponse) string {
	for _, s := range p.GetShares() {
		if s.GetService() == p.GetService() && len(p.GetShares()) > 1 {
			return fmt.Sprintf(" (%.0f%% of the route's requests)", 100*s.GetProbability())
		}
	}
	return ""
}

func describeChoice(c *operator.PlacementChoice) string {
	text := c.GetMethod()
	if c.GetUnhealthy() {
		text += "; all were excluded after failures"
	}
	if c.GetReserved() {
		text += "; a place within the limit is reserved"
	}
	return text
}

func (k *invocation) printPrefillCandidates(c *operator.PlacementChoice) error {
	t := k.table("ENGINE", "ROLE", "FAILURE DOMAIN", "QUEUED", "RUNNING", "NEED", "WAIT", "COST", "PREFILL", "SHARED", "BATCH", "OTHERS", "FAR", "RUN", "APART", "LATE", "FAILURES", "REFUSALS", "NOTE")
	for _, v := range c.GetCandidates() {
		note := candidateNote(c, v)
		cost := v.GetCost()
		if cost == nil {
			printExcluded(t, v, 12, note)
			continue
		}
		row(t, v.GetEndpoint(), v.GetRole(), v.GetFailureDomain(), v.GetQueuedTokens(), running(v), v.GetPrefillTokens(), ms(v.GetWaitMs()), ms(cost.GetTotalMs()),
			ms(cost.GetPrefillMs()), ms(cost.GetSharedPartMs()), ms(cost.GetBatchMs()), ms(cost.GetOthersMs()), ms(cost.GetDomainMs()), ms(cost.GetRunMs()),
			ms(cost.GetApartMs()), ms(cost.GetLateMs()), ms(cost.GetFailuresMs()), ms(cost.GetRefusalsMs()), note)
	}
	return t.Flush()
}

func (k *invocation) printRunCandidates(c *operator.PlacementChoice) error {
	t := k.table("ENDPOINT", "ROLE", "FAILURE DOMAIN", "QUEUED", "RUNNING", "PROBABILITY", "COST", "BATCH", "FAR", "FAILURES", "REFUSALS", "NOTE")
	for _, v := range c.GetCandidates() {
		note := candidateNote(c, v)
		cost := v.GetCost()
		if cost == nil {
			printExcluded(t, v, 6, note)
			continue
		}
		probability := "-"
		if v.GetProbability() > 0 {
			probability = fmt.Sprintf("%.3f", v.GetProbability())
		}
		row(t, v.GetEndpoint(), v.GetRole(), v.GetFailureDomain(), v.GetQueuedTokens(), running(v), probability, ms(cost.GetTotalMs()),
			ms(cost.GetBatchMs()), ms(cost.GetDomainMs()), ms(cost.GetFailuresMs()), ms(cost.GetRefusalsMs()), note)
	}
	return t.Flush()
}

// printExcluded writes the row of an endpoint whose last columns but the note are empty.
func printExcluded(t *tabwriter.Writer, v *operator.PlacementCandidate, empty int, note string) {
	cells := []any{v.GetEndpoint(), v.GetRole(), v.GetFailureDomain(), v.GetQueuedTokens(), running(v)}
	for range empty {
		cells = append(cells, "-")
	}
	row(t, append(cells, note)...)
}

func running(v *operator.PlacementCandidate) string {
	if v.GetSlots() == 0 {
		return strconv.FormatInt(v.GetRunning(), 10)
	}
	return fmt.Sprintf("%d/%d", v.GetRunning(), v.GetSlots())
}

func candidateNote(c *operator.PlacementChoice, v *operator.PlacementCandidate) string {
	var notes []string
	if v.GetEndpoint() == c.GetChosen() {
		notes = append(notes, "chosen")
	}
	if v.GetDrawn() {
		notes = append(notes, "considered")
	}
	if v.GetExcluded() != "" {
		text := "excluded: " + v.GetExcluded()
		if v.GetExcludedForMs() > 0 {
			text += ", for " + (time.Duration(v.GetExcludedForMs()) * time.Millisecond).String()
		}
		notes = append(notes, text)
	}
	if v.GetCacheSource() != "" {
		notes = append(notes, "fetches from "+v.GetCacheSource())
	}
	return strings.Join(notes, "; ")
}

func (k *invocation) printPlacementDecision(d *operator.PlacementDecision) {
	fmt.Fprintf(k.out, "\noverloaded: %s", yesNo(d.GetOverloaded()))
	if d.GetPlace() != "" {
		fmt.Fprintf(k.out, ", place: %s, prefill urgency: %d, expected in %s ms", d.GetPlace(), d.GetPrefillUrgency(), ms(d.GetExpectedMs()))
	}
	fmt.Fprintf(k.out, ", run urgency: %d\n", d.GetRunUrgency())
	if d.GetYields() > 0 {
		fmt.Fprintf(k.out, "prompts of the workspace yield to those of others with probability %.3f\n", d.GetYields())
	}
	if d.GetRefused() {
		fmt.Fprintf(k.out, "refused: %s; retry after %d ms\n", d.GetReason(), d.GetRetryAfterMs())
		return
	}
	fmt.Fprintln(k.out, "refused: no")
}

func ms(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) }

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}
