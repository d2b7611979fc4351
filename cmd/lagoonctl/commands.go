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

// messagePrinter returns a function that prints m if -json is set and nothing otherwise.
func (k *invocation) messagePrinter(m proto.Message) func() {
	return func() {
		if k.json {
			_ = k.printMessage(m)
		}
	}
}

var drainCommand = command{
	name: "drain", arguments: "ENDPOINT", short: "stop sending new requests to an endpoint",
	long: `Marks an endpoint as leaving: it gets no new work once the revision is in force, and
what runs on it ends by itself. "status" shows how much is still in flight.`,
	define: leavingCommand(true),
}

var undrainCommand = command{
	name: "undrain", arguments: "ENDPOINT", short: "undo drain: send new requests to an endpoint again",
	long: `Undoes "drain": the endpoint is no longer marked as leaving and gets new requests again
once the revision is in force.`,
	define: leavingCommand(false),
}

// leavingCommand returns the define function of a command that sets or removes the
// leaving mark of an endpoint.
func leavingCommand(leaving bool) func(k *invocation) func(context.Context) error {
	return commitCommand(func(ctx context.Context, c *operator.Client, endpoint string, waitMs int64) (*operator.CommitResponse, error) {
		return c.SetLeaving(ctx, &operator.SetLeavingRequest{Endpoint: endpoint, Leaving: leaving, WaitMs: waitMs})
	})
}

// commitCommand returns the define function of a command with one positional argument.
// The command calls send to commit a change and prints the result.
func commitCommand(
	send func(ctx context.Context, c *operator.Client, argument string, waitMs int64) (*operator.CommitResponse, error),
) func(k *invocation) func(context.Context) error {
	return func(k *invocation) func(context.Context) error {
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
			return k.printCommit(out, w, k.messagePrinter(out))
		}
	}
}

// prepare checks that there are exactly args positional arguments and returns a client of
// the daemon.
func (k *invocation) prepare(r *remote, args int) (*operator.Client, error) {
	if err := k.checkArgs(args, args); err != nil {
		return nil, err
	}
	return r.client()
}

var issueKeyCommand = command{
	name: "keys issue", arguments: "WORKSPACE", short: "create a key for a workspace",
	long: `Creates a random key and prints it. The key cannot be printed again, as only its hash
is stored, in the inventory.`,
	define: func(k *invocation) func(context.Context) error {
		r, w := k.remoteFlags(), k.waitFlags()
		label := k.flags.String("label", "", "`text` that describes the purpose of the key")
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
			return k.printCommit(out.GetCommit(), w, func() { k.printKey(out) })
		}
	},
}

func (k *invocation) printKey(r *operator.IssueKeyResponse) {
	if k.json {
		_ = k.printMessage(r)
		return
	}
	fmt.Fprintf(k.out, "key: %s\nid:  %s\n", r.GetKey(), r.GetKeyId())
}

var withdrawKeyCommand = command{
	name: "keys withdraw", arguments: "KEY-ID", short: "revoke a key",
	long: `Revokes a key. Every VM rejects it within seconds, on open connections too.
"get" prints the identifiers and labels of the keys.`,
	define: commitCommand(func(ctx context.Context, c *operator.Client, keyID string, waitMs int64) (*operator.CommitResponse, error) {
		return c.WithdrawKey(ctx, &operator.WithdrawKeyRequest{KeyId: keyID, WaitMs: waitMs})
	}),
}

var explainCommand = command{
	name: "explain", arguments: "[SUBJECT] | -logs FILE... REQUEST-ID", short: "show recent decisions and their reasons",
	long: `Prints recent decisions of one daemon, the newest first. SUBJECT limits them to a request,
a workspace, an endpoint or a VM.

With -logs no daemon is asked. The command reads the log files of the VMs and prints what
they contain about one request: first the cause of its outcome, then, in order of time, its
own events, the caller's other attempts and the events at its endpoints. A file may hold the
logs of one VM or of several.`,
	define: func(k *invocation) func(context.Context) error {
		r := k.remoteFlags()
		logs := k.flags.Bool("logs", false, "read log files instead of asking a daemon")
		topic := k.flags.String("topic", "", "print only decisions on this `topic`: request, admission, role, ordering, endpoint or config")
		limit := k.flags.Int("limit", 50, "maximum `number` of decisions, from 1 to 1000")
		return func(ctx context.Context) error {
			if *logs {
				return k.explainLogs()
			}
			if err := k.checkArgs(0, 1); err != nil {
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

// explainLogs prints what the log files contain about a request. The positional arguments
// are the files, followed by the identifier of the request.
func (k *invocation) explainLogs() error {
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

// readLogs calls f for each log line of the files, in their order, and returns the number of
// lines that cannot be decoded.
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
	defer func() { _ = file.Close() }() // an error does not matter after reading
	return outlog.Read(file, f)
}

func (k *invocation) printDecisions(r *operator.ExplainResponse) error {
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

// age formats a time in milliseconds; a negative one means that the event never happened.
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

// table returns a writer of an aligned table on the output and writes the column heads.
// Flush prints the table.
func (k *invocation) table(heading ...any) *tabwriter.Writer {
	t := tabwriter.NewWriter(k.out, 0, 0, 2, ' ', 0)
	row(t, heading...)
	return t
}

// row writes one row of a table.
func row(t *tabwriter.Writer, cells ...any) {
	for i, c := range cells {
		if i > 0 {
			fmt.Fprint(t, "\t")
		}
		fmt.Fprint(t, c)
	}
	fmt.Fprintln(t)
}
