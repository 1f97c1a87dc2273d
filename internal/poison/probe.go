package poison

import (
	"context"
	"sync"
	"time"

	"alderdyke/internal/suspect"
	"alderdyke/pkg/clock"
)

const (
	// probeWait is how long a request whose answer broke off waits to learn whether its
	// server has ended: a connection is refused within two crossings of a failure
	// domain, 3 ms. What is learned later counts all the same.
	probeWait = 30 * clock.Millis(1)
	// probeTimeout bounds the question itself.
	probeTimeout = clock.Second
	// probeTTL is how long a finding holds for all calls that broke off there.
	probeTTL = 200 * clock.Millis(1)
	// unansweredTTL is for how long a server that answers nothing is asked again.
	unansweredTTL = clock.Minute
)

// probe is the question whether one instance of a server is there.
type probe struct {
	call       Call // the first that broke off
	startedAt  clock.Millis
	done       chan struct{} // closed once it is answered
	finished   bool          // it is answered; guarded by the Guard
	finding    Finding
	finishedAt clock.Millis   // point at which it was answered
	marks      []suspect.Mark // requests that it speaks against; guarded by the Guard
}

// implicates tells whether a finding speaks implicates the request of a call: an instance
// ends once, so that a call which began later was not at its end.
func (pr *probe) implicates(cl Call) bool {
	return pr.finding != Alive && (cl.SentAt == 0 || cl.SentAt <= pr.finishedAt)
}

// probeInstance finds out whether a server that was not about to leave has probeInstance. Calls that
// break off at it in the same moment share one probe.
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

// stale tells whether a finding has to be made anew. That a server answers nothing is
// asked by [Guard.Share] until it does.
func (pr *probe) stale(now clock.Millis) bool {
	return pr.finished && pr.finding != Unanswered && now >= pr.startedAt+probeTTL
}

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

func (gd *Guard) callProbe(ctx context.Context, pr *probe) Finding {
	ctx, stop := context.WithTimeout(ctx, probeTimeout.Std())
	defer stop()
	return gd.Probe(ctx, pr.call)
}

// drop forgets a finding, and returns the requests that it spoke against.
func (gd *Guard) drop(pr *probe) []suspect.Mark {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	if gd.probes[pr.call.Instance] != pr {
		return nil
	}
	delete(gd.probes, pr.call.Instance)
	return pr.marks
}

// reprobe asks the servers that answered nothing once more. Where the same instance
// answers, it has not ended, and its ends are withdrawn.
func (gd *Guard) reprobe(ctx context.Context) {
	var asked sync.WaitGroup
	for _, pr := range gd.unanswered() {
		asked.Go(func() {
			again := *pr
			again.call.InstanceConfirmed = true // what takes its place now came after the call
			finding := gd.callProbe(ctx, &again)
			if ctx.Err() != nil || finding == Unanswered && gd.now() < pr.finishedAt+unansweredTTL {
				return
			}
			for _, mk := range gd.drop(pr) {
				if finding == Alive {
					gd.retract(mk, pr)
				}
			}
		})
	}
	asked.Wait()
}

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

func (gd *Guard) retract(mk suspect.Mark, pr *probe) {
	en := suspect.Crash{Mark: mk, Server: pr.call.Instance, Age: gd.now() - pr.finishedAt, Retracted: true}
	gd.mu.Lock()
	ch := gd.suspects.Record(gd.now(), en)
	gd.mu.Unlock()
	gd.log(en, "", ch)
	gd.broadcast(en)
}
