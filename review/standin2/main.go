// Command standin2 holds the stand-ins of the second review's scripts: the platform's store,
// workers and clients, after the platform's pages.
//
// # Usage
//
//	standin2 run unframed FOLDER
//	standin2 run restarted FOLDER
//	standin2 worker (started by run)
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

func main() {
	switch {
	case len(os.Args) == 2 && os.Args[1] == "worker":
		os.Exit(runWorker())
	case len(os.Args) == 4 && os.Args[1] == "run":
		os.Exit(runCase(os.Args[2], os.Args[3]))
	default:
		fmt.Fprintln(os.Stderr, "usage: standin2 run CASE FOLDER")
		os.Exit(exitFailed)
	}
}

func runCase(name, folder string) int {
	play, known := map[string]func(rg *rig) (bool, error){"unframed": playUnframed, "restarted": playRestarted}[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitFailed
	}
	rg, err := newRig(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rg.close()
	broken, err := play(rg)
	switch {
	case err != nil:
		rg.note("the case could not run: %v", err)
		return exitFailed
	case broken:
		rg.note("the rule was broken")
		return exitBroken
	default:
		rg.note("the rule held")
		return exitHeld
	}
}
