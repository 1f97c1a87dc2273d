// Package balance decides, for plain services, to which backend server an entry
// VM sends a request, and whether the customer may send it now.
//
// Each VM decides by itself. Load reports are late and the same for all VMs, so
// all VMs would choose the server with the lowest reported load at once. A
// [Chooser] therefore takes the server with the fewest of its own requests in
// flight, a number that it knows exactly and that differs from VM to VM. Reports
// only count against outliers: servers whose load, smoothed over many reports,
// exceeds that of the others by more than random variation.
//
// A server that fails repeatedly is ejected for a span that grows with each
// ejection, but no more than half of a service's servers are ejected at a time. A
// server that is new, or returns after any absence, gets its part of the requests
// gradually.
//
// A customer's share of a service applies to the whole fleet. Each VM grants its
// part of the share, but at least one request, and lends what is unused.
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
	Success   Result = "Success"   // complete answer, including one that reports an error of the caller
	Failure   Result = "Failure"   // error of the server, or a broken connection
	Timeout   Result = "Timeout"   // no answer in time
	Busy      Result = "Busy"      // declined by the server for lack of capacity
	Gone      Result = "Gone"      // another server answered at its address
	Cancelled Result = "Cancelled" // given up by this VM or the caller; does not reflect on the server
)

// Defaults of the zero fields of [Settings].
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

// minWeight is the part of its requests that a server gets at the beginning of its
// slow start.
const minWeight = 0.1

type (
	// Result is the result of a request.
	Result string

	// Outcome describes how a request ended.
	Outcome struct {
		Customer string // that of the Request
		Result   Result
		Took     clock.Millis
		Load     *Load // reported with the answer; nil: not reported
	}

	// Settings configures a Chooser. A zero field stands for its default.
	Settings struct {
		Failures     int          // consecutive failures that eject a server
		BaseEjection clock.Millis // duration of the first ejection; it doubles for each further one
		MaxEjection  clock.Millis // longest ejection
		ForgiveAfter clock.Millis // time after an ejection's end until the next one is short again
		SlowStart    clock.Millis // from a server's return until it gets its full part
		ReportStale  clock.Millis // age at which a load report expires
		Slots        int          // assumed for a server that reports none
		ActiveSpan   clock.Millis // how long a customer's unused part is reserved after its last request
		PartSlack    float64      // standard deviations by which a customer may exceed its part at this VM
		LendSlack    float64      // standard deviations by which all customers may exceed this VM's part of the slots
		RetryAfter   clock.Millis // for refused requests
	}

	// Request describes a request for which a server is chosen.
	Request struct {
		Service  string
		Customer string
		Share    float64  // the customer's part of the service's slots in the whole fleet, from 0 to 1
		Exclude  []string // servers already tried for the request
		// Unavailable are servers that may not be called now. With any, an earlier Pick
		// chose one of them for the request.
		Unavailable []string
		Version     string // of the server's software; empty: any
		Sender      string // under overload, senders with many requests are refused first; empty: unknown
		// Objective is the time within which the answer is useful. If it is zero, the
		// request waits at servers without a limit.
		Objective clock.Millis
		// Preferred is the server that another VM chose for the request. It is taken if it
		// is among those that this VM would choose from; empty: this VM chooses.
		Preferred string
		// ExpectedWait is the wait at that server as the other VM expects it.
		ExpectedWait clock.Millis
	}

	// Chooser chooses servers for one VM. Set the exported fields before use.
	Chooser struct {
		Rand     *rand.Rand // must be set
		Settings Settings

		vms      int                 // number of serving VMs
		servers  map[string]*server  // by ID
		services map[string]*service // by name
	}

	// service holds the servers and the customers of one plain service.
	service struct {
		servers   []*server // sorted by ID, without leaving ones
		customers map[string]*customer
		inFlight  int // requests of this VM at all servers
		queue     queueEstimate
		demand    demand
		senders   senders

		comparedAt clock.Millis // last call of findOutliers
		overloaded bool         // the reported load exceeds the slots
	}
)

