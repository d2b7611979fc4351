// Command lagoonctl is the operators' command-line client of the daemons: it checks,
// compares and applies inventories, drains endpoints, issues and withdraws keys, and
// shows the state of a daemon and the reasons for its decisions.
//
// Exit codes: 0 done, 1 failed, 2 usage or invalid input, 3 conflict with another
// edit, 4 committed but not confirmed by all VMs whose confirmation is needed.
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
edit, 4 committed but not confirmed by all VMs whose confirmation is needed: a
majority, or with -wait every listed VM.
`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	p := &program{in: os.Stdin, out: os.Stdout, errors: os.Stderr, environment: os.Getenv}
	code := p.run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

// program holds the standard streams and the environment of the process.
type program struct {
	in          io.Reader
	out         io.Writer
	errors      io.Writer
	environment func(name string) string
}

// command is one subcommand.
type command struct {
	name string
	// arguments names the positional arguments in the help.
	arguments string
	// short is the description in the list of commands, long that in the command's help.
	short string
	long  string
	// define declares the flags of the command and returns the function that runs it after
	// they have been parsed.
	define func(k *invocation) func(ctx context.Context) error
}

// invocation is one run of a command with its arguments.
type invocation struct {
	*program
	flags *flag.FlagSet
	// args holds the positional arguments.
	args []string
	json bool
}

// commandList holds the commands in the order of the help text.
var commandList = []command{
	validateCommand, diffCommand, applyCommand, getCommand, drainCommand, undrainCommand,
	statusCommand, issueKeyCommand, withdrawKeyCommand, explainCommand, placementCommand,
}

// usageError reports wrong arguments or flags, or a file named by them that cannot be used.
type usageError struct{ text string }

func (u *usageError) Error() string { return u.text }

// run runs the command that args name and returns the exit code.
func (p *program) run(ctx context.Context, args []string) int {
	if len(args) == 0 {
		p.usage(p.errors)
		return exitUsage
	}
	if isHelp(args[0]) {
		p.usage(p.out)
		return exitDone
	}
	c, rest, ok := findCommand(args)
	if !ok {
		return p.unknown(args)
	}
	return p.invoke(ctx, c, rest)
}

func isHelp(s string) bool { return s == "help" || s == "-h" || s == "-help" || s == "--help" }

// findCommand returns the command whose name the arguments begin with, and the arguments
// after the name. A name may have several words.
func findCommand(args []string) (c command, rest []string, ok bool) {
	for _, c := range commandList {
		words := strings.Fields(c.name)
		if len(args) >= len(words) && strings.Join(args[:len(words)], " ") == c.name {
			return c, args[len(words):], true
		}
	}
	return command{}, nil, false
}

// unknown handles arguments that name no command and returns the exit code. If the first
// argument is the first word of longer names, as "keys" is, the commands with these names
// are listed.
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
	if len(args) > 1 && isHelp(args[1]) {
		out, code = p.out, exitDone
	}
	fmt.Fprintf(out, "Usage:\n\n")
	printCommands(out, group)
	return code
}

func (p *program) usage(out io.Writer) {
	fmt.Fprintf(out, "lagoonctl is the command-line client for operators of lagoonhead.\n\nUsage:\n\n")
	printCommands(out, commandList)
	fmt.Fprintf(out, "\n\"lagoonctl COMMAND -h\" explains a command and its flags.\n\n%s", exitHelp)
}

func printCommands(out io.Writer, commands []command) {
	for _, c := range commands {
		fmt.Fprintf(out, "  lagoonctl %-34s %s\n", strings.TrimSpace(c.name+" "+c.arguments), c.short)
	}
}

// invoke parses the flags of a command, runs it and returns the exit code.
func (p *program) invoke(ctx context.Context, c command, args []string) int {
	f := flag.NewFlagSet(c.name, flag.ContinueOnError)
	f.SetOutput(io.Discard)
	k := &invocation{program: p, flags: f}
	f.BoolVar(&k.json, "json", false, "print JSON instead of text")
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

// parse parses flags before, between and after the positional arguments. All arguments
// after "--" are positional.
func (k *invocation) parse(args []string) error {
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

func (k *invocation) help(c command, out io.Writer) {
	fmt.Fprintf(out, "Usage: lagoonctl %s [flags]\n\n%s\n\nFlags:\n", strings.TrimSpace(c.name+" "+c.arguments), c.long)
	k.flags.SetOutput(out)
	k.flags.PrintDefaults()
	fmt.Fprintf(out, "\n%s", exitHelp)
}

// checkArgs checks the number of positional arguments.
func (k *invocation) checkArgs(minimum, maximum int) error {
	if len(k.args) < minimum || len(k.args) > maximum {
		return &usageError{fmt.Sprintf("%d arguments are given, %s are needed", len(k.args), countRange(minimum, maximum))}
	}
	return nil
}

func countRange(minimum, maximum int) string {
	if minimum == maximum {
		return strconv.Itoa(minimum)
	}
	return fmt.Sprintf("%d to %d", minimum, maximum)
}
