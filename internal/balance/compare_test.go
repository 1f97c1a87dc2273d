package balance

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gonum.org/v1/gonum/stat"
	"gotest.tools/v3/assert"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// Parameters of the trial: several VMs choose among servers that serve some requests
// concurrently, queue the others, and report their load late.
const (
	trialSlots          = 16
	trialMean           = 80                // mean service time in milliseconds
	trialReportInterval = clock.Second      // between reports
	trialLag            = clock.Millis(200) // of a report
)

type (
	// policy chooses a server for a VM, or -1 to refuse.
	policy interface {
		pick(now clock.Millis, vm int, cu trialCustomer) int
		done(now clock.Millis, vm, srv int, cu trialCustomer)
		report(now clock.Millis, loads []int)
	}

	trialCustomer struct {
		name  string
		load  float64 // offered, as a part of all slots
		share float64
	}

	trial struct {
		rng          *rand.Rand
		vms, servers int
		customers    []trialCustomer
		span         clock.Millis // of arrivals
		slowdown     float64      // how many times slower the first server is
		policy       policy

		running []int
		queues  [][]job
		due     events
		waits   map[string][]float64
		refused map[string]int
	}

	job struct {
		customer trialCustomer
		vm       int
		arrived  clock.Millis
		takes    clock.Millis // service time
	}

	trialEvent struct {
		at  clock.Millis
		seq int // order of events at the same time
		do  func(now clock.Millis)
	}

	// events is a heap of the events to come, the next one first.
	events struct {
		heap []trialEvent
		seq  int // of the last event that was scheduled
	}
)

func (ev *events) Len() int { return len(ev.heap) }
func (ev *events) Less(ix, jx int) bool {
	one, two := ev.heap[ix], ev.heap[jx]
	return cmp.Or(cmp.Compare(one.at, two.at), cmp.Compare(one.seq, two.seq)) < 0
}
func (ev *events) Swap(ix, jx int) { ev.heap[ix], ev.heap[jx] = ev.heap[jx], ev.heap[ix] }
func (ev *events) Push(what any)   { ev.heap = append(ev.heap, what.(trialEvent)) }
func (ev *events) Pop() any {
	last := ev.heap[len(ev.heap)-1]
	ev.heap = ev.heap[:len(ev.heap)-1]
	return last
}

func (tl *trial) schedule(when clock.Millis, do func(now clock.Millis)) {
	tl.due.seq++
	heap.Push(&tl.due, trialEvent{when, tl.due.seq, do})
}

// run offers the load for the span and lets all requests end.
func (tl *trial) run() {
	tl.running, tl.queues = make([]int, tl.servers), make([][]job, tl.servers)
	tl.waits, tl.refused = map[string][]float64{}, map[string]int{}
	for _, cu := range tl.customers {
		tl.schedule(0, func(now clock.Millis) { tl.arrive(now, cu) })
	}
	tl.schedule(0, tl.report)
	for tl.due.Len() > 0 {
		te := heap.Pop(&tl.due).(trialEvent)
		te.do(te.at)
	}
}

// result returns the mean and the 99th percentile of a customer's wait in milliseconds,
// and the part of the customer's requests that was refused.
func (tl *trial) result(customer string) (mean, p99, refused float64) {
	waits := tl.waits[customer]
	slices.Sort(waits)
	all := float64(len(waits) + tl.refused[customer])
	return stat.Mean(waits, nil), stat.Quantile(0.99, stat.Empirical, waits, nil), float64(tl.refused[customer]) / all
}

// arrive generates all requests of a customer in one millisecond, and schedules itself for
// the next one.
func (tl *trial) arrive(now clock.Millis, cu trialCustomer) {
	perMilli := cu.load * (float64(tl.servers) - 1 + 1/tl.slowdown) * trialSlots / trialMean
	for gap := tl.rng.ExpFloat64(); gap < perMilli; gap += tl.rng.ExpFloat64() {
		vm := tl.rng.IntN(tl.vms)
		takes := clock.Millis(tl.rng.ExpFloat64()*trialMean) + 1
		srv := tl.policy.pick(now, vm, cu)
		if srv < 0 {
			tl.refused[cu.name]++
			continue
		}
		if srv == 0 {
			takes = clock.Millis(float64(takes) * tl.slowdown)
		}
		tl.queues[srv] = append(tl.queues[srv], job{cu, vm, now, takes})
		tl.start(now, srv)
	}
	if now < tl.span {
		tl.schedule(now+1, func(now clock.Millis) { tl.arrive(now, cu) })
	}
}

