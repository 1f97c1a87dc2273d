// Command alderdyke routes requests between callers and separate prefill and
// decode pools of language-model engines.
//
// # Usage
//
//	alderdyke run examples/entry.toml
//
// "alderdyke --help" lists the other subcommands.
package main

import (
	"context"
	"io"
	"os"

	"alderdyke/internal/cli"
	"alderdyke/internal/demo"
	"alderdyke/internal/entry"
	"alderdyke/internal/signals"
)

// version of the program, as CHANGELOG.md names it.
const version = "0.1.0"

func main() {
	// Listened for before all else and to the end: a signal that nobody listens
	// for ends the program at once, with the answers that are open.
	sg := signals.Listen()
	pg := cli.Program{Run: entry.Run, Demo: showDemo(sg), Version: version}
	os.Exit(pg.Main(sg.Context(), os.Args[1:], os.Stdout, os.Stderr))
}

// showDemo runs the demonstration until its terminal is gone.
func showDemo(sg *signals.Signals) func(ctx context.Context, dir string, out io.Writer) error {
	return func(_ context.Context, dir string, out io.Writer) error {
		return demo.Run(sg.TerminalContext(), dir, out)
	}
}
