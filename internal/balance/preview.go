package balance

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"

	"alderdyke/internal/explain"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

// previewDraws is how many times a preview chooses, each time with other random numbers.
// The part of the draws that a server gets is then within 0.13 of its chance in 95 of 100
// previews.
const previewDraws = 64

type (
	// Candidate is a server of a service in a [Preview].
	Candidate struct {
		Server, Version string
		InFlight        int                // requests of this VM
		Slots           int                // reported, or assumed
		Stated          Load               // the last load that the server stated to this VM
		StatedAge       clock.Millis       // of Stated; meaningless if Stated has no slots
		Pressure        float64            // load per slot by which servers are compared
		Weight          float64            // part of its requests that it gets in its slow start; 1: all
		EjectedFor      clock.Millis       // left of its ejection; zero: it is not ejected
		RestsFor        clock.Millis       // left of its backoff; zero: it is not backing off
		Chance          float64            // part of the draws in which it was chosen
		PassedOver      explain.PassedOver // empty: it is the choice
	}

	// Preview is what Pick would do with a request.
	Preview struct {
		Choice      string  // the server with the highest chance; empty: none
		Refused     float64 // part of the draws in which the request was refused
		Refusal     refusal.Refusal
		Candidates  []Candidate  // by ID
		QueueWait   clock.Millis // expected at the servers
		Busy        float64      // requests per slot, as the servers state
		BusyAge     clock.Millis
		StatesLoads bool // the servers stated their loads recently; otherwise Busy is not known
	}
)

// Preview returns what Pick would do with a request now, and changes nothing: it calls Pick
// on copies. Since Pick draws at random, it does so several times, with random numbers of
// its own. That takes 10 ms for 200 servers (BenchmarkPreview); a caller that holds a lock
// calls it on a CopyOf after releasing that.
func (ch *Chooser) Preview(now clock.Millis, req Request) (pv Preview) {
	chosen := make(map[string]int)
	refused := 0
	for ix := range previewDraws {
		id, err := ch.copyOf(req.Service, uint64(ix)).Pick(now, req)
		if rf, ok := errors.AsType[refusal.Refusal](err); ok {
			pv.Refusal = rf
			refused++
			continue
		}
		chosen[id]++
	}
	pv.Refused = float64(refused) / previewDraws
	cp := ch.copyOf(req.Service, 0)
	svc := cp.services[req.Service]
	if svc == nil {
		return pv
	}
	if now-svc.comparedAt >= compareInterval {
		svc.findOutliers(now, cp.Settings)
	}
	pv.QueueWait = clock.Millis(svc.queue.expectedWait(now))
	pv.StatesLoads = cp.StatesLoad(now, req.Service)
	pv.Busy, pv.BusyAge = svc.demand.busy, now-svc.demand.at
	fit := svc.candidates(now, req)
	for _, srv := range svc.servers {
		ca := srv.candidate(now, cp.Settings)
		ca.Chance = float64(chosen[srv.id]) / previewDraws
		if chosen[srv.id] > chosen[pv.Choice] {
			pv.Choice = srv.id
		}
		ca.PassedOver = srv.passedOver(now, req, slices.Contains(fit, srv))
		pv.Candidates = append(pv.Candidates, ca)
	}
	for ix := range pv.Candidates {
		switch ca := &pv.Candidates[ix]; {
		case ca.Server == pv.Choice:
			ca.PassedOver = ""
		case ca.PassedOver != "":
		case pv.Choice == "":
			ca.PassedOver = explain.NoneChosen
		case pv.Choice == req.Preferred:
			ca.PassedOver = explain.Allocated
		case ca.Chance > 0 || ca.Weight < 1:
			ca.PassedOver = explain.NotDrawn
		default:
			ca.PassedOver = explain.Busier
		}
	}
	return pv
}

