package balance

import (
	"math"
	"math/rand/v2"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

const (
	// assignmentMargin times the expected answer time is how long an assignment counts
	// without a report of its end: the VM may have been stopped, or the report lost.
	assignmentMargin = 8
	// minAssignmentTTL covers the two network hops and a slow period.
	minAssignmentTTL = 150 * clock.Millis(1)
	// foreignGain is the weight of a new report in the load that this VM did not assign.
	foreignGain = 0.2
	// foreignHalfLife is the time in which that load halves without reports.
	foreignHalfLife = 200 * clock.Millis(1)
	// fullFor is how long a server that declined a request gets no further one if another
	// server is left: the time in which six slots end eight requests of 15 ms.
	fullFor = 20 * clock.Millis(1)
	// maxFailures is how many failures in a row take a server out of the choice while
	// others are left, for 0.5 to 4 s.
	maxFailures = 3
	// paceTTL is how long a stated service time counts, a quarter of the length of a
	// period in which a server is slow.
	paceTTL = 150 * clock.Millis(1)
	// baseGain is the weight of an answer in the usual service time of a server.
	baseGain = 0.02
	// usualPace is the pace of a server that works as usual; paces are bounded, so that a
	// wrong figure neither excludes a server nor attracts all requests to it.
	usualPace = 100
	minPace   = 50
	maxPace   = 500
	// maxBaseRatio bounds the usual service time of a server relative to the others.
	maxBaseRatio = 3
	// informedFor is how long an allocator that receives no reports still chooses: then it
	// doesn't know any more what the servers have.
	informedFor = 500 * clock.Millis(1)
	// warmUp is how long an allocator collects reports before it chooses: the requests
	// that were in flight when it began have then ended or are in the stated loads.
	warmUp = 100 * clock.Millis(1)
	// maxUnreported is how many assignments in a row may end without a report before the
	// allocator takes it that the VMs' reports don't reach it.
	maxUnreported = 8
	// restAfterStart is the gap between asks after which the warm-up begins anew.
	restAfterStart = 2 * clock.Second
)

type (
	// Ask is another VM's request for a server.
	Ask struct {
		VM       string
		Number   uint64 // of the request at that VM, which its Report repeats; zero: none
		Service  string
		Version  string   // of the server's software; empty: any
		Excluded []string // servers that the VM can't use for the request
	}

	// Allocation is the server that was chosen for an Ask.
	Allocation struct {
		Server string
		Wait   clock.Millis // expected until the server starts the request
		Busy   float64      // requests per slot of the service's servers
	}

	// Report tells that a request of a VM has ended at a server.
	Report struct {
		VM     string
		Number uint64 // of the Ask; zero: the VM chose by itself
		Server string
		Took   clock.Millis // time of a complete answer; zero: there was none
		Full   bool         // the server declined the request for lack of capacity
		Failed bool         // the server did not answer it, or with an error
		Load   *Load        // nil: not stated
	}

	// Allocator chooses servers for the requests of all VMs of a fleet. It knows which
	// requests it has sent to each server, from the VMs' reports which of them have ended,
	// and from the loads in those reports what else the servers have. An Allocator does no
	// I/O and is not safe for concurrent use. Set Rand before use.
	Allocator struct {
		Rand      *rand.Rand
		SlowStart clock.Millis // of a server that appears later; zero: DefaultSlowStart

		servers    map[string]*allocated
		byService  map[string][]*allocated // without leaving ones, sorted by ID
		beganAt    clock.Millis            // when the first report or ask came
		reportedAt clock.Millis            // of the last report with a load; zero: none
		unreported int                     // assignments that expired since the last report of one
	}

	// allocated is the allocator's state for one server.
	allocated struct {
		id, service, version string
		slots                int
		listedSlots          int // zero: not listed
		assigned             []assignment
		foreign              float64 // load that was not assigned here, smoothed
		loadAt               clock.Millis
		pace                 int
		paceAt               clock.Millis
		fullUntil            clock.Millis // it declined a request
		silent               bool         // it answered without stating its load
		appearedAt           clock.Millis // zero: it was there from the beginning
		base                 float64      // time of an answer without a queue at the usual pace, in ms; zero: unknown
		baseAnswers          int          // from which base was learned
		failures             int          // in a row
		down                 Silence      // it failed requests in a row
	}

	assignment struct {
		vm     string
		number uint64
		until  clock.Millis
	}

	// Estimate describes what an allocator knows of a service's servers.
	Estimate struct {
		Busy   float64      // requests per slot, of all servers with known slots
		Spread float64      // difference between the highest and the lowest load per slot
		Age    clock.Millis // of the oldest load of a server
	}
)

// Update replaces the list of servers.
func (al *Allocator) Update(now clock.Millis, list []board.BackendServer) {
	old, first := al.servers, len(al.servers) == 0
	al.servers, al.byService = make(map[string]*allocated), make(map[string][]*allocated)
	for _, bs := range list {
		if bs.Role != board.Plain {
			continue
		}
		srv := old[bs.ID]
		if srv == nil {
			srv = &allocated{id: bs.ID}
			if !first {
				srv.appearedAt = now
			}
		}
		srv.service, srv.version, srv.listedSlots = bs.Service, bs.Version, bs.Slots
		al.servers[bs.ID] = srv
		if !bs.Leaving {
			al.byService[bs.Service] = append(al.byService[bs.Service], srv)
		}
	}
}

// Choose chooses a server for a request of a VM and counts the request there until the
// VM reports its end. It returns false if it knows too little of the servers: the VM then
// chooses by itself.
func (al *Allocator) Choose(now clock.Millis, ask Ask) (an Allocation, ok bool) {
	al.begin(now)
	al.expire(now)
	fit := al.candidates(now, ask)
	if len(fit) == 0 || al.reportedAt == 0 || now-al.reportedAt >= informedFor || now-al.beganAt < warmUp {
		return Allocation{}, false
	}
	usual := al.usualBase(ask.Service)
	best := al.cheapest(now, fit, usual)
	wait, es := best.cost(now, usual)[0], al.Estimate(now, ask.Service)
	if ask.Number != 0 {
		ttl := max(minAssignmentTTL, clock.Millis(assignmentMargin*(wait+best.work(now, usual))))
		best.assigned = append(best.assigned, assignment{vm: ask.VM, number: ask.Number, until: now + ttl})
	}
	return Allocation{Server: best.id, Wait: clock.Millis(wait), Busy: es.Busy}, true
}

// candidates lists the servers to choose from. There are none if one of them answers
// without stating its load, because then nothing is known of its requests. A server that
// has not answered yet gets one request, from which its load is learned.
func (al *Allocator) candidates(now clock.Millis, ask Ask) []*allocated {
	var fit, ready []*allocated
	for _, srv := range al.byService[ask.Service] {
		switch {
		case ask.Version != "" && srv.version != ask.Version || slices.Contains(ask.Excluded, srv.id):
		case srv.silent:
			return nil
		case srv.slots > 0 || srv.count(now) == 0:
			fit = append(fit, srv)
		}
	}
	for _, srv := range fit {
		if now >= srv.fullUntil && !srv.down.IsActive(now) && (srv.weight(now, al.SlowStart) == 1 || al.Rand.Float64() < srv.weight(now, al.SlowStart)) {
			ready = append(ready, srv)
		}
	}
	if len(ready) > 0 {
		return ready
	}
	return fit
}

// weight returns the part of its requests that a server gets that appeared lately.
func (srv *allocated) weight(now, slowStart clock.Millis) float64 {
	if srv.appearedAt == 0 {
		return 1
	}
	return min(max(float64(now-srv.appearedAt)/float64(orDefault(slowStart, DefaultSlowStart)), minWeight), 1)
}

// cheapest returns the server with the lowest cost, a random one among equals.
func (al *Allocator) cheapest(now clock.Millis, fit []*allocated, usual float64) (best *allocated) {
	least, ties := [2]float64{math.Inf(1), math.Inf(1)}, 0
	for _, srv := range fit {
		cost := srv.cost(now, usual)
		switch slices.Compare(cost[:], least[:]) {
		case -1:
			best, least, ties = srv, cost, 1
		case 0:
			ties++
			if al.Rand.IntN(ties) == 0 {
				best = srv
			}
		}
	}
	return best
}

// begin starts the warm-up at the first event, and again after a pause in which this VM
// received nothing.
func (al *Allocator) begin(now clock.Millis) {
	if al.beganAt == 0 || al.reportedAt > 0 && now-al.reportedAt >= restAfterStart {
		al.beganAt, al.reportedAt = now, 0
	}
}

// expire removes expired assignments. If many expire in a row, the allocator begins anew.
func (al *Allocator) expire(now clock.Millis) {
	for _, srv := range al.servers {
		before := len(srv.assigned)
		al.unreported += before - srv.count(now)
	}
	if al.unreported >= maxUnreported {
		al.beganAt, al.reportedAt, al.unreported = now, 0, 0
	}
}

// Observe applies a VM's report.
func (al *Allocator) Observe(now clock.Millis, rp Report) {
	al.begin(now)
	srv := al.servers[rp.Server]
	if srv == nil {
		return
	}
	if ix := slices.IndexFunc(srv.assigned, func(as assignment) bool { return rp.Number != 0 && as.vm == rp.VM && as.number == rp.Number }); ix >= 0 {
		srv.assigned = slices.Delete(srv.assigned, ix, ix+1)
		al.unreported = 0
	}
	srv.observeResult(now, rp)
	if rp.Load == nil || rp.Load.Slots <= 0 {
		srv.silent = srv.silent || rp.Took > 0
		return
	}
	srv.silent = false
	al.reportedAt = max(now, 1)
	srv.observe(now, rp)
}

// observeResult applies the result of a request. A server that fails requests at once has
// few of them and would otherwise get all.
func (srv *allocated) observeResult(now clock.Millis, rp Report) {
	switch {
	case rp.Full:
		srv.fullUntil = now + fullFor
	case rp.Took > 0:
		srv.failures, srv.down = 0, Silence{}
	case rp.Failed:
		if srv.failures++; srv.failures >= maxFailures {
			srv.failures = 0
			srv.down.Begin(now)
		}
	}
}

// observe applies the load of a report. The stated load includes the request itself, and
// requests that the VMs have not reported as ended yet.
func (srv *allocated) observe(now clock.Millis, rp Report) {
	srv.slots = rp.Load.Slots
	if srv.listedSlots > 0 {
		srv.slots = min(srv.slots, srv.listedSlots) // more would attract all requests
	}
	beyond := max(0, float64(rp.Load.Running+rp.Load.Waiting)-float64(srv.count(now)+1))
	decayed := srv.foreignLoad(now)
	srv.foreign = decayed + foreignGain*(min(beyond, float64(srv.slots))-decayed)
	srv.loadAt = now
	pace := usualPace
	if rp.Load.Pace > 0 {
		pace = min(max(rp.Load.Pace, minPace), maxPace)
		srv.pace, srv.paceAt = pace, now
	}
	if rp.Took > 0 && rp.Load.Waiting == 0 && srv.load(now) < float64(srv.slots) { // it may state no queue and have one
		base := float64(rp.Took) * usualPace / float64(pace)
		// The first answers count equally: one that had to wait must not be the base.
		srv.baseAnswers++
		srv.base += max(baseGain, 1/float64(srv.baseAnswers)) * (base - srv.base)
	}
}

// count returns the number of assigned requests that have not ended, and removes expired
// ones.
func (srv *allocated) count(now clock.Millis) int {
	srv.assigned = slices.DeleteFunc(srv.assigned, func(as assignment) bool { return now >= as.until })
	return len(srv.assigned)
}

// foreignLoad returns the load that other VMs chose by themselves.
func (srv *allocated) foreignLoad(now clock.Millis) float64 {
	return srv.foreign * math.Exp2(-float64(now-srv.loadAt)/float64(foreignHalfLife))
}

// load returns the estimated number of requests at the server.
func (srv *allocated) load(now clock.Millis) float64 {
	return float64(srv.count(now)) + srv.foreignLoad(now)
}

// cost returns the expected wait of a further request in ms and, between servers with the
// same wait, the time in which the server works off what it has, per slot. The time of the
// request itself doesn't count: a free slot of a slow server is used before a request
// waits at a faster one, so that no capacity is idle while requests wait.
func (srv *allocated) cost(now clock.Millis, usual float64) [2]float64 {
	if srv.slots == 0 {
		return [2]float64{} // the one request from which its load is learned
	}
	work := srv.work(now, usual)
	load, slots := srv.load(now), float64(srv.slots)
	return [2]float64{work * max(0, load+1-slots) / slots, work * (load + 1) / slots}
}

// work returns the time that the server now takes for a request, in ms.
func (srv *allocated) work(now clock.Millis, usual float64) float64 {
	work := srv.base
	if work == 0 {
		work = usual
	}
	work = min(max(work, usual/maxBaseRatio), usual*maxBaseRatio)
	if srv.paceAt > 0 && now-srv.paceAt < paceTTL {
		work *= float64(srv.pace) / usualPace
	}
	return work
}

// usualBase returns the median of the known service times of a service's servers; without
// any the times cancel out.
func (al *Allocator) usualBase(service string) float64 {
	var known []float64
	for _, srv := range al.byService[service] {
		if srv.base > 0 {
			known = append(known, srv.base)
		}
	}
	if len(known) == 0 {
		return 1
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// Estimate describes what is known of a service's servers; zero: nothing is.
func (al *Allocator) Estimate(now clock.Millis, service string) (es Estimate) {
	var load, slots float64
	lowest, highest := math.Inf(1), 0.0
	for _, srv := range al.byService[service] {
		if srv.slots == 0 {
			continue
		}
		here := srv.load(now)
		part := here / float64(srv.slots)
		lowest, highest = min(lowest, part), max(highest, part)
		load, slots = load+here, slots+float64(srv.slots)
		es.Age = max(es.Age, now-srv.loadAt)
	}
	if slots == 0 {
		return Estimate{}
	}
	es.Busy, es.Spread = load/slots, highest-lowest
	return es
}
