// Command standin2 holds the stand-ins of the second review's scripts: the platform's store,
// workers and clients, after the platform's pages.
//
// # Usage
//
//	standin2 run CASE RECORD FOLDER # plays a case; exits with 0, 1 or 2
//	standin2 worker FILE            # one worker, a process of its own
//
// A case starts no process: it asks play-2.sh for them through the folder.
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

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(rg *rig) (bool, error){
	"restarted": playRestarted,
	"late-beat": playLateBeat,
}

func main() {
	switch {
	case len(os.Args) == 3 && os.Args[1] == "worker":
		os.Exit(runWorker(os.Args[2]))
	case len(os.Args) == 5 && os.Args[1] == "run" && cases[os.Args[2]] != nil:
		os.Exit(runCase(os.Args[2], os.Args[3], os.Args[4]))
	default:
		fmt.Fprintln(os.Stderr, "usage: standin2 run CASE RECORD FOLDER")
		os.Exit(exitFailed)
	}
}

func runCase(name, file, folder string) int {
	rg, err := newRig(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	rg.note("case %s, with the disruption: %t", name, rg.trouble)
	broken, err := cases[name](rg)
	code := exitHeld
	switch {
	case err != nil:
		rg.note("the case could not run: %v", err)
		code = exitFailed
	case broken:
		rg.note("the rule was broken")
		code = exitBroken
	default:
		rg.note("the rule held")
	}
	if err := rg.writeRecord(file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return code
}
