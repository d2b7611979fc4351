package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// options are the command-line flags.
type options struct {
	rounds    string
	out       string
	plots     string
	firstSeed int
	seeds     int
}

func main() {
	var o options
	flag.StringVar(&o.rounds, "rounds", "all", "letters of the rounds to run, or all")
	flag.StringVar(&o.out, "out", "", "the page to write; empty prints to standard output. Only a run of all rounds may write it")
	flag.StringVar(&o.plots, "plots", "", "the directory for plots; empty draws none")
	flag.IntVar(&o.firstSeed, "first-seed", 1, "the first seed")
	flag.IntVar(&o.seeds, "seeds", 5, "the number of seeds, at least 2")
	flag.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "lagoonbench:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	if o.seeds < 2 {
		return fmt.Errorf("-seeds is %d, but a standard deviation needs at least 2", o.seeds)
	}
	if o.out != "" && o.rounds != "all" {
		return fmt.Errorf("-out %s needs -rounds all, since the page holds all rounds", o.out)
	}
	var page strings.Builder
	page.WriteString(introduction(o))
	for _, r := range rounds() {
		if o.rounds != "all" && !strings.Contains(o.rounds, r.letter) {
			continue
		}
		text, err := r.write(o)
		if err != nil {
			return err
		}
		page.WriteString(text)
	}
	digest, err := notes.ReadFile("notes/digest.md")
	if err != nil {
		return err
	}
	page.Write(digest)
	if o.out == "" {
		_, err := os.Stdout.WriteString(page.String())
		return err
	}
	return os.WriteFile(filepath.Clean(o.out), []byte(page.String()), 0o644)
}
