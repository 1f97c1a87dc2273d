package demo

import (
	"context"
	"fmt"
	"io"

	"alderdyke/internal/standin/deployment"
)

// writeSettings writes the settings of the VMs into the folder and keeps the stand-ins
// running until the context ends, so that the VMs can be started and killed by hand.
func (fl *fleet) writeSettings(ctx context.Context, dir string, out io.Writer) error {
	names, err := deployment.WriteSettings(dir, fl.sets)
	if err != nil {
		return fmt.Errorf("write the settings: %w", err)
	}
	fmt.Fprintf(out, "stand-ins serve; the settings of %d VMs are in %s\n", len(fl.sets), dir)
	for ix, set := range fl.sets {
		fmt.Fprintf(out, "  alderdyke run %s   # callers %s, operators %s\n", names[ix], set.Caller.Listen, set.Operator.Listen)
	}
	<-ctx.Done()
	return nil
}
