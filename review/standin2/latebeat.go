package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	lateBeatWorkers = 4 // of which one leaves: a share of 0.25, as in the site's days
	// beatDelay is how late the write takes effect that got no answer: platform_lost allows
	// 1 to 6 s.
	beatDelay = 5800 * time.Millisecond
	// removedAfter is when the worker leaves, from that write on: more than contact_ms, so
	// that the store is stable and all machines are in touch.
	removedAfter = 3200 * time.Millisecond
	// stay is for how long the worker serves after its entry was removed: "drain_ms ... and a
	// little longer (at times many seconds)".
	stay      = 6 * time.Second
	sendEvery = 25 * time.Millisecond
)

// lateBeatWorker answers after 0.3 s.
var lateBeatWorker = workerSettings{Service: "huvo11a", Zone: "aarhus-a", Slots: 64, Work: 300 * time.Millisecond, Pieces: 1, PieceBytes: 800, Stay: stay}

// playLateBeat has one renewal of a worker's entry take effect seconds late, after the worker
// has left without a word and its entry was removed.
func playLateBeat(rg *rig) (broken bool, err error) {
	var due, lost atomic.Bool
	rg.store.lateBeat = func(key string) time.Duration {
		if key == "i-1" && due.Load() && !lost.Swap(true) {
			rg.note("store: gives no answer to a renewal of %s, and carries it out %v later", key, beatDelay)
			time.AfterFunc(beatDelay, func() { rg.note("store: the renewal of %s has taken effect", key) })
			time.AfterFunc(beatDelay+3*heartbeat, func() { rg.store.add(topicServers, key, nil) }) // it lapses
			return beatDelay
		}
		return 0
	}
	if err := rg.startServices(lateBeatWorkers, lateBeatWorker); err != nil {
		return false, err
	}
	due.Store(rg.trouble)
	for limit := time.Now().Add(2 * heartbeat); !lost.Load() && time.Now().Before(limit); time.Sleep(10 * time.Millisecond) {
	}
	time.Sleep(removedAfter)
	leaver := rg.workers[0]
	rg.note("worker %s gets SIGTERM", leaver.set.ID)
	if err := syscall.Kill(leaver.id, syscall.SIGTERM); err != nil {
		return false, fmt.Errorf("stop a worker: %w", err)
	}
	answers := rg.sendFor(stay + time.Second)
	whole, lostAnswers := 0, 0
	for _, an := range answers {
		switch {
		case an.err == nil && an.status == 200:
			whole++
		default:
			lostAnswers++
		}
	}
	rg.note("%d requests were answered, %d were not", whole, lostAnswers)
	if whole == 0 {
		return false, errNothingServed
	}
	return rg.judgeDrain(leaver)
}

// sendFor sends requests to the VMs in turn, and returns the answers.
func (rg *rig) sendFor(span time.Duration) []answer {
	var all sync.WaitGroup
	var mu sync.Mutex
	var out []answer
	ticker := time.NewTicker(sendEvery)
	defer ticker.Stop()
	for number, end := 0, time.Now().Add(span); time.Now().Before(end); number++ {
		all.Go(func() {
			an := rg.send(rg.vms[number%len(rg.vms)].front, false)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, an)
		})
		<-ticker.C
	}
	all.Wait()
	return out
}

// judgeDrain reports whether requests reached a worker later than drain_ms after the store had
// acknowledged that its entry is removed.
func (rg *rig) judgeDrain(wk *worker) (broken bool, err error) {
	lines, err := rg.workerLines(wk)
	if err != nil {
		return false, err
	}
	var gone time.Time
	late, last := 0, time.Duration(0)
	for _, ln := range lines {
		switch {
		case ln.text == entryRemoved:
			gone = ln.at
		case !gone.IsZero() && strings.HasPrefix(ln.text, "runs ") && ln.at.Sub(gone) > drainTime:
			late++
			last = ln.at.Sub(gone)
		}
	}
	if gone.IsZero() {
		return false, errNoRemoval
	}
	rg.note("%d requests reached worker %s later than %v after the removal, the last one %v after it", late, wk.set.ID, drainTime, last.Round(time.Millisecond))
	return late > 0, nil
}