// start starts queued jobs at a server while it has free slots.
func (tl *trial) start(now clock.Millis, srv int) {
	for tl.running[srv] < trialSlots && len(tl.queues[srv]) > 0 {
		jb := tl.queues[srv][0]
		tl.queues[srv] = tl.queues[srv][1:]
		tl.running[srv]++
		tl.waits[jb.customer.name] = append(tl.waits[jb.customer.name], float64(now-jb.arrived))
		tl.schedule(now+jb.takes, func(now clock.Millis) {
			tl.running[srv]--
			tl.policy.done(now, jb.vm, srv, jb.customer)
			tl.start(now, srv)
		})
	}
}

func (tl *trial) report(now clock.Millis) {
	loads := tl.loads()
	tl.schedule(now+trialLag, func(now clock.Millis) { tl.policy.report(now, loads) })
	if now < tl.span {
		tl.schedule(now+trialReportInterval, tl.report)
	}
}

func (tl *trial) loads() []int {
	loads := make([]int, tl.servers)
	for ix := range loads {
		loads[ix] = tl.running[ix] + len(tl.queues[ix])
	}
	return loads
}

type (
	// roundRobin chooses the servers in turn at each VM.
	roundRobin struct {
		servers int
		next    map[int]int
	}

	// leastReported takes the server with the least reported load among a number of
	// random draws, or among all servers if the number is zero.
	leastReported struct {
		rng            *rand.Rand
		servers, draws int
		loads          []int
	}

	// oracle chooses by the present load of the servers.
	oracle struct{ tl *trial }

	// choosers holds the Chooser of each VM.
	choosers struct {
		bk  *board.Backends
		all []*Chooser
		ix  map[string]int
	}
)

func (rr *roundRobin) pick(_ clock.Millis, vm int, _ trialCustomer) int {
	rr.next[vm]++
	return (rr.next[vm] + vm) % rr.servers
}
func (rr *roundRobin) done(clock.Millis, int, int, trialCustomer) {}
func (rr *roundRobin) report(clock.Millis, []int)                 {}

func (lr *leastReported) pick(clock.Millis, int, trialCustomer) int {
	from := lr.rng.Perm(lr.servers)
	if lr.draws > 0 {
		from = from[:lr.draws]
	}
	if lr.loads == nil {
		return from[0]
	}
	return slices.MinFunc(from, func(one, two int) int { return cmp.Compare(lr.loads[one], lr.loads[two]) })
}
func (lr *leastReported) done(clock.Millis, int, int, trialCustomer) {}
func (lr *leastReported) report(_ clock.Millis, loads []int)         { lr.loads = loads }

func (or oracle) pick(clock.Millis, int, trialCustomer) int {
	loads := or.tl.loads()
	return slices.Index(loads, slices.Min(loads))
}
func (or oracle) done(clock.Millis, int, int, trialCustomer) {}
func (or oracle) report(clock.Millis, []int)                 {}

func newChoosers(seed uint64, vms, servers int) *choosers {
	cs := &choosers{bk: backends(servers, trialSlots), ix: map[string]int{}}
	for ix, srv := range cs.bk.Servers {
		cs.ix[srv.ID] = ix
	}
	for ix := range vms {
		ch := chooser(seed + uint64(ix))
		ch.Update(1, cs.bk, vms)
		cs.all = append(cs.all, ch)
	}
	return cs
}

func (cs *choosers) pick(now clock.Millis, vm int, cu trialCustomer) int {
	id, err := cs.all[vm].Pick(now, Request{Service: svcName, Customer: cu.name, Share: cu.share})
	if err != nil {
		return -1
	}
	return cs.ix[id]
}

func (cs *choosers) done(now clock.Millis, vm, srv int, cu trialCustomer) {
	cs.all[vm].Done(now, cs.bk.Servers[srv].ID, Outcome{Customer: cu.name, Result: Success})
}

func (cs *choosers) report(now clock.Millis, loads []int) {
	for ix, srv := range cs.bk.Servers {
		cs.bk.Reports[srv.ID] = board.LoadReport{Server: srv.ID, At: now, Slots: trialSlots,
			Running: min(loads[ix], trialSlots), Queued: max(0, loads[ix]-trialSlots)}
	}
	for _, ch := range cs.all {
		ch.Update(now, cs.bk, len(cs.all))
	}
}

const (
	polRoundRobin    = "round robin"
	polLeastReported = "least reported"
	polTwoByReport   = "two by report"
	polChooser       = "chooser"
	polOracle        = "oracle"
)

