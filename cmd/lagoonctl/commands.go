package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lagoonhead/lagoonhead/explain"
	"github.com/lagoonhead/lagoonhead/operator"
	"github.com/lagoonhead/lagoonhead/outlog"
)

// messagePrinter returns a function that prints the answer when JSON is wanted.
func (k *call) messagePrinter(m proto.Message) func() {
	return func() {
		if k.json {
			_ = k.printMessage(m)
		}
	}
}

var drainCommand = command{
	name: "drain", arguments: "ENDPOINT", short: "give an endpoint no new work",
	long: `Marks an endpoint as leaving: it gets no new work once the revision is in force, and
what runs on it ends by itself. "status" shows how much is still in flight.`,
	define: leavingCommand(true),
}

var undrainCommand = command{
	name: "undrain", arguments: "ENDPOINT", short: "take an endpoint back into service",
	long:   `Removes the mark that "drain" has set.`,
	define: leavingCommand(false),
}

func leavingCommand(leaving bool) func(k *call) func(context.Context) error {
	return commitCommand(func(ctx context.Context, c *operator.Client, endpoint string, waitMs int64) (*operator.CommitResponse, error) {
		return c.SetLeaving(ctx, &operator.SetLeavingRequest{Endpoint: endpoint, Leaving: leaving, WaitMs: waitMs})
	})
}

// commitCommand defines a command with one argument that commits a change by send.
func commitCommand(
	send func(ctx context.Context, c *operator.Client, argument string, waitMs int64) (*operator.CommitResponse, error),
) func(k *call) func(context.Context) error {
	return func(k *call) func(context.Context) error {
		r, w := k.remoteFlags(), k.waitFlags()
		return func(ctx context.Context) error {
			client, err := k.prepare(r, 1)
			if err != nil {
				return err
			}
			ctx, cancel := r.context(ctx, w.duration())
			defer cancel()
			out, err := send(ctx, client, k.args[0], w.duration().Milliseconds())
			if err != nil {
				return err
			}
			return k.committed(out, w, k.messagePrinter(out))
		}
	}
}

// prepare checks the number of arguments and returns the client.
func (k *call) prepare(r *remote, args int) (*operator.Client, error) {
	if err := k.want(args, args); err != nil {
		return nil, err
	}
	return r.client()
}

var issueCommand = command{
	name: "keys issue", arguments: "WORKSPACE", short: "make a key for a workspace",
	long: `Makes a random key and prints it. It is shown this once and stored nowhere; only its
hash is part of the inventory.`,
	define: func(k *call) func(context.Context) error {
		r, w := k.remoteFlags(), k.waitFlags()
		label := k.flags.String("label", "", "`text` that tells people what the key is for")
		return func(ctx context.Context) error {
			client, err := k.prepare(r, 1)
			if err != nil {
				return err
			}
			ctx, cancel := r.context(ctx, w.duration())
			defer cancel()
			out, err := client.IssueKey(ctx, &operator.IssueKeyRequest{
				Workspace: k.args[0], Label: *label, WaitMs: w.duration().Milliseconds(),
			})
			if err != nil {
				return err
			}
			return k.committed(out.GetCommit(), w, func() { k.printKey(out) })
		}
	},
}

func (k *call) printKey(r *operator.IssueKeyResponse) {
	if k.json {
		_ = k.printMessage(r)
		return
	}
	fmt.Fprintf(k.out, "key: %s\nid:  %s\n", r.GetKey(), r.GetKeyId())
}

var withdrawCommand = command{
	name: "keys withdraw", arguments: "KEY-ID", short: "end a key",
	long: `Ends a key. It stops working at each VM within seconds, on open connections too.
"get" shows the identifiers and labels of the keys.`,
	define: commitCommand(func(ctx context.Context, c *operator.Client, keyID string, waitMs int64) (*operator.CommitResponse, error) {
		return c.WithdrawKey(ctx, &operator.WithdrawKeyRequest{KeyId: keyID, WaitMs: waitMs})
	}),
}

