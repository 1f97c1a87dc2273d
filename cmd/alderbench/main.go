// Command alderbench runs the scheduling bench and writes its tables and plots. The
// figures are the same at every run on computers of one architecture.
//
// # Usage
//
//	go run ./cmd/alderbench --out docs
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"
)

func main() {
	out := "docs"
	workers := 4
	flaggy.SetName("alderbench")
	flaggy.SetDescription("writes RESULTS-scheduling.md and plots/*.svg from the scheduling bench")
	flaggy.String(&out, "o", "out", "directory to write to")
	flaggy.Int(&workers, "w", "workers", "runs at a time")
	flaggy.Parse()
	if err := write(out, workers); err != nil {
		fmt.Fprintln(os.Stderr, "alderbench:", err)
		os.Exit(1)
	}
}

// write runs the bench and writes the report and the plots into the directory.
func write(out string, workers int) error {
	plots := filepath.Join(out, "plots")
	if err := os.MkdirAll(plots, 0o755); err != nil {
		return fmt.Errorf("create the directory of the plots: %w", err)
	}
	rep := newReport(workers)
	rep.run()
	if err := os.WriteFile(filepath.Join(out, "RESULTS-scheduling.md"), rep.markdown(), 0o644); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	if err := rep.plot(plots); err != nil {
		return fmt.Errorf("draw the plots: %w", err)
	}
	return nil
}
