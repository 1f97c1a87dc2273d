package balance

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"alderdyke/internal/board"
	"alderdyke/pkg/clock"
	"alderdyke/pkg/refusal"
)

const svcName = "svc"

func chooser(seed uint64) *Chooser { return &Chooser{Rand: rand.New(rand.NewPCG(seed, 1))} }

// backends returns n servers of one plain service with the given slots each.
func backends(n, slots int) *board.Backends {
	bk := &board.Backends{Reports: map[string]board.LoadReport{}}
	for ix := range n {
		id := fmt.Sprintf("s%02d", ix)
		bk.Servers = append(bk.Servers, board.BackendServer{ID: id, Service: svcName, Role: board.Plain})
		bk.Reports[id] = board.LoadReport{Server: id, At: 1, Slots: slots}
	}
	return bk
}

// pick sends a request of the customer cu, which must be admitted, and returns its
// server.
func pick(t *testing.T, ch *Chooser, now clock.Millis, exclude ...string) string {
	t.Helper()
	id, err := ch.Pick(now, Request{Service: svcName, Customer: "cu", Share: 1, Exclude: exclude})
	assert.NilError(t, err)
	return id
}

// sendOne sends one request, ends it at once with the result for its server, and returns
// the server.
func sendOne(t *testing.T, ch *Chooser, now clock.Millis, result func(id string) Result) string {
	t.Helper()
	id := pick(t, ch, now)
	ch.Done(now, id, Outcome{Customer: "cu", Result: result(id)})
	return id
}

func always(rs Result) func(string) Result { return func(string) Result { return rs } }

// only returns the given result at one server and Success at all others.
func only(bad string, rs Result) func(string) Result {
	return func(id string) Result {
		if id == bad {
			return rs
		}
		return Success
	}
}

// countPicks sends n requests one after the other, each of which ends at once, and
// returns how many each server got.
func countPicks(t *testing.T, ch *Chooser, now clock.Millis, n int, result func(id string) Result) map[string]int {
	t.Helper()
	got := map[string]int{}
	for range n {
		got[sendOne(t, ch, now, result)]++
	}
	return got
}

// refusalOf returns the refusal that an error holds, and checks that it says that the
// request did not run.
func refusalOf(t *testing.T, err error) refusal.Refusal {
	t.Helper()
	var rf refusal.Refusal
	assert.Assert(t, errors.As(err, &rf), "%v", err)
	assert.Equal(t, rf.Ran, refusal.NotRun)
	return rf
}

func TestNoServer(t *testing.T) {
	ch := chooser(1)
	_, err := ch.Pick(0, Request{Service: svcName, Customer: "cu"})
	assert.Equal(t, refusalOf(t, err).Reason, refusal.NoBackend)
	bk := backends(1, 4)
	bk.Servers[0].Leaving = true
	ch.Update(0, bk, 1)
	_, err = ch.Pick(0, Request{Service: svcName, Customer: "cu"})
	assert.Equal(t, refusalOf(t, err).Reason, refusal.NoBackend)
}

func TestLeavingServerGetsNothing(t *testing.T) {
	for name, leave := range map[string]func(*board.Backends){
		"by list":   func(bk *board.Backends) { bk.Servers[1].Leaving = true },
		"by report": func(bk *board.Backends) { bk.Reports["s01"] = board.LoadReport{Server: "s01", At: 2, Leaving: true} },
		"unlisted":  func(bk *board.Backends) { bk.Servers = slices.Delete(bk.Servers, 1, 2) },
	} {
		t.Run(name, func(t *testing.T) {
			ch := chooser(2)
			bk := backends(3, 4)
			ch.Update(1, bk, 1)
			leave(bk)
			ch.Update(2, bk, 1)
			assert.Equal(t, countPicks(t, ch, 2, 200, always(Success))["s01"], 0)
		})
	}
}

func TestRetryGoesElsewhere(t *testing.T) {
	ch := chooser(3)
	ch.Update(0, backends(3, 8), 1)
	for range 100 {
		first := pick(t, ch, 0)
		second := pick(t, ch, 0, first)
		third := pick(t, ch, 0, first, second)
		assert.Assert(t, first != second && second != third && third != first)
		for _, id := range []string{first, second, third} {
			ch.Done(0, id, Outcome{Customer: "cu", Result: Cancelled})
		}
	}
	// If all servers were tried, one is tried again.
	pick(t, ch, 0, "s00", "s01", "s02")
}

