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

// version is the version of the program, as in CHANGELOG.md.
const version = "0.1.0"

func main() {
	// Signals are handled from the start until the program exits. An unhandled signal
	// would end it at once and cut off open answers.
	sg := signals.Listen()
	pg := cli.Program{Run: entry.Run, Demo: showDemo(sg), Version: version}
	os.Exit(pg.Main(sg.Context(), os.Args[1:], os.Stdout, os.Stderr))
}

// showDemo returns a function that runs the demonstration until a signal to stop or until
// its terminal is closed.
func showDemo(sg *signals.Signals) func(ctx context.Context, dir string, out io.Writer) error {
	return func(_ context.Context, dir string, out io.Writer) error {
		return demo.Run(sg.TerminalContext(), dir, out)
	}
}
