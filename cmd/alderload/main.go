// Command alderload sends the scheduling bench's load to real entry VMs and prints the
// results next to the bench's own figures for the same seed.
//
// # Usage
//
//	go run ./cmd/alderload --deployment kedelsyn --load 0.8 --dir live
//
// It prints which VMs to start; start them in another shell.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"alderdyke/internal/load"
	"alderdyke/internal/sched/bench"
	"alderdyke/internal/signals"
	"alderdyke/pkg/clock"
)

func main() {
	name, dir := "kedelsyn", "live"
	offered, seconds, seed := 0.8, 60, uint64(1)
	flaggy.SetName("alderload")
	flaggy.SetDescription("offers the scheduling bench's load to real entry VMs")
	flaggy.String(&name, "d", "deployment", "kedelsyn or hoalua")
	flaggy.Float64(&offered, "l", "load", "offered load as a part of capacity")
	flaggy.Int(&seconds, "s", "seconds", "span of arrivals; the first sixth is not measured")
	flaggy.UInt64(&seed, "r", "seed", "of the arrivals")
	flaggy.String(&dir, "o", "dir", "folder for the settings of the VMs")
	flaggy.Parse()
	if err := run(name, dir, offered, seconds, seed); err != nil {
		fmt.Fprintln(os.Stderr, "alderload:", err)
		os.Exit(1)
	}
}

func run(name, dir string, offered float64, seconds int, seed uint64) error {
	deployments := map[string]bench.Deployment{"kedelsyn": bench.Kedelsyn(), "hoalua": bench.HoaLua()}
	bd, ok := deployments[name]
	if !ok {
		return fmt.Errorf("deployment %q does not exist; choose kedelsyn or hoalua", name)
	}
	span := clock.Millis(seconds) * clock.Second
	rn := &load.Run{Deployment: bd, Load: offered, Seed: seed, Span: span, MeasureFrom: span / 6, Dir: dir}
	rs, err := rn.Execute(signals.Listen().TerminalContext(), os.Stdout)
	if err != nil {
		return fmt.Errorf("run the load: %w", err)
	}
	sim := bench.Run(bench.Setup{Deployment: bd, Load: offered, Policy: bench.Cell, Seed: seed, Span: span, MeasureFrom: span / 6})
	fmt.Printf("\n%s at %.1f of capacity, seed %d, %d s\n", bd.Name, offered, seed, seconds)
	rs.Print(os.Stdout, sim)
	return nil
}