// Update replaces the backend servers, their reports and the number of serving VMs.
// Servers of other roles than [board.Plain] are ignored.
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

// updateServer applies a server's entry and report. A server that appears after the
// first update begins with a slow start.
func (ch *Chooser) updateServer(now clock.Millis, bs board.BackendServer, rep board.LoadReport, first bool) {
	srv := ch.servers[bs.ID]
	if srv == nil {
		srv = &server{id: bs.ID, service: bs.Service, unavailable: !first}
		ch.servers[bs.ID] = srv
	}
	if srv.inFlight == 0 {
		srv.service = bs.Service
	}
	srv.version = bs.Version
	if srv.address != bs.Address {
		srv.address, srv.replaced = bs.Address, false
	}
	// A server that was moved to another service first ends its running requests.
	unavailable := bs.Leaving || rep.Leaving || srv.service != bs.Service
	if srv.unavailable && !unavailable {
		srv.returnedAt = now // slow start
		srv.rampingUp = true
	}
	srv.unavailable = unavailable
	srv.applyReport(rep, ch.Settings)
	if !unavailable {
		svc := ch.service(bs.Service)
		svc.servers = append(svc.servers, srv)
	}
}

// Pick chooses a server and counts the request as in flight there. The error is a
// [refusal.Refusal] with NotRun. A server in Exclude is chosen only if no other is
// left.
func (ch *Chooser) Pick(now clock.Millis, req Request) (string, error) {
	ch.prepare()
	svc := ch.services[req.Service]
	if svc == nil || len(svc.servers) == 0 {
		return "", refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.NoBackend,
			RetryAfter: ch.Settings.RetryAfter, Detail: "no server of the service takes new work"}
	}
	if now-svc.comparedAt >= compareInterval {
		svc.findOutliers(now, ch.Settings) // reports may have expired
	}
	cu := svc.customer(req.Customer)
	cu.recordRequest(now, req.Share, ch.Settings.ActiveSpan)
	if !ch.admits(now, svc, cu) {
		return "", refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.ShareExceeded,
			RetryAfter: ch.Settings.RetryAfter, Detail: "the share of the service is used up and nothing is left to lend"}
	}
	if len(req.Exclude) == 0 && len(req.Unavailable) == 0 && ch.rejectsForQueue(now, svc, req) {
		return "", refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.TargetUnreachable,
			RetryAfter: ch.Settings.RetryAfter, Detail: "the line before the servers is too long"}
	}
	fit := svc.candidates(now, req)
	if len(fit) == 0 {
		return "", refusal.Refusal{Ran: refusal.NotRun, Reason: refusal.NoBackend,
			RetryAfter: ch.BackoffLeft(now, req.Service), Detail: "all servers of the service asked for rest"}
	}
	srv := preferred(fit, req.Preferred)
	if srv == nil {
		srv = ch.choose(now, fit)
	}
	srv.inFlight++
	svc.inFlight++
	cu.addInFlight()
	return srv.id, nil
}

// preferred returns the server with an ID; nil: it is not among them.
func preferred(fit []*server, id string) *server {
	for _, srv := range fit {
		if srv.id == id {
			return srv
		}
	}
	return nil
}

// rejectsForQueue decides at random whether a request is refused because of the queue at
// the servers. Senders with few requests are refused only at a longer queue.
func (ch *Chooser) rejectsForQueue(now clock.Millis, svc *service, req Request) bool {
	svc.senders.add(now, req.Sender)
	wait, waitPart := svc.queue.expectedWait(now), maxWaitPart
	if req.Preferred != "" {
		wait, waitPart = float64(req.ExpectedWait), maxWaitPartKnown
	}
	part := svc.queue.refusalPartFor(wait, req.Objective, waitPart)
	if part > 0 && svc.senders.withinFairShare(now, req.Sender, assumedRefusalPart) {
		part = svc.queue.refusalPartFor(wait, req.Objective, maxWaitPartLight)
	}
	return ch.Rand.Float64() < part
}

