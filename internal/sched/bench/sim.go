package bench

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

// Faults that a run can have.
const (
	NoFault       Fault = ""
	LostWorker    Fault = "LostWorker"    // one decode engine dies, and later one prefill engine
	SlowLink      Fault = "SlowLink"      // one link drops to a fifth of its rate
	LaggingReport Fault = "LaggingReport" // reports arrive 5 s late
	PausedOwner   Fault = "PausedOwner"   // the accounting VM pauses for 3 s
	DeadOwner     Fault = "DeadOwner"     // the accounting VM dies and another one takes over
)

// Policies that a run can use.
const (
	Cell       Policy = "Cell"       // package sched on one accounting VM
	Shares     Policy = "Shares"     // a share of the slots for each VM, with borrowing
	Optimistic Policy = "Optimistic" // power of two choices from lagging reports, waiting while no slot is reported free
	RoundRobin Policy = "RoundRobin" // baseline
	LeastLoad  Policy = "LeastLoad"  // baseline: least reported load
	TwoChoices Policy = "TwoChoices" // baseline: the less loaded of two random engines
	Oracle     Policy = "Oracle"     // upper bound: decides from the true state without delay, including output lengths
)

const (
	defaultSpan        = 120_000.0 // milliseconds of arrivals
	warmUp             = 20_000.0  // milliseconds at the start that are not measured
	drainTime          = 400_000.0 // milliseconds after the arrivals by which every request must have ended
	faultAt            = 60_000.0  // milliseconds since the start
	secondFaultAt      = 75_000.0
	slowFactor         = 0.2    // share of its rate that a slow link keeps
	laggingReportDelay = 5000.0 // milliseconds
	pauseTime          = 3000.0 // milliseconds
	takeoverTime       = 3000.0 // milliseconds from the death of the accounting VM to its successor's first step
	detectionTime      = 250.0  // milliseconds until the other VMs detect that the accounting VM does not answer
	lossDetectionTime  = 30.0   // milliseconds until a broken connection to an engine is detected
	listUpdateDelay    = 1000.0 // milliseconds until the list of backend servers omits a failed engine
)

type (
	// Fault is a fault injected into a run.
	Fault string

	// Policy is a scheduling policy.
	Policy string

	// Setup configures one run.
	Setup struct {
		Deployment  Deployment
		Load        float64 // offered load as a multiple of the capacity
		Policy      Policy
		Fault       Fault
		Seed        uint64
		Span        clock.Millis // duration of the arrivals; zero means 120 s
		MeasureFrom clock.Millis // earlier arrivals are not measured; zero means 20 s
		FloodFactor float64      // multiplies the first customer's arrivals; zero means 1

		// SecondHalfLoad is the load in the second half of the span; zero means that the
		// load stays the same.
		SecondHalfLoad float64
	}

	// decider is implemented by the policies. All methods with a request, except arrive,
	// are called at the VM that runs it.
	decider interface {
		begin()
		arrive(rq *request)
		prefilled(rq *request)
		importRejected(rq *request)
		decodeStarted(rq *request)
		ended(rq *request)
		attemptLost(rq *request) // an engine failed, or the KV cache expired
		report(vm int, ld board.LoadReport)
		serversChanged()
	}

	timer struct {
		at  float64
		seq int
		fn  func()
	}

	timers []*timer

	sim struct {
		Setup
		now           float64
		seq           int
		queue         timers
		rng           *rand.Rand
		prefills      []*prefillEngine
		decodes       []*decodeEngine
		byID          map[string]any
		aliveByRole   map[board.Role][]string // cache of aliveEngines, cleared when an engine dies
		prefillJobs   map[*request]*prefillJob
		policy        decider
		requests      []*request
		messages      int     // between VMs
		ended         int     // number of requests that have ended
		lag           float64 // current age of load reports on arrival, in milliseconds
		span          float64
		measureFrom   float64
		occupiedSlots float64 // sum over the samples of the measured time
		sampledSlots  float64
	}
)

// Len implements [heap.Interface].
func (ts timers) Len() int { return len(ts) }