// Each ejection lasts twice as long as the last one. Once the server has worked for long
// enough, the ejections are forgiven.
func TestEjectionGrowsAndEnds(t *testing.T) {
	ch := chooser(4)
	ch.Update(0, backends(4, 8), 1)
	bad := only("s02", Failure)
	got := countPicks(t, ch, 0, 2000, bad)
	assert.Equal(t, got["s02"], DefaultFailures)
	srv := ch.servers["s02"]
	now := clock.Millis(0)
	for _, span := range []clock.Millis{DefaultBaseEjection, 2 * DefaultBaseEjection, 4 * DefaultBaseEjection} {
		assert.Equal(t, srv.ejectedUntil-now, span)
		assert.Equal(t, countPicks(t, ch, srv.ejectedUntil-1, 200, bad)["s02"], 0)
		// It returns, and its first failure ejects it again.
		now = srv.ejectedUntil + DefaultSlowStart
		assert.Equal(t, countPicks(t, ch, now, 200, bad)["s02"], 1)
	}
	now = srv.ejectedUntil + DefaultSlowStart
	assert.Assert(t, countPicks(t, ch, now, 400, always(Success))["s02"] > 50)
	assert.Equal(t, srv.ejections, 4)
	now += DefaultForgiveAfter
	countPicks(t, ch, now, 100, always(Success))
	assert.Equal(t, srv.ejections, 0)
}

func TestFailuresAmongSuccessesDoNotEject(t *testing.T) {
	ch := chooser(5)
	ch.Update(0, backends(4, 8), 1)
	seen := 0
	countPicks(t, ch, 0, 2000, func(id string) Result {
		if id != "s01" {
			return Success
		}
		seen++
		if seen%DefaultFailures == 0 {
			return Success
		}
		return Failure
	})
	assert.Equal(t, ch.servers["s01"].ejections, 0)
}

func TestSlowStart(t *testing.T) {
	ch := chooser(6)
	bk := backends(4, 100)
	bk.Servers[3].Leaving = true
	ch.Update(0, bk, 1)
	bk.Servers[3].Leaving = false
	ch.Update(1000, bk, 1)
	part := func(now clock.Millis) int {
		got := map[string]int{}
		for range 80 { // all in flight at once
			got[pick(t, ch, now)]++
		}
		for id, n := range got {
			for range n {
				ch.Done(now, id, Outcome{Customer: "cu", Result: Success})
			}
		}
		return got["s03"]
	}
	early, middle, late := part(1000), part(1000+DefaultSlowStart/2), part(1000+DefaultSlowStart)
	t.Logf("of 80 requests the returning server of 4 gets %d, half way %d, then %d", early, middle, late)
	assert.Assert(t, early <= 5 && early < middle && middle < late, "%d %d %d", early, middle, late)
	assert.Assert(t, late >= 17 && late <= 23, "%d", late)
	// The same holds if requests come one by one, with none in flight at any server.
	early = countPicks(t, ch, 1000, 2000, always(Success))["s03"]
	late = countPicks(t, ch, 1000+DefaultSlowStart, 2000, always(Success))["s03"]
	assert.Assert(t, early >= 20 && early <= 100 && late >= 400 && late <= 600, "%d %d", early, late)
}

func TestBusyServerGetsNothing(t *testing.T) {
	ch := chooser(7)
	bk := backends(3, 10)
	ch.Update(1, bk, 1)
	got := countPicks(t, ch, 1, 300, only("s00", Busy))
	assert.Equal(t, got["s00"], 1)
	assert.Equal(t, ch.servers["s00"].ejections, 0)
	bk.Reports["s00"] = board.LoadReport{Server: "s00", At: 500, Slots: 10}
	ch.Update(500, bk, 1)
	assert.Assert(t, countPicks(t, ch, 500, 300, always(Success))["s00"] > 50)
}

