// Package balance decides, for plain services, which backend server an entry
// VM sends a request to, and whether the customer may send it now.
//
// Each VM decides by itself. Load reports are the same for all VMs and late,
// so the least loaded server by report would be chosen by all at once. A
// [Chooser] takes the server with the fewest of its own requests in flight,
// which it knows exactly and no other VM shares. Reports only count against
// a server that stands out: whose load, smoothed over many reports, is above
// the others' by more than chance explains.
//
// A server that fails again and again is ejected for a span that grows, but
// never more than half of a service's servers are. A server that returns, by
// any way, gets its part of the requests little by little.
//
// A customer's share of a service holds for the whole fleet. Each VM gives
// out its part of it, one request at least, and lends what is unused.
//
// # Usage
//
//	ch := &balance.Chooser{Rand: rand.New(rand.NewPCG(1, 2))}
//	ch.Update(now, board.Backends(), len(fleet.Serving()))
//	server, err := ch.Pick(now, balance.Request{Service: "feltapp", Customer: "kedelsyn", Share: 0.5})
//	... // err is a refusal.Refusal
//	ch.Done(now, server, balance.Outcome{Customer: "kedelsyn", Result: balance.Success})
//
// Every successful Pick is followed by exactly one Done. A Chooser does no
// I/O and is not safe for concurrent use.
package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// Results of a request that was sent to a server.
const (
	Success   Result = "Success"   // whole answer, also one that says the caller was wrong
	Failure   Result = "Failure"   // error of the server, or a broken connection
	Timeout   Result = "Timeout"   // no answer in time
	Busy      Result = "Busy"      // the server itself said that it has no room
	Gone      Result = "Gone"      // another server answered at its address
	Cancelled Result = "Cancelled" // given up from this side; says nothing of the server
)

// What the zero value of a field of [Settings] stands for.
const (
	DefaultFailures     = 5
	DefaultBaseEjection = 5 * clock.Second
	DefaultMaxEjection  = 5 * clock.Minute
	DefaultForgiveAfter = 2 * clock.Minute
	DefaultSlowStart    = 10 * clock.Second
	DefaultReportStale  = 5 * clock.Second
	DefaultSlots        = 16
	DefaultActiveSpan   = clock.Second
	DefaultPartSlack    = 2.0
	DefaultLendSlack    = 3.0
	DefaultRetryAfter   = clock.Second
)

// minWeight is the part of its requests that a server gets at the begin of
// its slow start.
const minWeight = 0.1

type (
	// Result of a request.
	Result string

	// Outcome tells how a request ended.
	Outcome struct {
		Customer string // the one of the Ask
		Result   Result
		Took     clock.Millis
		Load     *Load // what the server told of itself; nil: nothing
	}

	// Settings of a Chooser. A zero field stands for its default.
	Settings struct {
		Failures     int          // failures in a row that eject a server
		BaseEjection clock.Millis // first ejection; the next ones double
		MaxEjection  clock.Millis // longest ejection
		ForgiveAfter clock.Millis // time since an ejection's end after which the next is short again
		SlowStart    clock.Millis // from a server's return to its full part
		ReportStale  clock.Millis // age after which a load report says nothing
		Slots        int          // room of a server that reports none
		ActiveSpan   clock.Millis // how long a customer's unused part is held back after its last request
		PartSlack    float64      // standard deviations by which a customer may exceed its part at this VM
		LendSlack    float64      // standard deviations by which all may exceed this VM's part of the room
		RetryAfter   clock.Millis // told to a customer whose share is used up
	}

	// Request is all that a choice needs.
	Request struct {
		Service  string
		Customer string
		Share    float64  // part of the service's room in the whole fleet, from 0 to 1
		Exclude  []string // servers already tried for the request
		Sender   string   // whose requests are refused by how many there are while not all can be served; empty: nobody's
		// Objective is the time within which the answer is of most use; zero: the
		// request waits at servers for as long as it has to.
		Objective clock.Millis
	}

	// Chooser chooses for one VM. Set the exported fields before use.
	Chooser struct {
		Rand     *rand.Rand // must be set
		Settings Settings

		vms      int
		servers  map[string]*server
		services map[string]*service
	}

	// service is the servers and the customers of one plain service.
	service struct {
		servers   []*server // sorted by ID, leaving ones left out
		customers map[string]*customer
		inFlight  int
		queue     queueEstimate
		senders   senders

		comparedAt clock.Millis
		overloaded bool // by the reports there is more work than room
	}
)

