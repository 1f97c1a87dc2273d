package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// unframedConfig is a configuration with a stream and a request that may run once, both of
// one plain service.
const unframedConfig = `{"version":7,"routes":[` +
	`{"name":"r-1","host":"ficu95.example","path_prefix":"/lohu930/","route_kind":"streaming","timeout_ms":14000,"slo_ms":900,"priority":1,"service":"huvo11a","max_attempts":1,"sticky":false,"resumable":false,"gap_aim_ms":300},` +
	`{"name":"r-2","host":"ficu95.example","path_prefix":"/pule252/","route_kind":"non_idempotent","timeout_ms":14000,"slo_ms":5000,"priority":2,"service":"huvo11a","max_attempts":1}],` +
	`"services":[{"name":"huvo11a","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

const (
	unframedWorkers = 4 // of which one leaves: a share of 0.25, as in the site's days
	clientWait      = 14 * time.Second
)

// unframedWorker answers for 4 s.
var unframedWorker = workerSettings{Service: "huvo11a", Zone: "aarhus-a", Slots: 64, Pieces: 40, Pause: 100 * time.Millisecond}

var errNothingServed = errors.New("no request was served")

// playUnframed has a worker leave while it is at work on answers without a length. It exits
// after drain_ms and a little longer, as the pages say, and its connections end with it.
func playUnframed(rg *rig) (broken bool, err error) {
	if err := rg.startServices(unframedWorkers, unframedWorker); err != nil {
		return false, err
	}
	var all sync.WaitGroup
	answers := make(chan answer, 100)
	for ix := range 12 {
		for _, path := range []string{pathStream, pathOnce} {
			all.Go(func() { answers <- rg.send(rg.vms[ix%len(rg.vms)].front, path, clientWait, false) })
		}
		if ix == 5 && rg.trouble {
			rg.note("worker %s gets SIGTERM", rg.workers[0].set.ID)
			if err := rg.workers[0].leave(); err != nil {
				return false, err
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	close(answers)
	return rg.judge(answers, unframedWorker)
}

// startServices starts some workers and two VMs.
func (rg *rig) startServices(workers int, set workerSettings) error {
	rg.store.add(topicOperator, "config", []byte(unframedConfig))
	for ix := range workers {
		set.ID = fmt.Sprintf("i-%d", ix+1)
		if err := rg.startWorker(set); err != nil {
			return err
		}
	}
	for _, name := range []string{"edge-aarhus-a-1", "edge-aarhus-a-2"} {
		if err := rg.startVM(name, "aarhus-a"); err != nil {
			return err
		}
	}
	if err := rg.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // the VMs know each other by then
	return nil
}

// judge compares what clients got as whole successes with what the workers wrote.
func (rg *rig) judge(answers <-chan answer, set workerSettings) (broken bool, err error) {
	whole := 0
	for an := range answers {
		if err := an.check(set); err != nil {
			rg.note("%v", err)
			broken = true
		} else if an.err == nil && an.status == 200 {
			whole++
		}
	}
	rg.note("%d answers were whole", whole)
	if whole == 0 {
		return false, errNothingServed
	}
	return broken, nil
}