// For any sequence of results, at most half of the servers are ejected, a server is
// always found, and the counts of requests in flight are correct.
func TestEjectionKeepsHalf(t *testing.T) {
	results := []Result{Success, Failure, Timeout, Busy, Cancelled}
	rapid.Check(t, func(rt *rapid.T) {
		ch := chooser(rapid.Uint64().Draw(rt, "seed"))
		bk := backends(rapid.IntRange(1, 6).Draw(rt, "servers"), 4)
		now := clock.Millis(0)
		ch.Update(now, bk, 1)
		type flight struct{ id, customer string }
		var flights []flight
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now += clock.Millis(rapid.IntRange(0, 200).Draw(rt, "pass"))
			if rapid.Bool().Draw(rt, "pick") {
				req := Request{Service: svcName, Customer: rapid.SampledFrom([]string{"cu", "other"}).Draw(rt, "customer"), Share: 0.5}
				if id, err := ch.Pick(now, req); err == nil {
					flights = append(flights, flight{id, req.Customer})
				} else if refusalOf(t, err).Reason != refusal.ShareExceeded {
					rt.Fatalf("no server: %v", err)
				}
			} else if len(flights) > 0 {
				ch.Done(now, flights[0].id, Outcome{Customer: flights[0].customer, Result: rapid.SampledFrom(results).Draw(rt, "result")})
				flights = flights[1:]
			}
			checkCounts(rt, ch, now, len(flights))
		}
	})
}

// checkCounts checks the number of ejected servers and the counts of requests in flight.
func checkCounts(rt *rapid.T, ch *Chooser, now clock.Millis, flights int) {
	svc := ch.services[svcName]
	var out, inFlight, ofCustomers int
	for _, srv := range svc.servers {
		inFlight += srv.inFlight
		if srv.isEjected(now) {
			out++
		}
	}
	for _, cu := range svc.customers {
		ofCustomers += cu.inFlight
	}
	if 2*out > len(svc.servers) {
		rt.Fatalf("%d of %d ejected", out, len(svc.servers))
	}
	if inFlight != flights || ofCustomers != flights || svc.inFlight != flights {
		rt.Fatalf("%d in flight, counted %d, %d and %d", flights, inFlight, ofCustomers, svc.inFlight)
	}
}

// admitted sends up to most requests, which stay in flight, until one is refused, and
// returns their servers.
func admitted(t *testing.T, ch *Chooser, now clock.Millis, customer string, share float64, most int) []string {
	t.Helper()
	var ids []string
	for len(ids) < most {
		id, err := ch.Pick(now, Request{Service: svcName, Customer: customer, Share: share})
		if err != nil {
			assert.Equal(t, refusalOf(t, err).Reason, refusal.ShareExceeded)
			break
		}
		ids = append(ids, id)
	}
	return ids
}

// What one customer does not use of its part is lent to others, until it sends requests
// itself.
func TestUnusedSharesAreLentAndReclaimed(t *testing.T) {
	const slots, vms = 30, 6 // 4 servers: 120 slots in total, 20 for this VM, 33 with slack; half of it 10, 16 with slack
	ch := chooser(8)
	ch.Update(1, backends(4, slots), vms)
	// Without other customers, all of the VM's part is lent, with slack.
	lent := admitted(t, ch, 1, "flood", 0.5, 1000)
	assert.Equal(t, len(lent), 33)
	// Another customer arrives and gets its own part at once.
	others := admitted(t, ch, 2, "other", 0.5, 1000)
	assert.Equal(t, len(others), 16)
	// The flood has 8 requests left in flight, and is lent what the other leaves.
	for _, id := range lent[:25] {
		ch.Done(3, id, Outcome{Customer: "flood", Result: Success})
	}
	assert.Equal(t, len(admitted(t, ch, 3, "flood", 0.5, 1000)), 9)
	// What the other customer frees stays reserved for it, because it was recently used.
	for _, id := range others {
		ch.Done(4, id, Outcome{Customer: "other", Result: Success})
	}
	assert.Equal(t, len(admitted(t, ch, 4, "flood", 0.5, 1000)), 0)
	// When the other customer has been idle for the span, its part is lent.
	assert.Equal(t, len(admitted(t, ch, 3+DefaultActiveSpan, "flood", 0.5, 1000)), 16)
}

// While the reports show queues, no customer gets more than its own part.
func TestOverloadedServiceLendsNothing(t *testing.T) {
	ch := chooser(11)
	bk := backends(4, 30)
	ch.Update(1, bk, 6)
	for at := clock.Millis(2); at < 5; at++ {
		for id := range bk.Reports {
			bk.Reports[id] = board.LoadReport{Server: id, At: at, Slots: 30, Running: 30, Queued: 10}
		}
		ch.Update(at, bk, 6)
	}
	admitted(t, ch, 5, "other", 1, 20)
	assert.Equal(t, len(admitted(t, ch, 5, "flood", 0.1, 1000)), 4) // a tenth of 20, with slack
	// Expired reports are ignored.
	assert.Equal(t, len(admitted(t, ch, 5+DefaultReportStale, "flood", 0.1, 1000)), 9) // 33 in total
}

