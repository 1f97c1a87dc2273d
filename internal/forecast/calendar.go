package forecast

import (
	"maps"
	"slices"

	"alderdyke/pkg/clock"
)

// Outcomes of the return of a refused caller.
const (
	Early Outcome = "Early" // its reservation is not due yet, or it has none
	Due   Outcome = "Due"
	Late  Outcome = "Late" // all reservations have passed
)

const (
	// beforeTime and afterTime bound when a caller returns in time. Callers wait
	// exactly as long as they are told, so the span covers two network hops and the
	// delivery of the reply.
	beforeTime = 60 * clock.Millis(1)
	afterTime  = 250 * clock.Millis(1)
	// boundFor is how long a request that returned in time counts as due: it is placed
	// or refused before.
	boundFor = 4 * clock.Second
	// bucket is the resolution at which capacity is spread.
	bucket  = 100 * clock.Millis(1)
	buckets = int(Horizon / bucket)
	// priorReturned of priorCallers are assumed to have returned in time before any was
	// observed; maxCallers bounds the weight of the past.
	priorReturned = 8.0
	priorCallers  = 10.0
	maxCallers    = 200.0
	// maxReservations bounds the calendar's memory: more callers than engines could
	// serve within the horizon have no use of a reservation.
	maxReservations = 2048
)

type (
	// Outcome is how a caller's return compares with its reservation.
	Outcome string

	// Turn identifies a request.
	Turn = uint32

	// Calendar holds the reservations of the returning callers of one service. The
	// zero value has none.
	Calendar struct {
		Arrivals

		list     []reservation         // by time
		bound    map[Turn]clock.Millis // requests that returned in time, and until when they count as due
		callers  float64               // whose time has passed
		returned float64               // of them, in time

		expiredAt clock.Millis // when expire last ran; a forecast asks many times at one time
	}

	// reservation is the time at which a refused caller is to return.
	reservation struct {
		turn Turn // of the refused request
		at   clock.Millis
		used bool // a caller returned for it; it is kept so that reports do not restore it
	}

	// Proposal describes a refused request that may return.
	Proposal struct {
		Waiting          int          // requests that are to be placed first
		Size             float64      // in usual requests
		Earliest, Latest clock.Millis // from now; Latest is what its caller honours
		Turn             Turn         // of the request; an earlier reservation of it does not count
	}
)

// Clone returns a calendar with the same reservations and figures, whose calls change
// nothing at this one.
func (ca *Calendar) Clone() Calendar {
	out := *ca
	out.list, out.bound = slices.Clone(ca.list), maps.Clone(ca.bound)
	return out
}

// ObserveNew records a new request.
func (ca *Calendar) ObserveNew(now clock.Millis, priority int) { ca.Observe(now, priority) }

// Book reserves a time for the caller of a refused request. A second booking of the
// request replaces the first, unless its caller has returned. A time beyond the horizon
// is not reserved: none is proposed, and a wrong one would fill the calendar for days.
func (ca *Calendar) Book(now clock.Millis, turn Turn, at clock.Millis) {
	ca.expire(now)
	if ix := slices.IndexFunc(ca.list, func(rs reservation) bool { return rs.turn == turn }); ix >= 0 {
		if ca.list[ix].used {
			return
		}
		ca.list = slices.Delete(ca.list, ix, ix+1)
	}
	if at+afterTime <= now || at > now+Horizon || len(ca.list) >= maxReservations {
		return
	}
	ix, _ := slices.BinarySearchFunc(ca.list, at, func(rs reservation, at clock.Millis) int { return int(rs.at - at) })
	ca.list = slices.Insert(ca.list, ix, reservation{turn: turn, at: at})
}

// expire removes reservations whose time has passed and records their outcome.
func (ca *Calendar) expire(now clock.Millis) {
	if now == ca.expiredAt {
		return
	}
	ca.expiredAt = now
	passed := 0
	for passed < len(ca.list) && ca.list[passed].at+afterTime <= now {
		ca.record(ca.list[passed].used)
		passed++
	}
	ca.list = slices.Delete(ca.list, 0, passed)
	for turn, until := range ca.bound {
		if now >= until {
			delete(ca.bound, turn)
		}
	}
}

func (ca *Calendar) record(returned bool) {
	if ca.callers >= maxCallers {
		part := maxCallers / (maxCallers + 1)
		ca.callers, ca.returned = part*ca.callers, part*ca.returned
	}
	ca.callers++
	if returned {
		ca.returned++
	}
}

// Fraction returns the part of the callers that return in time.
func (ca *Calendar) Fraction() float64 {
	return (ca.returned + priorReturned) / (ca.callers + priorCallers)
}

// Arrive records that a caller returned with a request of a new turn. If a reservation
// is due, the request takes it and counts as due.
func (ca *Calendar) Arrive(now clock.Millis, turn Turn) Outcome {
	ca.expire(now)
	for ix := range ca.list {
		rs := &ca.list[ix]
		if rs.at-beforeTime > now {
			return Early
		}
		if rs.used {
			continue
		}
		rs.used = true
		if ca.bound == nil {
			ca.bound = make(map[Turn]clock.Millis)
		}
		ca.bound[turn] = now + boundFor
		return Due
	}
	return Late
}

// IsDue reports whether a request returned at the time of a reservation.
func (ca *Calendar) IsDue(turn Turn) bool { return ca.bound[turn] > 0 }

// Use records that a request that returned was placed or refused for good.
func (ca *Calendar) Use(turn Turn) { delete(ca.bound, turn) }

// Reserved returns how many callers are expected to return within a time, including
// those that are due now and have not come yet.
func (ca *Calendar) Reserved(now, within clock.Millis) float64 {
	ca.expire(now)
	count := 0
	for _, rs := range ca.list {
		if rs.at-beforeTime > now+within {
			break
		}
		if !rs.used {
			count++
		}
	}
	return float64(count) * ca.Fraction()
}

// Propose returns the time after which a refused caller is to return: the earliest at
// which the forecast has capacity that neither the expected new requests nor earlier
// reservations use, or otherwise the time with the fewest reservations. Capacity that
// is not used at once stays, and demand that exceeds it is refused.
func (ca *Calendar) Propose(now clock.Millis, fc *Forecast, pr Proposal) clock.Millis {
	ca.expire(now)
	last := min(int(pr.Latest/bucket), buckets-1)
	first := min(int((pr.Earliest+bucket-1)/bucket), last)
	reserved := ca.reservedByBucket(now, pr.Turn)
	part := ca.Fraction()
	within := func(ix int) clock.Millis {
		return min(max(pr.Earliest, clock.Millis(ix)*bucket+clock.Millis(pr.Turn%uint32(bucket))), pr.Latest)
	}
	free, came, placed, least := -float64(pr.Waiting), 0.0, 0, last
	for ix := range last + 1 {
		end := clock.Millis(ix+1) * bucket
		expected, places := ca.Expected(now, end, 0, priorities-1), fc.Places(end)
		free += float64(places-placed) - (expected - came) - part*float64(reserved[ix])
		came, placed = expected, places
		if ix >= first && free >= part*pr.Size {
			return within(ix)
		}
		free = max(0, free)
		if ix >= first && reserved[ix] <= reserved[least] {
			least = ix
		}
	}
	return within(least)
}

// reservedByBucket counts the unused reservations of others than a request by the bucket
// of their time.
func (ca *Calendar) reservedByBucket(now clock.Millis, without Turn) (out [buckets]int) {
	for _, rs := range ca.list {
		if ix := int(max(0, rs.at-now) / bucket); !rs.used && rs.turn != without && ix < buckets {
			out[ix]++
		}
	}
	return out
}