// Done ends a request for which Pick chose a server.
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
		srv.stated, srv.statedAt = *out.Load, now
		svc.queue.observe(now, *out.Load, out.Took)
		svc.demand.observe(now, *out.Load)
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

// Unusable lists the servers of a service that this VM does not choose now although they
// are listed: they are ejected, were replaced, or asked for a backoff.
func (ch *Chooser) Unusable(now clock.Millis, service string) []string {
	svc := ch.services[service]
	if svc == nil {
		return nil
	}
	var out []string
	for _, srv := range svc.servers {
		if srv.isEjected(now) || srv.replaced || srv.isBackingOff(now) {
			out = append(out, srv.id)
		}
	}
	return out
}

// BackOff records that a server requested backoff for a span. It gets nothing until
// the span has passed, even if there is no other server.
func (ch *Chooser) BackOff(now clock.Millis, id string, span clock.Millis) {
	if srv := ch.servers[id]; srv != nil {
		srv.backoffUntil = max(srv.backoffUntil, now+span)
	}
}

// BackoffLeft returns the time until the first of a service's servers ends its
// backoff. It is zero if some server is not backing off, or if there is none.
func (ch *Chooser) BackoffLeft(now clock.Millis, service string) clock.Millis {
	svc := ch.services[service]
	if svc == nil || len(svc.servers) == 0 || slices.ContainsFunc(svc.servers, func(srv *server) bool { return !srv.isBackingOff(now) }) {
		return 0
	}
	first := slices.MinFunc(svc.servers, func(sa, sb *server) int { return cmp.Compare(sa.backoffUntil, sb.backoffUntil) })
	return first.backoffUntil - now
}

// choose returns the server under the lowest pressure, a random one among equals. A
// server in slow start is considered only for a part of the requests.
func (ch *Chooser) choose(now clock.Millis, fit []*server) *server {
	eligible := filter(fit, func(srv *server) bool {
		weight := srv.weight(now, ch.Settings)
		return weight == 1 || ch.Rand.Float64() < weight
	})
	if len(eligible) == 0 {
		eligible = fit
	}
	var best *server
	least, ties := math.Inf(1), 0
	for _, srv := range eligible {
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

// candidates lists the servers of the request's version to choose from, without those that
// are backing off or unavailable; the empty version stands for any. It prefers untried
// servers that are neither ejected nor replaced, then any untried ones, then tried ones
// that are neither ejected nor replaced, then all.
func (svc *service) candidates(now clock.Millis, req Request) []*server {
	available := filter(svc.servers, func(srv *server) bool {
		return !srv.isBackingOff(now) && (req.Version == "" || srv.version == req.Version) && !slices.Contains(req.Unavailable, srv.id)
	})
	untried := filter(available, func(srv *server) bool { return !slices.Contains(req.Exclude, srv.id) })
	for _, some := range [][]*server{untried, available} {
		if healthy := filter(some, func(srv *server) bool { return !srv.isEjected(now) && !srv.replaced }); len(healthy) > 0 {
			return healthy
		}
		if len(some) > 0 {
			return some
		}
	}
	return available
}

// filter returns the servers for which wanted returns true, in a new list.
func filter(from []*server, wanted func(*server) bool) []*server {
	out := make([]*server, 0, len(from))
	for _, srv := range from {
		if wanted(srv) {
			out = append(out, srv)
		}
	}
	return out
}

// mayEject reports whether another server may be ejected: at most half are.
func (svc *service) mayEject(now clock.Millis) bool {
	out := 0
	for _, other := range svc.servers {
		if other.isEjected(now) {
			out++
		}
	}
	return 2*(out+1) <= len(svc.servers)
}

// service returns a service, which it creates at the first call.
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
