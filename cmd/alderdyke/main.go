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
	"os"
	"os/signal"
	"syscall"

	"alderdyke/internal/cli"
	"alderdyke/internal/demo"
	"alderdyke/internal/entry"
)

// version of the program, as CHANGELOG.md names it.
const version = "0.1.0"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	pg := cli.Program{Run: entry.Run, Demo: demo.Run, Version: version}
	code := pg.Main(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