func TestShareAllowsAtLeastOneRequest(t *testing.T) {
	ch := chooser(9)
	ch.Update(1, backends(1, 4), 380)
	assert.Assert(t, len(admitted(t, ch, 1, "flood", 0.99, 1000)) >= 1)
	assert.Equal(t, len(admitted(t, ch, 1, "small", 0.001, 1)), 1)
}

// Slots that the reports show as free are lent even if this VM's own part is used up,
// but only this VM's part of them.
func TestFreeSlotsAreLentBeyondOwnPart(t *testing.T) {
	ch := chooser(10)
	bk := backends(4, 30)
	ch.Update(1, bk, 6)
	first := len(admitted(t, ch, 1, "cu", 0.1, 1000))
	assert.Equal(t, first, 33)
	for id := range bk.Reports {
		bk.Reports[id] = board.LoadReport{Server: id, At: 500, Slots: 30, Running: 29}
	}
	ch.Update(500, bk, 6)
	assert.Equal(t, len(admitted(t, ch, 500, "cu", 0.1, 1000)), 0) // 4 free, less than one for each VM
	for id := range bk.Reports {
		bk.Reports[id] = board.LoadReport{Server: id, At: 1500, Slots: 30, Running: 10}
	}
	ch.Update(1500, bk, 6)
	assert.Equal(t, len(admitted(t, ch, 1500, "cu", 0.1, 1000)), 13) // 80 free
}

// A server at whose address another one answered gets nothing more, from the first such
// answer on, unless there is no other server or its entry has a new address.
func TestReplacedServerGetsNothing(t *testing.T) {
	ch := &Chooser{Rand: rand.New(rand.NewPCG(1, 2))}
	list := func(address string) *board.Backends {
		return (&board.Backends{}).WithServers([]board.BackendServer{
			{ID: "a", Service: "s", Role: board.Plain, Address: address}, {ID: "b", Service: "s", Role: board.Plain, Address: "10.0.0.2:80"}})
	}
	ch.Update(0, list("10.0.0.1:80"), 1)
	pick := func(exclude ...string) string {
		id, err := ch.Pick(0, Request{Service: "s", Share: 1, Exclude: exclude})
		assert.NilError(t, err)
		return id
	}
	assert.Equal(t, pick("b"), "a")
	ch.Done(0, "a", Outcome{Result: Gone})
	for range 20 {
		assert.Equal(t, pick(), "b")
	}
	ch.Update(0, list("10.0.0.1:80"), 1) // its entry is renewed
	assert.Equal(t, pick(), "b")
	ch.Update(0, list("10.0.0.9:80"), 1)
	assert.Equal(t, pick("b"), "a")
}

// A server that requested backoff gets nothing until the backoff ends, even if it is the
// last one. Requests are then refused with the remaining time.
func TestBackedOffServerGetsNothing(t *testing.T) {
	ch := chooser(1)
	ch.Update(0, backends(2, 4), 1)
	ch.BackOff(0, "s00", 500)
	ch.BackOff(0, "nobody", 500)
	for range 20 {
		assert.Equal(t, sendOne(t, ch, 400, always(Failure)), "s01")
	}
	assert.Equal(t, pick(t, ch, 400, "s01"), "s01", "a tried server is better than one that is backing off")
	assert.Equal(t, ch.BackoffLeft(400, svcName), clock.Millis(0))
	ch.BackOff(400, "s01", 1000)
	_, err := ch.Pick(450, Request{Service: svcName, Share: 1})
	var rf refusal.Refusal
	assert.Assert(t, errors.As(err, &rf))
	assert.Equal(t, rf.Ran, refusal.NotRun)
	assert.Equal(t, rf.RetryAfter, clock.Millis(50))
	assert.Equal(t, ch.BackoffLeft(450, svcName), clock.Millis(50))
	assert.Equal(t, pick(t, ch, 500), "s00")
	assert.Equal(t, ch.BackoffLeft(500, "nobody's"), clock.Millis(0))
}
