package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	restartedWorkers = 4 // of which one crashes: a share of 0.25, as in the site's days
	restartedClients = 16
	// crashAfter is when the worker crashes: most of its answers are on their way then.
	crashAfter = time.Second
	// restartAfter is how long the address is empty.
	restartAfter = 2 * time.Second
)

// restartedWorker answers with 24 MB.
var restartedWorker = workerSettings{Service: "huvo11a", Zone: "aarhus-a", Slots: 64, Pieces: 400, PieceBytes: 60 << 10}

// playRestarted has a worker crash while slow clients read its answers, which have no length.
// Another incarnation starts at its address.
func playRestarted(rg *rig) (broken bool, err error) {
	if err := rg.startServices(restartedWorkers, restartedWorker); err != nil {
		return false, err
	}
	var all sync.WaitGroup
	answers := make(chan answer, restartedClients)
	for ix := range restartedClients {
		all.Go(func() { answers <- rg.send(rg.vms[ix%len(rg.vms)].front, true) })
	}
	if rg.trouble {
		time.Sleep(crashAfter)
		first := rg.workers[0]
		rg.crash(first)
		time.Sleep(restartAfter)
		next := first.set
		next.ID = "i-9"
		if err := rg.startWorker(next); err != nil {
			return false, fmt.Errorf("start the worker again: %w", err)
		}
		rg.note("worker %s started at the address of %s", next.ID, first.set.ID)
	}
	all.Wait()
	close(answers)
	return rg.judgeBodies(answers, restartedWorker)
}
