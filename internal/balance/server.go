package balance

import (
	"math"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

const (
	// reportGain is the weight of a new report against those before it. The
	// load of a second ago says little of the load now; that of many seconds
	// tells a slow server, or one that others use more.
	reportGain = 0.1
	// recentGain is the same for the sum over all servers, in which chance
	// evens out.
	recentGain = 0.5
	// A server stands out whose smoothed load is above the mean by this many
	// standard deviations of a Poisson count, and this many requests.
	outlierDeviations = 2
	outlierRequests   = 1
	// compareInterval is how often servers are compared anew without a report.
	compareInterval = clock.Second
)

// server is what this VM knows of one backend server.
type server struct {
	id, service string
	address     string
	replaced    bool // another server answered at the address
	unavailable bool // leaving, or no longer listed
	inFlight    int  // requests of this VM

	slots        int
	reportedAt   clock.Millis
	load         float64 // by the reports, smoothed over many
	recent       float64 // by the reports, smoothed over a few
	excess       float64 // of load over what others have and chance explains
	busyUntil    clock.Millis
	backoffUntil clock.Millis // it asked for rest until then; zero: it did not

	// At the last report.
	inFlightAtReport, freeAtReport int

	rampingUp  bool         // slow start runs from since
	returnedAt clock.Millis // last return

	failures     int // in a row
	ejections    int // in a row, each ends the longer
	ejectedUntil clock.Millis
	probation    bool // no answer yet since the last ejection
}

// applyReport takes a load report once.
func (srv *server) applyReport(rep board.LoadReport, st Settings) {
	if srv.slots == 0 {
		srv.slots = st.Slots
	}
	if rep.Server == "" || rep.At == srv.reportedAt {
		return
	}
	if rep.Slots > 0 {
		srv.slots = rep.Slots
	}
	load := max(rep.Running+rep.Queued, srv.inFlight)
	if srv.hasFreshReport(rep.At, st) {
		srv.load += reportGain * (float64(load) - srv.load)
		srv.recent += recentGain * (float64(load) - srv.recent)
	} else {
		srv.load, srv.recent = float64(load), float64(load)
	}
	srv.reportedAt = rep.At
	srv.busyUntil = 0
	srv.inFlightAtReport = srv.inFlight
	srv.freeAtReport = max(0, srv.slots-load)
}

// findOutliers finds the servers that stand out, for each slot that they have, and
// whether all together have more work than room.
func (svc *service) findOutliers(now clock.Millis, st Settings) {
	svc.comparedAt = now
	var load, recent, slots float64
	for _, srv := range svc.servers {
		if srv.hasFreshReport(now, st) {
			load += srv.load
			recent += srv.recent
			slots += float64(srv.slots)
		}
	}
	svc.overloaded = recent > slots
	for _, srv := range svc.servers {
		srv.excess = 0
		if srv.hasFreshReport(now, st) {
			usual := load / slots * float64(srv.slots)
			srv.excess = max(0, srv.load-usual-outlierDeviations*math.Sqrt(usual)-outlierRequests)
		}
	}
}

// hasFreshReport tells whether the last report still says something.
func (srv *server) hasFreshReport(now clock.Millis, st Settings) bool {
	return srv.reportedAt > 0 && now-srv.reportedAt <= st.ReportStale
}

// pressure compares servers: requests in flight for each slot, the slots of a
// returning server counting little at first. One that said that it is busy
// counts as full until it reports again.
func (srv *server) pressure(now clock.Millis, st Settings) float64 {
	load := float64(srv.inFlight) + srv.excess
	if now < srv.busyUntil {
		load += float64(srv.slots)
	}
	return load / (float64(srv.slots) * srv.weight(now, st))
}

// weight is the part of its requests that the server gets, as it returns.
func (srv *server) weight(now clock.Millis, st Settings) float64 {
	if !srv.rampingUp {
		return 1
	}
	part := float64(now-srv.returnedAt) / float64(st.SlowStart)
	return min(max(part, minWeight), 1)
}

func (srv *server) isBackingOff(now clock.Millis) bool {
	return srv.backoffUntil != 0 && now < srv.backoffUntil
}

func (srv *server) ejected(now clock.Millis) bool { return now < srv.ejectedUntil }

// failed counts a failure and tells whether it ejects the server, if it may be.
// After an ejection the first failure does, until the server has answered
// once. Requests that end while the server is ejected say nothing new.
func (srv *server) failed(now clock.Millis, st Settings) bool {
	if srv.ejected(now) {
		return false
	}
	srv.failures++
	return srv.probation || srv.failures >= st.Failures
}

func (srv *server) eject(now clock.Millis, st Settings) {
	span := st.BaseEjection
	for range srv.ejections {
		span = min(2*span, st.MaxEjection)
	}
	srv.ejections++
	srv.failures, srv.probation = 0, true
	srv.ejectedUntil = now + span
	srv.rampingUp, srv.returnedAt = true, srv.ejectedUntil
}

// succeeded ends a row of failures. Ejections are forgiven when the server
// has done well for long enough.
func (srv *server) succeeded(now clock.Millis, st Settings) {
	srv.failures, srv.probation = 0, false
	if now-srv.ejectedUntil >= st.ForgiveAfter {
		srv.ejections = 0
	}
}
