package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"

	"github.com/lagoonhead/lagoonhead/config"
	"github.com/lagoonhead/lagoonhead/inventory"
	"github.com/lagoonhead/lagoonhead/operator"
)

// revisionLine matches the first line of the output of "get", a comment with the revision.
var revisionLine = regexp.MustCompile(`^# revision: ([0-9]+)\r?\n`)

// newest is the value of -base that replaces the newest revision, whatever its number is.
const newest = "newest"

// readFile returns the content of a file, or of the standard input for "-". The standard
// input is cut off above the size limit of an inventory, so that the parser rejects it.
func (k *invocation) readFile(name string) ([]byte, error) {
	var text []byte
	var err error
	if name == "-" {
		text, err = io.ReadAll(io.LimitReader(k.in, inventory.MaxBytes+1))
	} else {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	return text, nil
}

func (k *invocation) readInventory(name string) (*inventory.Inventory, []byte, error) {
	text, err := k.readFile(name)
	if err != nil {
		return nil, nil, err
	}
	inv, err := inventory.Parse(name, text)
	return inv, text, err
}

var validateCommand = command{
	name: "validate", arguments: "FILE", short: "check an inventory file",
	long: `Checks an inventory file, or the standard input for "-", without asking a
daemon. Every error is printed with its line, its field and the accepted values.`,
	define: func(k *invocation) func(context.Context) error {
		return func(context.Context) error {
			if err := k.checkArgs(1, 1); err != nil {
				return err
			}
			inv, _, err := k.readInventory(k.args[0])
			if err != nil {
				return err
			}
			k.printCounts(inv)
			return nil
		}
	},
}

func (k *invocation) printCounts(inv *inventory.Inventory) {
	keys := 0
	for _, w := range inv.Workspaces {
		keys += len(w.Keys)
	}
	if k.json {
		k.printJSON(map[string]int{
			"models": len(inv.Models), "engines": len(inv.Engines), "services": len(inv.Services),
			"workspaces": len(inv.Workspaces), "keys": keys, "rules": len(inv.Rules),
		})
		return
	}
	fmt.Fprintf(k.out, "valid: %d models, %d engines, %d services, %d workspaces with %d keys, %d rules\n",
		len(inv.Models), len(inv.Engines), len(inv.Services), len(inv.Workspaces), keys, len(inv.Rules))
}

var diffCommand = command{
	name: "diff", arguments: "[OLD] NEW", short: "compare an inventory file with the inventory in force",
	long: `Prints how the file NEW differs from the file OLD, or from the inventory in force if OLD
is not given: "+" marks what is added, "-" what is removed, "~" what is changed.`,
	define: func(k *invocation) func(context.Context) error {
		r := k.remoteFlags()
		return func(ctx context.Context) error {
			if err := k.checkArgs(1, 2); err != nil {
				return err
			}
			to, _, err := k.readInventory(k.args[len(k.args)-1])
			if err != nil {
				return err
			}
			from, err := k.oldInventory(ctx, r)
			if err != nil {
				return err
			}
			k.printDiff(inventory.Diff(from, to))
			return nil
		}
	},
}

// oldInventory returns the inventory that "diff" compares with: the first of two files, or
// the inventory in force.
func (k *invocation) oldInventory(ctx context.Context, r *remote) (*inventory.Inventory, error) {
	if len(k.args) == 2 {
		inv, _, err := k.readInventory(k.args[0])
		return inv, err
	}
	got, err := r.getInventory(ctx)
	if err != nil {
		return nil, err
	}
	return inventory.Parse("in force", []byte(got.GetYaml()))
}

func (r *remote) getInventory(ctx context.Context) (*operator.GetInventoryResponse, error) {
	client, err := r.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := r.context(ctx, 0)
	defer cancel()
	return client.GetInventory(ctx)
}

func (k *invocation) printDiff(lines []string) {
	if k.json {
		k.printJSON(map[string][]string{"differences": append([]string{}, lines...)})
		return
	}
	for _, l := range lines {
		fmt.Fprintln(k.out, l)
	}
	if len(lines) == 0 {
		fmt.Fprintln(k.out, "no differences")
	}
}

var getCommand = command{
	name: "get", short: "print the inventory in force",
	long: `Prints the inventory in force. The first line states its revision. "apply" reads that
line and rejects the file if another revision has been committed since.`,
	define: func(k *invocation) func(context.Context) error {
		r := k.remoteFlags()
		return func(ctx context.Context) error {
			if err := k.checkArgs(0, 0); err != nil {
				return err
			}
			got, err := r.getInventory(ctx)
			if err != nil {
				return err
			}
			if k.json {
				return k.printMessage(got)
			}
			fmt.Fprintf(k.out, "# revision: %d\n%s", got.GetRevision(), got.GetYaml())
			return nil
		}
	},
}

var applyCommand = command{
	name: "apply", arguments: "FILE", short: "commit an inventory file as the new revision",
	long: `Checks an inventory file, or the standard input for "-", and commits it as a whole:
what is not in the file is gone, keys and leaving marks included. The revision that
the file was made from is given by -base or by the first line of a file from "get".
"-base newest" replaces whatever is in force. The first inventory needs no base.`,
	define: func(k *invocation) func(context.Context) error {
		r, w := k.remoteFlags(), k.waitFlags()
		base := k.flags.String("base", "", "`revision` that the file was made from, or \"newest\"")
		return func(ctx context.Context) error {
			if err := k.checkArgs(1, 1); err != nil {
				return err
			}
			_, text, err := k.readInventory(k.args[0])
			if err != nil {
				return err
			}
			revision, err := k.baseRevision(ctx, r, *base, text)
			if err != nil {
				return err
			}
			return k.apply(ctx, r, w, &operator.ApplyRequest{
				Yaml: string(text), BaseRevision: revision, WaitMs: w.duration().Milliseconds(),
			})
		}
	},
}

// baseRevision returns the revision that a file was made from, which "apply" requires to be
// the newest one. 0 replaces whichever revision is newest, and config.NoRevision requires
// that no revision exists yet.
func (k *invocation) baseRevision(ctx context.Context, r *remote, base string, text []byte) (int64, error) {
	if m := revisionLine.FindSubmatch(text); base == "" && m != nil {
		base = string(m[1])
	}
	if base == newest {
		return 0, nil
	}
	if base != "" {
		revision, err := strconv.ParseInt(base, 10, 64)
		if err != nil || revision < 0 {
			return 0, &usageError{fmt.Sprintf("-base %q is neither a revision nor %q", base, newest)}
		}
		return revision, nil
	}
	got, err := r.getInventory(ctx)
	if err != nil {
		return 0, err
	}
	if got.GetRevision() == 0 {
		return config.NoRevision, nil
	}
	return 0, &usageError{fmt.Sprintf(
		"revision %d is in force: give -base with the revision that the file was made from, or -base %s to replace it",
		got.GetRevision(), newest)}
}

func (k *invocation) apply(ctx context.Context, r *remote, w *waitOptions, q *operator.ApplyRequest) error {
	client, err := r.client()
	if err != nil {
		return err
	}
	ctx, cancel := r.context(ctx, w.duration())
	defer cancel()
	out, err := client.Apply(ctx, q)
	if err != nil {
		return err
	}
	return k.printCommit(out, w, k.messagePrinter(out))
}
