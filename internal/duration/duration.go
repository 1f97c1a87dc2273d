// Package duration tracks how long recent requests took, by route.
//
// It answers whether a new request is likely to end within a given time. Requests
// that are still open count with the time that they have taken so far, so that a
// service that has just become slow is noticed before its first answer.
//
// # Usage
//
//	var tr duration.Tracker
//	rq := tr.Begin(now, "route")
//	...
//	tr.End(now, rq)
//	if st, ok := tr.Recent(now, "route"); ok {
//		use(st.Longest, st.Mean)
//	}
//
// A Tracker does no I/O and is not safe for concurrent use. The zero value is ready to
// use.
package duration

import "alderdyke/pkg/clock"

// DefaultWindow is the default of [Tracker.Window]. It is long enough for routes with
// few requests, and short enough that a disruption is soon forgotten.
const DefaultWindow = 30 * clock.Second

type (
	// Tracker holds the durations of the requests of the last one to two windows.
	Tracker struct {
		Window clock.Millis // zero means DefaultWindow

		routes map[string]*series
		lastID uint64
	}

	// Stats summarizes recent durations.
	Stats struct {
		Longest clock.Millis
		Mean    clock.Millis
	}

	// Request identifies an open request.
	Request struct {
		route string
		id    uint64
	}

	// series holds the durations of one route.
	series struct {
		began             clock.Millis // start of the current window
		current, previous window
		open              map[uint64]clock.Millis // when open requests began, by Request.id
	}

	window struct {
		longest, sum clock.Millis
		count        int
	}
)

// Begin records that a request of the route began.
func (tr *Tracker) Begin(now clock.Millis, route string) Request {
	se := tr.routes[route]
	if se == nil {
		tr.evict(now)
		se = &series{began: now, open: make(map[uint64]clock.Millis)}
		tr.routes[route] = se
	}
	tr.lastID++
	se.open[tr.lastID] = now
	return Request{route: route, id: tr.lastID}
}

// End records that a request ended and counts its duration.
func (tr *Tracker) End(now clock.Millis, rq Request) {
	se := tr.routes[rq.route] // kept while a request is open
	se.advance(now, tr.window())
	se.current = se.current.with(now - se.open[rq.id])
	delete(se.open, rq.id)
}

// Discard records that a request ended with an outcome that says nothing of how long
// its route's requests take.
func (tr *Tracker) Discard(rq Request) { delete(tr.routes[rq.route].open, rq.id) }

// Recent summarizes the durations of a route's recent and open requests. It reports false
// if no request ended recently.
func (tr *Tracker) Recent(now clock.Millis, route string) (st Stats, ok bool) {
	se := tr.routes[route]
	if se == nil {
		return Stats{}, false
	}
	se.advance(now, tr.window())
	total := window{longest: max(se.current.longest, se.previous.longest),
		sum: se.current.sum + se.previous.sum, count: se.current.count + se.previous.count}
	if total.count == 0 {
		return Stats{}, false
	}
	mean := total.sum / clock.Millis(total.count)
	for _, began := range se.open {
		if took := now - began; took > mean {
			total = total.with(took)
		}
	}
	return Stats{Longest: total.longest, Mean: total.sum / clock.Millis(total.count)}, true
}

// evict removes the routes without open or recent requests, so that routes that are no
// longer configured take no memory.
func (tr *Tracker) evict(now clock.Millis) {
	if tr.routes == nil {
		tr.routes = make(map[string]*series)
	}
	for route, se := range tr.routes {
		se.advance(now, tr.window())
		if len(se.open) == 0 && se.current.count+se.previous.count == 0 {
			delete(tr.routes, route)
		}
	}
}

func (tr *Tracker) window() clock.Millis {
	if tr.Window == 0 {
		return DefaultWindow
	}
	return tr.Window
}

// advance begins a new window if the current one is over.
func (se *series) advance(now, length clock.Millis) {
	switch passed := now - se.began; {
	case passed < length:
		return
	case passed < 2*length:
		se.previous = se.current
	default:
		se.previous = window{}
	}
	se.began, se.current = now, window{}
}

func (wn window) with(took clock.Millis) window {
	return window{longest: max(wn.longest, took), sum: wn.sum + took, count: wn.count + 1}
}
