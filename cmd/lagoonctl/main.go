// Command lagoonctl is the command line of operators: it checks, compares and
// applies inventories, drains endpoints, issues and withdraws keys, and shows the
// state of a daemon and the reasons of its decisions.
//
// Exit codes: 0 done, 1 failed, 2 usage or invalid input, 3 conflict with another
// edit, 4 committed but not confirmed by all VMs that were waited for.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
)

// The exit codes.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnconfirmed = 4
)

const exitHelp = `Exit codes: 0 done, 1 failed, 2 usage or invalid input, 3 conflict with another
edit, 4 committed but not confirmed by all VMs that were waited for.
`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	p := &program{in: os.Stdin, out: os.Stdout, errors: os.Stderr, environment: os.Getenv}
	code := p.run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// program is one run of the command line.
type program struct {
	in          io.Reader
	out         io.Writer
	errors      io.Writer
	environment func(name string) string
}

// command is one subcommand. Its define method declares the flags and returns what
// runs after they have been parsed.
type command struct {
	name string
	// arguments shows the positional arguments in the usage.
	arguments string
	short     string
	long      string
	define    func(c *call) func(ctx context.Context) error
}

// call is one use of a command.
type call struct {
	*program
	flags *flag.FlagSet
	args  []string
	json  bool
}

var commandList = []command{
	validateCommand, diffCommand, applyCommand, getCommand, drainCommand, undrainCommand,
	statusCommand, issueCommand, withdrawCommand, explainCommand,
}

// usageError is a fault of the command line itself.
type usageError struct{ text string }

func (u *usageError) Error() string { return u.text }

func (p *program) run(ctx context.Context, args []string) int {
	if len(args) == 0 {
		p.usage(p.errors)
		return exitUsage
	}
	if help(args[0]) {
		p.usage(p.out)
		return exitDone
	}
	c, rest, ok := findCommand(args)
	if !ok {
		return p.unknown(args)
	}
	return p.call(ctx, c, rest)
}

func help(arg string) bool { return arg == "help" || arg == "-h" || arg == "-help" || arg == "--help" }

// findCommand returns the command whose words the arguments begin with.
func findCommand(args []string) (c command, rest []string, ok bool) {
	for _, c := range commandList {
		words := strings.Fields(c.name)
		if len(args) >= len(words) && strings.Join(args[:len(words)], " ") == c.name {
			return c, args[len(words):], true
		}
	}
	return command{}, nil, false
}

// unknown answers arguments that name no command. The first word of a group shows
// the commands of that group.
func (p *program) unknown(args []string) int {
	var group []command
	for _, c := range commandList {
		if strings.HasPrefix(c.name, args[0]+" ") {
			group = append(group, c)
		}
	}
	if len(group) == 0 {
		fmt.Fprintf(p.errors, "lagoonctl: unknown command %q; \"lagoonctl help\" lists the commands\n", args[0])
		return exitUsage
	}
	out, code := p.errors, exitUsage
	if len(args) > 1 && help(args[1]) {
		out, code = p.out, exitDone
	}
	fmt.Fprintf(out, "Usage:\n\n")
	list(out, group)
	return code
}

func (p *program) usage(out io.Writer) {
	fmt.Fprintf(out, "lagoonctl is the command line of lagoonhead operators.\n\nUsage:\n\n")
	list(out, commandList)
	fmt.Fprintf(out, "\n\"lagoonctl COMMAND -h\" explains a command and its flags.\n\n%s", exitHelp)
}

func list(out io.Writer, commands []command) {
	for _, c := range commands {
		fmt.Fprintf(out, "  lagoonctl %-34s %s\n", strings.TrimSpace(c.name+" "+c.arguments), c.short)
	}
}

// call parses the flags of a command and runs it.
func (p *program) call(ctx context.Context, c command, args []string) int {
	f := flag.NewFlagSet(c.name, flag.ContinueOnError)
	f.SetOutput(io.Discard)
	k := &call{program: p, flags: f}
	f.BoolVar(&k.json, "json", false, "print JSON for programs")
	run := c.define(k)
	if err := k.parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			k.help(c, p.out)
			return exitDone
		}
		fmt.Fprintf(p.errors, "lagoonctl %s: %v; \"lagoonctl %s -h\" explains the command\n", c.name, err, c.name)
		return exitUsage
	}
	return k.finish(c, run(ctx))
}

// parse takes flags before, between and after the positional arguments. Those after
// "--" are positional.
func (k *call) parse(args []string) error {
	for {
		if err := k.flags.Parse(args); err != nil {
			return err
		}
		rest := k.flags.Args()
		if len(rest) == 0 {
			return nil
		}
		if n := len(args) - len(rest); n > 0 && args[n-1] == "--" {
			k.args = append(k.args, rest...)
			return nil
		}
		k.args = append(k.args, rest[0])
		args = rest[1:]
	}
}

func (k *call) help(c command, out io.Writer) {
	fmt.Fprintf(out, "Usage: lagoonctl %s [flags]\n\n%s\n\nFlags:\n", strings.TrimSpace(c.name+" "+c.arguments), c.long)
	k.flags.SetOutput(out)
	k.flags.PrintDefaults()
	fmt.Fprintf(out, "\n%s", exitHelp)
}

// want checks the number of positional arguments.
func (k *call) want(least, most int) error {
	if len(k.args) < least || len(k.args) > most {
		return &usageError{fmt.Sprintf("%d arguments are given, %s are needed", len(k.args), span(least, most))}
	}
	return nil
}

func span(least, most int) string {
	if least == most {
		return strconv.Itoa(least)
	}
	return fmt.Sprintf("%d to %d", least, most)
}
