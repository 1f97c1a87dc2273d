package poison

import (
	"context"
	"sync"
	"time"

	"alderdyke/internal/suspect"
	"alderdyke/pkg/clock"
)

const (
	// probeWait is how long a request whose call broke waits for the probe of the server,
	// if it is the first. A refused connection shows within two network delays between
	// failure domains, 3 ms. A later result is still recorded.
	probeWait = 30 * clock.Millis(1)
	// probeTimeout bounds a single probe.
	probeTimeout = clock.Second
	// ProbeEnd is the time within which each probe ends, as a value of Guard.RepeatWait.
	ProbeEnd = probeTimeout + probeWait
	// probeTTL is how long a finding applies to all calls to the instance that break.
	probeTTL = 200 * clock.Millis(1)
	// unansweredTTL is how long a server that does not answer is probed again.
	unansweredTTL = clock.Minute
)

// probe checks whether an instance of a server is alive.
type probe struct {
	call       Call // the first call that broke
	startedAt  clock.Millis
	done       chan struct{} // closed when the probe has finished
	finished   bool          // guarded by Guard.mu
	finding    Finding
	finishedAt clock.Millis    // when the probe finished
	marks      []suspect.Marks // requests against which it counts; guarded by Guard.mu
}

// implicates reports whether a finding counts against the request of a call. An
// instance crashes only once, so a call that was sent after the crash did not cause it.
func (pr *probe) implicates(cl Call) bool {
	return (pr.finding == Crashed || pr.finding == Unanswered) && (cl.SentAt == 0 || cl.SentAt <= pr.finishedAt)
}

// probeInstance probes whether a server has crashed, unless it is leaving or no longer
// listed. Calls to it that break at the same moment share one probe.
func (gd *Guard) probeInstance(cl Call) *probe {
	bk := gd.Backends()
	if bk.Restarted(cl.Server) {
		return &probe{finding: Crashed, finishedAt: gd.now()}
	}
	if at, listed := bk.Server(cl.Server.ID); !listed || at.Leaving {
		return &probe{}
	}
	gd.mu.Lock()
	pr := gd.probes[cl.Instance]
	if pr == nil || pr.stale(gd.now()) {
		pr = &probe{call: cl, startedAt: gd.now(), done: make(chan struct{})}
		gd.probes[cl.Instance] = pr
		go gd.runProbe(pr)
	}
	gd.mu.Unlock()
	<-pr.done
	return pr
}

// stale reports whether the instance must be probed again. Servers that did not answer
// are probed by [Guard.Share] until they do.
func (pr *probe) stale(now clock.Millis) bool {
	return pr.finished && pr.finding != Unanswered && now >= pr.startedAt+probeTTL
}

// runProbe probes an instance and stores the finding for all calls that wait for it.
func (gd *Guard) runProbe(pr *probe) {
	defer close(pr.done)
	finding := gd.callProbe(context.Background(), pr)
	gd.mu.Lock()
	defer gd.mu.Unlock()
	pr.finding, pr.finishedAt, pr.finished = finding, gd.now(), true
	if finding != Unanswered {
		time.AfterFunc(probeTTL.Std(), func() { gd.drop(pr) })
	}
}

// callProbe calls Probe with the timeout of a single probe.
func (gd *Guard) callProbe(ctx context.Context, pr *probe) Finding {
	ctx, stop := context.WithTimeout(ctx, probeTimeout.Std())
	defer stop()
	return gd.Probe(ctx, pr.call)
}

// drop removes a finding and returns the requests against which it counted.
func (gd *Guard) drop(pr *probe) []suspect.Marks {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if gd.probes[pr.call.Instance] != pr {
		return nil
	}
	delete(gd.probes, pr.call.Instance)
	return pr.marks
}

// reprobe probes the servers that did not answer again. If the same instance answers,
// it has not crashed, and its crashes are retracted. A late answer shows neither.
func (gd *Guard) reprobe(ctx context.Context) {
	var pending sync.WaitGroup
	for _, pr := range gd.unanswered() {
		pending.Go(func() {
			again := *pr
			again.call.InstanceConfirmed = true // an instance that replaces it now started after the call
			finding := gd.callProbe(ctx, &again)
			undecided := finding == Unanswered || finding == Unclear
			if ctx.Err() != nil || undecided && gd.now() < pr.finishedAt+unansweredTTL {
				return
			}
			for _, ms := range gd.drop(pr) {
				if finding == Alive {
					gd.retract(ms, pr)
				}
			}
		})
	}
	pending.Wait()
}

// unanswered returns the probes of servers that did not answer.
func (gd *Guard) unanswered() []*probe {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	var out []*probe
	for _, pr := range gd.probes {
		if pr.finding == Unanswered {
			out = append(out, pr)
		}
	}
	return out
}

// retract records and broadcasts that the crash of a probed instance proved false.
func (gd *Guard) retract(ms suspect.Marks, pr *probe) {
	en := suspect.Crash{Marks: ms, Server: pr.call.Instance, Age: gd.now() - pr.finishedAt, Retracted: true}
	gd.mu.Lock()
	ch := gd.suspects.Record(gd.now(), en)
	gd.mu.Unlock()
	gd.log(en, "", ch)
	gd.broadcast(en)
}