// Update takes the backend servers, their reports and the number of VMs that
// serve. Servers of other roles than [board.Plain] are passed over.
func (ch *Chooser) Update(now clock.Millis, bk *board.Backends, vms int) {
	ch.prepare()
	ch.vms = max(vms, 1)
	first := len(ch.servers) == 0
	for _, svc := range ch.services {
		svc.servers = svc.servers[:0]
		svc.evictIdle(now, ch.Settings.ActiveSpan)
	}
	listed := make(map[string]bool, len(bk.Servers))
	for _, bs := range bk.Servers {
		if bs.Role != board.Plain {
			continue
		}
		listed[bs.ID] = true
		ch.updateServer(now, bs, bk.Reports[bs.ID], first)
	}
	for _, svc := range ch.services {
		svc.findOutliers(now, ch.Settings)
	}
	for id, srv := range ch.servers {
		if !listed[id] {
			srv.unavailable = true
			if srv.inFlight == 0 {
				delete(ch.servers, id)
			}
		}
	}
}

func (ch *Chooser) updateServer(now clock.Millis, bs board.BackendServer, rep board.LoadReport, first bool) {
	srv := ch.servers[bs.ID]
	if srv == nil {
		srv = &server{id: bs.ID, service: bs.Service, unavailable: !first}
		ch.servers[bs.ID] = srv
	}
	if srv.inFlight == 0 {
		srv.service = bs.Service
	}
	if srv.address != bs.Address {
		srv.address, srv.replaced = bs.Address, false
	}
	// A server that was given to another service first ends what it has.
	away := bs.Leaving || rep.Leaving || srv.service != bs.Service
	if srv.unavailable && !away {
		srv.returnedAt = now // slow start
		srv.rampingUp = true
	}
	srv.unavailable = away
	srv.applyReport(rep, ch.Settings)
	if !away {
		svc := ch.service(bs.Service)
		svc.servers = append(svc.servers, srv)
	}
}

// Pick chooses a server and counts the request as in flight on it. The error
// is a [refusal.Refusal] that says NotRun. A server of Exclude is chosen only
// if no other is left.
func (ch *Chooser) Pick(now clock.Millis, req Request) (string, error) {
	ch.prepare()
	svc := ch.services[req.Service]
	if svc == nil || len(svc.servers) == 0 {
		return "", refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.NoBackend,
			RetryAfter: ch.Settings.RetryAfter, Detail: "no server of the service takes new work"}
	}
	if now-svc.comparedAt >= compareInterval {
		svc.findOutliers(now, ch.Settings) // reports may have grown stale
	}
	cu := svc.customer(req.Customer)
	cu.recordRequest(now, req.Share, ch.Settings.ActiveSpan)
	if !ch.admits(now, svc, cu) {
		return "", refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.ShareExceeded,
			RetryAfter: ch.Settings.RetryAfter, Detail: "the share of the service is used up and nothing is left to lend"}
	}
	if len(req.Exclude) == 0 && ch.rejectsForQueue(now, svc, req) {
		return "", refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.TargetUnreachable,
			RetryAfter: ch.Settings.RetryAfter, Detail: "the line before the servers is too long"}
	}
	fit := svc.candidates(now, req.Exclude)
	if len(fit) == 0 {
		return "", refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.NoBackend,
			RetryAfter: ch.BackoffLeft(now, req.Service), Detail: "all servers of the service asked for rest"}
	}
	srv := ch.choose(now, fit)
	srv.inFlight++
	svc.inFlight++
	cu.addInFlight()
	return srv.id, nil
}

// rejectsForQueue decides whether a request is refused for the line before the servers.
func (ch *Chooser) rejectsForQueue(now clock.Millis, svc *service, req Request) bool {
	svc.senders.add(now, req.Sender)
	part := svc.queue.refusalPart(now, req.Objective, maxWaitPart)
	if part > 0 && svc.senders.withinFairShare(now, req.Sender, assumedRefusalPart) {
		part = svc.queue.refusalPart(now, req.Objective, maxWaitPartLight)
	}
	return ch.Rand.Float64() < part
}

// Done ends a request that Pick placed.
func (ch *Chooser) Done(now clock.Millis, id string, out Outcome) {
	srv := ch.servers[id]
	if srv == nil {
		return
	}
	srv.inFlight--
	svc := ch.services[srv.service]
	svc.inFlight--
	if cu := svc.customers[out.Customer]; cu != nil {
		cu.inFlight--
	}
	if out.Load != nil {
		svc.queue.observe(now, *out.Load, out.Took)
	}
	switch out.Result {
	case Success:
		srv.succeeded(now, ch.Settings)
	case Failure, Timeout:
		if srv.failed(now, ch.Settings) && svc.mayEject(now) {
			srv.eject(now, ch.Settings)
		}
	case Busy:
		srv.busyUntil = now + ch.Settings.ReportStale
	case Gone:
		srv.replaced = true
	case Cancelled:
	}
}