// Less orders by time and then by the order of scheduling.
func (ts timers) Less(ia, ib int) bool {
	if ts[ia].at != ts[ib].at {
		return ts[ia].at < ts[ib].at
	}
	return ts[ia].seq < ts[ib].seq
}

// Swap implements [heap.Interface].
func (ts timers) Swap(ia, ib int) { ts[ia], ts[ib] = ts[ib], ts[ia] }

// Push implements [heap.Interface].
func (ts *timers) Push(val any) { *ts = append(*ts, val.(*timer)) }

// Pop implements [heap.Interface].
func (ts *timers) Pop() any {
	last := (*ts)[len(*ts)-1]
	(*ts)[len(*ts)-1] = nil
	*ts = (*ts)[:len(*ts)-1]
	return last
}

// Run simulates one setup and returns its measurements. For Oracle it runs all variants
// and returns the best result.
func Run(su Setup) Result {
	if su.Policy != Oracle {
		return runVariant(su, oracleVariant{})
	}
	var best Result
	for ix, va := range oracleVariants {
		if rs := runVariant(su, va); ix == 0 || rs.GoodputAll() > best.GoodputAll() {
			best = rs
		}
	}
	return best
}

func runVariant(su Setup, va oracleVariant) Result {
	sm := newSim(su)
	if op, ok := sm.policy.(*oraclePolicy); ok {
		op.oracleVariant = va
	}
	sm.policy.begin()
	sm.scheduleArrivals(0)
	sm.scheduleReports()
	sm.scheduleFault()
	for len(sm.queue) > 0 && sm.queue[0].at < sm.span+drainTime {
		tm := heap.Pop(&sm.queue).(*timer)
		sm.now = tm.at
		tm.fn()
		if sm.now > sm.span && sm.ended == len(sm.requests) {
			break
		}
	}
	return sm.result()
}

// scheduleArrivals schedules the arrival of a request, which schedules the next one.
func (sm *sim) scheduleArrivals(ix int) {
	if ix == len(sm.requests) {
		return
	}
	rq := sm.requests[ix]
	sm.after(rq.arrivedAt-sm.now, func() {
		sm.scheduleArrivals(ix + 1)
		sm.policy.arrive(rq)
	})
}

func newSim(su Setup) *sim {
	sm := &sim{Setup: su, rng: rand.New(rand.NewPCG(su.Seed, 77)), byID: make(map[string]any), aliveByRole: make(map[board.Role][]string),
		prefillJobs: make(map[*request]*prefillJob), lag: reportLag, span: defaultSpan}
	if su.Span > 0 {
		sm.span = float64(su.Span)
	}
	sm.measureFrom = warmUp
	if su.MeasureFrom > 0 {
		sm.measureFrom = float64(su.MeasureFrom)
	}
	dp := su.Deployment
	for ix := range dp.Prefills {
		en := &prefillEngine{sm: sm, id: fmt.Sprintf("prefill-%d", ix), domain: ix % len(dp.Domains)}
		en.link = link{sm: sm, rate: linkRate}
		sm.prefills = append(sm.prefills, en)
		sm.byID[en.id] = en
	}
	for ix := range dp.Decodes {
		de := &decodeEngine{sm: sm, id: fmt.Sprintf("decode-%d", ix), domain: (ix + 2) % len(dp.Domains),
			running: make(map[*request]int)}
		sm.decodes = append(sm.decodes, de)
		sm.byID[de.id] = de
	}
	loads := rand.New(rand.NewPCG(su.Seed, arrivalStream))
	if su.SecondHalfLoad > 0 {
		first := dp.generateRequests(loads, su.Load, sm.span/2, su.FloodFactor)
		for _, rq := range dp.generateRequests(loads, su.SecondHalfLoad, sm.span/2, su.FloodFactor) {
			rq.arrivedAt += sm.span / 2
			rq.id += "s"
			first = append(first, rq)
		}
		sm.requests = first
	} else {
		sm.requests = dp.generateRequests(loads, su.Load, sm.span, su.FloodFactor)
	}
	slices.SortStableFunc(sm.requests, func(ra, rb *request) int { return cmp.Compare(ra.arrivedAt, rb.arrivedAt) })
	sm.policy = newPolicy(sm)
	return sm
}

