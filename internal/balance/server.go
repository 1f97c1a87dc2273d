package balance

import (
	"math"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
)

const (
	// reportGain is the weight of a new report against earlier ones in the smoothed
	// load. The load one second ago says little about the load now. The load over many
	// seconds reveals a slow server, or one that is used more by other VMs.
	reportGain = 0.1
	// recentGain is the same for the sum over all servers, in which random variation
	// evens out.
	recentGain = 0.5
	// An outlier is a server whose smoothed load exceeds the mean by this many
	// standard deviations of a Poisson distribution plus this many requests.
	outlierDeviations = 2
	outlierRequests   = 1
	// compareInterval is how often servers are compared without a new report.
	compareInterval = clock.Second
)

// server is this VM's state for one backend server.
type server struct {
	id, service string
	version     string // of its software
	address     string
	replaced    bool // another server answered at the address
	unavailable bool // leaving, or no longer listed
	inFlight    int  // requests of this VM

	stated   Load         // the last load that the server stated with an answer
	statedAt clock.Millis // when that was

	slots        int
	reportedAt   clock.Millis
	load         float64 // reported load, smoothed over many reports
	recent       float64 // reported load, smoothed over a few reports
	excess       float64 // load beyond that of the others and random variation
	busyUntil    clock.Millis
	backoffUntil clock.Millis // requested by the server; zero: not requested

	// At the time of the last report.
	inFlightAtReport, freeAtReport int

	rampingUp  bool         // in slow start since returnedAt
	returnedAt clock.Millis // last return

	failures     int // consecutive
	ejections    int // consecutive; each lasts longer
	ejectedUntil clock.Millis
	probation    bool // no success since the last ejection
}

// applyReport applies a load report, unless it was applied before.
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

// findOutliers computes the excess of each server, compared to the others per slot, and
// whether the total load exceeds the slots.
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

// hasFreshReport reports whether the last report has not expired.
func (srv *server) hasFreshReport(now clock.Millis, st Settings) bool {
	return srv.reportedAt > 0 && now-srv.reportedAt <= st.ReportStale
}

// pressure returns the value by which servers are compared: the load per slot, where
// the slots of a returning server count little at first. A server that declined a
// request as busy counts as full until its next report.
func (srv *server) pressure(now clock.Millis, st Settings) float64 {
	load := float64(srv.inFlight) + srv.excess
	if now < srv.busyUntil {
		load += float64(srv.slots)
	}
	return load / (float64(srv.slots) * srv.weight(now, st))
}

// weight returns the part of its requests that a returning server gets now.
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

// isEjected reports whether the server is excluded because of its failures: it gets a
// request only if all servers that the request has not tried are ejected or replaced.
func (srv *server) isEjected(now clock.Millis) bool { return now < srv.ejectedUntil }

// failed counts a failure and reports whether the server should be ejected. After an
// ejection the first failure suffices, until the server has answered once. Requests
// that end while the server is ejected are ignored, because they were sent before.
func (srv *server) failed(now clock.Millis, st Settings) bool {
	if srv.isEjected(now) {
		return false
	}
	srv.failures++
	return srv.probation || srv.failures >= st.Failures
}

// eject ejects the server, for a span that doubles with each consecutive ejection up to
// Settings.MaxEjection. A slow start follows.
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

// succeeded resets the consecutive failures. The ejections are forgiven once the server
// has worked for long enough.
func (srv *server) succeeded(now clock.Millis, st Settings) {
	srv.failures, srv.probation = 0, false
	if now-srv.ejectedUntil >= st.ForgiveAfter {
		srv.ejections = 0
	}
}