// BackOff notes that a server asked for rest for a span: it gets nothing until then, be
// there another one or not.
func (ch *Chooser) BackOff(now clock.Millis, id string, span clock.Millis) {
	if srv := ch.servers[id]; srv != nil {
		srv.backoffUntil = max(srv.backoffUntil, now+span)
	}
}

// BackoffLeft is how long it takes until the first of a service's servers has rested; zero if
// some server does not rest, or there is none.
func (ch *Chooser) BackoffLeft(now clock.Millis, service string) clock.Millis {
	svc := ch.services[service]
	if svc == nil || len(svc.servers) == 0 || slices.ContainsFunc(svc.servers, func(srv *server) bool { return !srv.isBackingOff(now) }) {
		return 0
	}
	first := slices.MinFunc(svc.servers, func(sa, sb *server) int { return cmp.Compare(sa.backoffUntil, sb.backoffUntil) })
	return first.backoffUntil - now
}

// choose takes the server under the least pressure, one of them at random if
// there are several. A returning server stands for choice only now and then.
func (ch *Chooser) choose(now clock.Millis, fit []*server) *server {
	standing := filter(fit, func(srv *server) bool {
		weight := srv.weight(now, ch.Settings)
		return weight == 1 || ch.Rand.Float64() < weight
	})
	if len(standing) == 0 {
		standing = fit
	}
	var best *server
	least, ties := math.Inf(1), 0
	for _, srv := range standing {
		switch pr := srv.pressure(now, ch.Settings); {
		case pr < least:
			best, least, ties = srv, pr, 1
		case pr == least:
			ties++
			if ch.Rand.IntN(ties) == 0 {
				best = srv
			}
		}
	}
	return best
}

// candidates lists the servers to choose from among those that do not rest: those not ejected
// or gone and not tried before, if there are any; else those not tried; else those not
// ejected; else all.
func (svc *service) candidates(now clock.Millis, exclude []string) []*server {
	awake := filter(svc.servers, func(srv *server) bool { return !srv.isBackingOff(now) })
	untried := filter(awake, func(srv *server) bool { return !slices.Contains(exclude, srv.id) })
	for _, some := range [][]*server{untried, awake} {
		if well := filter(some, func(srv *server) bool { return !srv.ejected(now) && !srv.replaced }); len(well) > 0 {
			return well
		}
		if len(some) > 0 {
			return some
		}
	}
	return awake
}

func filter(from []*server, wanted func(*server) bool) []*server {
	out := make([]*server, 0, len(from))
	for _, srv := range from {
		if wanted(srv) {
			out = append(out, srv)
		}
	}
	return out
}

// mayEject tells whether another server may be ejected: at most half are.
func (svc *service) mayEject(now clock.Millis) bool {
	out := 0
	for _, other := range svc.servers {
		if other.ejected(now) {
			out++
		}
	}
	return 2*(out+1) <= len(svc.servers)
}

func (ch *Chooser) service(name string) *service {
	svc := ch.services[name]
	if svc == nil {
		svc = &service{customers: make(map[string]*customer)}
		ch.services[name] = svc
	}
	return svc
}

func (ch *Chooser) prepare() {
	if ch.servers != nil {
		return
	}
	ch.servers = make(map[string]*server)
	ch.services = make(map[string]*service)
	ch.vms = max(ch.vms, 1)
	ch.Settings = ch.Settings.withDefaults()
}

func (st Settings) withDefaults() Settings {
	return Settings{
		Failures:     orDefault(st.Failures, DefaultFailures),
		BaseEjection: orDefault(st.BaseEjection, DefaultBaseEjection),
		MaxEjection:  orDefault(st.MaxEjection, DefaultMaxEjection),
		ForgiveAfter: orDefault(st.ForgiveAfter, DefaultForgiveAfter),
		SlowStart:    orDefault(st.SlowStart, DefaultSlowStart),
		ReportStale:  orDefault(st.ReportStale, DefaultReportStale),
		Slots:        orDefault(st.Slots, DefaultSlots),
		ActiveSpan:   orDefault(st.ActiveSpan, DefaultActiveSpan),
		PartSlack:    orDefault(st.PartSlack, DefaultPartSlack),
		LendSlack:    orDefault(st.LendSlack, DefaultLendSlack),
		RetryAfter:   orDefault(st.RetryAfter, DefaultRetryAfter),
	}
}

func orDefault[T int | float64 | clock.Millis](val, def T) T {
	if val <= 0 {
		return def
	}
	return val
}