var explainCommand = command{
	name: "explain", arguments: "[SUBJECT] | -logs FILE... REQUEST-ID", short: "show recent decisions and their reasons",
	long: `Prints recent decisions of one daemon, the newest first. The subject is a request, a
workspace, an endpoint or a VM.

With -logs it asks no daemon. It reads the logs of all VMs and prints what they say of one
request, its cause first, with the caller's other attempts and what happened to the
endpoints. The files may be of one VM each or of all VMs together.`,
	define: func(k *call) func(context.Context) error {
		r := k.remoteFlags()
		logs := k.flags.Bool("logs", false, "read log files instead of asking a daemon")
		topic := k.flags.String("topic", "", "only this `topic`: request, admission, role, ordering, endpoint or config")
		limit := k.flags.Int("limit", 50, "largest `number` of decisions")
		return func(ctx context.Context) error {
			if *logs {
				return k.explainLogs()
			}
			if err := k.want(0, 1); err != nil {
				return err
			}
			if *limit < 1 || *limit > 1000 {
				return &usageError{fmt.Sprintf("-limit %d is not from 1 to 1000", *limit)}
			}
			client, err := r.client()
			if err != nil {
				return err
			}
			ctx, cancel := r.context(ctx, 0)
			defer cancel()
			out, err := client.Explain(ctx, &operator.ExplainRequest{
				Topic: *topic, Subject: strings.Join(k.args, ""), Limit: int32(*limit),
			})
			if err != nil {
				return err
			}
			return k.printDecisions(out)
		}
	},
}

// explainLogs prints what log files say of a request. The arguments are the files and the
// identifier of the request.
func (k *call) explainLogs() error {
	if len(k.args) < 2 {
		return &usageError{fmt.Sprintf("%d arguments are given, at least one file and an identifier are needed", len(k.args))}
	}
	files, id := k.args[:len(k.args)-1], k.args[len(k.args)-1]
	t := explain.Timeline{Request: id}
	broken, err := readLogs(files, t.Find)
	if err != nil {
		return err
	}
	if broken > 0 {
		fmt.Fprintf(k.errors, "%d broken lines were passed over\n", broken)
	}
	if !t.Found() {
		return errors.Newf("no line has request %s", id)
	}
	if _, err := readLogs(files, t.Relate); err != nil {
		return err
	}
	return t.Print(k.out)
}

// readLogs calls f for the lines of all files and returns the number of broken ones.
func readLogs(files []string, f func(outlog.Line)) (broken int, err error) {
	for _, name := range files {
		n, err := readLog(name, f)
		broken += n
		if err != nil {
			return broken, err
		}
	}
	return broken, nil
}

func readLog(name string, f func(outlog.Line)) (broken int, err error) {
	file, err := os.Open(name)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }() // it was only read
	return outlog.Read(file, f)
}

func (k *call) printDecisions(r *operator.ExplainResponse) error {
	if k.json {
		return k.printMessage(r)
	}
	if len(r.GetDecisions()) == 0 {
		fmt.Fprintln(k.out, "no decision is remembered")
		return nil
	}
	t := k.table("AGE", "TOPIC", "SUBJECT", "RESULT", "REASON")
	for _, d := range r.GetDecisions() {
		row(t, age(d.GetAgeMs()), d.GetTopic(), d.GetSubject(), d.GetResult(), d.GetReason())
	}
	return t.Flush()
}

// age returns a readable time.
func age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	d := time.Duration(ms) * time.Millisecond
	if d < time.Minute {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

// table starts a table with a heading.
func (k *call) table(heading ...any) *tabwriter.Writer {
	t := tabwriter.NewWriter(k.out, 0, 0, 2, ' ', 0)
	row(t, heading...)
	return t
}

func row(t *tabwriter.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(t, "\t")
		}
		fmt.Fprint(t, c)
	}
	fmt.Fprintln(t)
}
