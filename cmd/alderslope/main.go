// Command alderslope measures how one VM's control cost grows, and writes the points, the
// fits and a plot of each series into a folder. docs/CAPACITY.md quotes these files.
//
// # Usage
//
//	go run ./cmd/alderslope --out docs/capacity
//	go run ./cmd/alderslope --out /tmp/slopes --study claims
//
// The names of the studies are those of slope.Studies.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"alderdyke/internal/signals"
	"alderdyke/internal/slope"
)

func main() {
	folder := "docs/capacity"
	var names []string
	flaggy.SetName("alderslope")
	flaggy.SetDescription("Measures the slopes of docs/CAPACITY.md.")
	flaggy.String(&folder, "o", "out", "folder to write to")
	flaggy.StringSlice(&names, "s", "study", "only these studies")
	flaggy.Parse()
	if err := run(signals.Listen().TerminalContext(), folder, names); err != nil {
		fmt.Fprintln(os.Stderr, "alderslope:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, folder string, names []string) error {
	studies, err := slope.StudiesNamed(names)
	if err != nil {
		return fmt.Errorf("choose the studies: %w", err)
	}
	rp := &slope.Report{}
	if err := slope.Run(ctx, studies, rp); err != nil {
		return fmt.Errorf("measure: %w", err)
	}
	if err := rp.Write(folder); err != nil {
		return fmt.Errorf("write to %s: %w", folder, err)
	}
	return nil
}
