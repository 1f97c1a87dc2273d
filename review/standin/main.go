// Command standin plays the parts around the program for the scripts of this
// review: the platform's store, the workers, and the clients. They do what the
// users' pages say of a sound store, worker and client.
//
// # Usage
//
//	standin case NAME RECORD FOLDER  # plays a case; exits with 0, 1 or 2
//	standin worker FLAGS             # one worker, a process of its own
//
// A case starts no process: it asks play.sh for them through the folder.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// cases are the cases by name. Each returns what broke the rule, if anything.
var cases = map[string]func(dp *deployment, trouble bool) ([]string, error){}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		os.Exit(runWorker(os.Args[2:]))
	}
	if len(os.Args) != 5 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin case NAME RECORD FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[2], os.Args[3], os.Args[4], os.Getenv("TROUBLE") != "0"))
}

// play plays a case and writes its record.
func play(name, file, folder string, trouble bool) int {
	rec, err := newRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dp, err := newDeployment(rec, folder)
	if err != nil {
		rec.add("the case could not run: %v", err)
		return exitNotRun
	}
	defer dp.stop()
	rec.add("case %s, with the disruption: %t", name, trouble)
	broken, err := cases[name](dp, trouble)
	if err != nil {
		rec.add("the case could not run: %v", err)
		return exitNotRun
	}
	for _, text := range broken {
		rec.add("BROKEN %s", text)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.add("the rule held")
	return exitHeld
}