// newTrial returns a trial with the policy of the given name and without customers.
func newTrial(name string, seed uint64, vms, servers int) *trial {
	tl := &trial{rng: rand.New(rand.NewPCG(seed, 7)), vms: vms, servers: servers, slowdown: 1, span: clock.Minute}
	draw := rand.New(rand.NewPCG(seed, 8))
	switch name {
	case polRoundRobin:
		tl.policy = &roundRobin{servers: servers, next: map[int]int{}}
	case polLeastReported:
		tl.policy = &leastReported{rng: draw, servers: servers}
	case polTwoByReport:
		tl.policy = &leastReported{rng: draw, servers: servers, draws: 2}
	case polChooser:
		tl.policy = newChoosers(seed, vms, servers)
	case polOracle:
		tl.policy = oracle{tl}
	}
	return tl
}

// trialConfig is one configuration of the trial.
type trialConfig struct {
	vms, servers int
	load, slow   float64
	ratio        map[string]float64 // largest ratio of the chooser's mean wait to that of each policy
}

// The mean wait with the Chooser stays within given ratios of the mean waits with simpler
// policies for the same requests, both with a few VMs and with many VMs that get few
// requests each. The ratios hold for each seed.
func TestComparePolicies(t *testing.T) {
	for _, sh := range []trialConfig{
		{6, 8, 0.8, 1, map[string]float64{polRoundRobin: 0.2, polLeastReported: 0.01, polTwoByReport: 0.01}},
		{6, 8, 0.9, 1, map[string]float64{polRoundRobin: 0.3, polLeastReported: 0.01, polTwoByReport: 0.03}},
		{6, 8, 0.8, 3, map[string]float64{polRoundRobin: 0.01, polLeastReported: 0.01, polTwoByReport: 0.02}},
		{96, 24, 0.8, 1, map[string]float64{polRoundRobin: 1.1, polLeastReported: 0.02, polTwoByReport: 0.1}},
		{96, 24, 0.8, 3, map[string]float64{polRoundRobin: 0.05, polLeastReported: 0.02, polTwoByReport: 0.2}},
	} {
		for _, seed := range []uint64{1, 2} {
			t.Run(fmt.Sprintf("VMs %d servers %d load %.1f slow %.0f seed %d", sh.vms, sh.servers, sh.load, sh.slow, seed), func(t *testing.T) {
				t.Parallel()
				compare(t, sh, seed)
			})
		}
	}
}

func compare(t *testing.T, sh trialConfig, seed uint64) {
	mean := map[string]float64{}
	for _, name := range []string{polRoundRobin, polLeastReported, polTwoByReport, polChooser, polOracle} {
		tl := newTrial(name, seed, sh.vms, sh.servers)
		tl.slowdown = sh.slow
		tl.span = clock.Minute / 2 / clock.Millis(sh.vms/48+1)
		tl.customers = []trialCustomer{{"cu", sh.load, 1}}
		tl.run()
		var p99, refused float64
		mean[name], p99, refused = tl.result("cu")
		t.Logf("%-14s: wait mean %6.1f ms, p99 %5.0f ms, refused %.2f%%", name, mean[name], p99, 100*refused)
		assert.Check(t, refused < 0.005, "%f refused", refused)
	}
	for name, ratio := range sh.ratio {
		assert.Check(t, mean[polChooser] <= ratio*mean[name], "mean wait: chooser %.2f, %s %.2f", mean[polChooser], name, mean[name])
	}
}

// One customer sends three times as many requests as there is capacity for. Of the other
// one, within its share, the Chooser refuses less than 0.5 %, and they wait on average at
// most a fifth of the mean service time.
func TestFloodOfOneCustomer(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		for _, name := range []string{polRoundRobin, polChooser} {
			t.Run(fmt.Sprintf("%s seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				flood(t, name, seed)
			})
		}
	}
}

func flood(t *testing.T, name string, seed uint64) {
	tl := newTrial(name, seed, 6, 8)
	tl.customers = []trialCustomer{{"steady", 0.3, 0.5}, {"flood", 3, 0.5}}
	tl.run()
	mean, p99, refused := tl.result("steady")
	_, _, floodRefused := tl.result("flood")
	t.Logf("steady waits mean %.1f ms, p99 %.0f ms, refused %.2f%%; flood refused %.1f%%",
		mean, p99, 100*refused, 100*floodRefused)
	if name == polChooser {
		assert.Check(t, refused < 0.005, "%f refused", refused)
		assert.Check(t, mean <= 0.2*trialMean, "mean wait %f", mean)
		assert.Check(t, p99 <= trialMean, "p99 of wait %f", p99)
		// The flood offers three times all slots and gets those that steady leaves, so 0.77 of it is refused.
		assert.Check(t, floodRefused > 0.7 && floodRefused < 0.8, "flood refused %f", floodRefused)
	}
}