// candidate returns the server's figures.
func (srv *server) candidate(now clock.Millis, st Settings) Candidate {
	return Candidate{Server: srv.id, Version: srv.version, InFlight: srv.inFlight, Slots: srv.slots, Stated: srv.stated, StatedAge: now - srv.statedAt,
		Pressure: srv.pressure(now, st), Weight: srv.weight(now, st), EjectedFor: max(0, srv.ejectedUntil-now), RestsFor: max(0, srv.backoffUntil-now)}
}

// passedOver returns why a server is not among those to choose from; empty if it is, as
// fits states.
func (srv *server) passedOver(now clock.Millis, req Request, fits bool) explain.PassedOver {
	switch {
	case fits:
		return ""
	case srv.isBackingOff(now):
		return explain.Resting
	case req.Version != "" && srv.version != req.Version:
		return explain.OtherVersion
	case srv.isEjected(now):
		return explain.Ejected
	case srv.replaced:
		return explain.Replaced
	default:
		return explain.Unavailable
	}
}

// CopyOf returns a chooser with the same state of one service, whose calls change nothing
// at this one.
func (ch *Chooser) CopyOf(service string) *Chooser { return ch.copyOf(service, 0) }

// copyOf returns a chooser with the same state of one service, whose calls change nothing
// at this one and draw random numbers of their own.
func (ch *Chooser) copyOf(name string, seed uint64) *Chooser {
	out := &Chooser{Rand: rand.New(rand.NewPCG(1, seed)), Settings: ch.Settings, vms: ch.vms}
	out.prepare()
	old := ch.services[name]
	if old == nil {
		return out
	}
	svc := *old
	svc.servers = make([]*server, 0, len(old.servers))
	for _, srv := range old.servers {
		copied := *srv
		out.servers[srv.id] = &copied
		svc.servers = append(svc.servers, &copied)
	}
	svc.customers = make(map[string]*customer, len(old.customers))
	for customer, cu := range old.customers {
		copied := *cu
		svc.customers[customer] = &copied
	}
	svc.senders.counts = maps.Clone(old.senders.counts)
	out.services[name] = &svc
	return out
}

// AllocatorPreview is what an allocator would choose, and what it knows of the servers.
type AllocatorPreview struct {
	Allocation Allocation
	Known      bool // otherwise it knows too little, and the VM that asks chooses
	Servers    map[string]AllocatorServer
}

// AllocatorServer is what an allocator knows of one server.
type AllocatorServer struct {
	Assigned int          // requests of all VMs that it has assigned and that have not ended
	Load     float64      // with those that VMs sent by themselves
	Slots    int          // zero: not known
	Pace     int          // service time relative to the usual one, which is 100; zero: not stated
	Age      clock.Millis // of the last stated load; meaningless without slots
}

// Preview returns what Choose would answer now, and changes nothing: it calls Choose on a
// copy, with random numbers of its own.
func (al *Allocator) Preview(now clock.Millis, ask Ask) AllocatorPreview {
	cp := al.copyOf(ask.Service)
	pv := AllocatorPreview{Servers: make(map[string]AllocatorServer)}
	ask.Number = 0 // nothing is assigned
	pv.Allocation, pv.Known = cp.Choose(now, ask)
	for _, srv := range cp.byService[ask.Service] {
		pv.Servers[srv.id] = AllocatorServer{Assigned: srv.count(now), Load: srv.load(now), Slots: srv.slots, Pace: srv.pace, Age: now - srv.loadAt}
	}
	return pv
}

// copyOf returns an allocator with the same state of one service, whose calls change
// nothing at this one and draw random numbers of their own.
func (al *Allocator) copyOf(service string) *Allocator {
	out := *al
	out.Rand = rand.New(rand.NewPCG(1, 1))
	out.servers, out.byService = make(map[string]*allocated), make(map[string][]*allocated)
	for _, srv := range al.byService[service] {
		copied := *srv
		copied.assigned = slices.Clone(srv.assigned)
		out.servers[srv.id] = &copied
		out.byService[service] = append(out.byService[service], &copied)
	}
	return &out
}