func newPolicy(sm *sim) decider {
	switch sm.Policy {
	case Cell:
		return &cellPolicy{sm: sm}
	case Oracle:
		return &oraclePolicy{sm: sm}
	case Shares:
		return &sharesPolicy{sm: sm}
	case Optimistic, RoundRobin, LeastLoad, TwoChoices:
		return &localPolicy{sm: sm}
	default:
		panic("bench: no policy named " + string(sm.Policy))
	}
}

func (sm *sim) after(span float64, fn func()) {
	sm.seq++
	heap.Push(&sm.queue, &timer{at: sm.now + span, seq: sm.seq, fn: fn})
}

// vmDomain returns the failure domain of a VM.
func (sm *sim) vmDomain(vm int) int { return vm % len(sm.Deployment.Domains) }

// delay returns the one-way network delay between two failure domains.
func (sm *sim) delay(da, db int) float64 {
	if sm.Policy == Oracle {
		return 0
	}
	if da == db {
		return localDelay
	}
	return sm.Deployment.NetworkDelay
}

// scheduleReports schedules the periodic load reports of each engine to each VM.
func (sm *sim) scheduleReports() {
	each := func(ix int, domain int, load func() board.LoadReport, alive func() bool) {
		var tick func()
		tick = func() {
			if !alive() || sm.now > sm.span+drainTime/2 {
				return
			}
			ld := load()
			for vm := range sm.Deployment.VMs {
				sm.after(sm.lag+sm.delay(domain, sm.vmDomain(vm)), func() {
					ld.At = clock.Millis(sm.now)
					sm.policy.report(vm, ld)
				})
			}
			sm.after(reportInterval, tick)
		}
		sm.after(float64(ix)*17, tick)
	}
	for ix, en := range sm.prefills {
		each(ix, en.domain, en.load, func() bool { return !en.dead })
	}
	for ix, de := range sm.decodes {
		each(ix+len(sm.prefills), de.domain, de.load, func() bool { return !de.dead })
		sm.sampleOccupancy(de)
	}
}

// sampleOccupancy samples the used slots of a decode engine during the measured time.
func (sm *sim) sampleOccupancy(de *decodeEngine) {
	sm.after(100, func() {
		if sm.now >= sm.measureFrom && sm.now < sm.span && !de.dead {
			sm.occupiedSlots += float64(len(de.running))
			sm.sampledSlots += decodeSlots
		}
		if sm.now < sm.span {
			sm.sampleOccupancy(de)
		}
	})
}

func (sm *sim) scheduleFault() {
	switch sm.Fault {
	case LostWorker:
		sm.after(faultAt, func() { sm.killDecode(sm.decodes[0]) })
		sm.after(secondFaultAt, func() { sm.killPrefill(sm.prefills[0]) })
	case SlowLink:
		sm.after(faultAt, func() { sm.prefills[1].link.setRate(linkRate * slowFactor) })
	case LaggingReport:
		sm.after(faultAt, func() { sm.lag = laggingReportDelay })
	case PausedOwner, DeadOwner:
		if cp, ok := sm.policy.(*cellPolicy); ok {
			sm.after(faultAt, cp.failAccountingVM)
		}
		if sp, ok := sm.policy.(*sharesPolicy); ok {
			sm.after(faultAt, sp.failVM)
		}
	}
}

// killDecode fails a decode engine. Its requests lose their attempts once the broken
// connections are detected.
func (sm *sim) killDecode(de *decodeEngine) {
	de.dead = true
	clear(sm.aliveByRole)
	lost := make([]*request, 0, len(de.running))
	for _, rq := range sm.requests {
		if att, ok := de.running[rq]; ok && att == rq.attempt {
			lost = append(lost, rq)
		}
	}
	clear(de.running)
	for _, rq := range lost {
		sm.notifyVM(rq, de.domain, func() { sm.policy.attemptLost(rq) }, lossDetectionTime)
	}
	sm.after(listUpdateDelay, sm.policy.serversChanged)
}

func (sm *sim) killPrefill(en *prefillEngine) {
	en.kill()
	clear(sm.aliveByRole)
	sm.after(listUpdateDelay, sm.policy.serversChanged)
}
