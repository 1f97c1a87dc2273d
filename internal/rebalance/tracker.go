package rebalance

import (
	"cmp"
	"math"
	"slices"

	"alderdyke/pkg/clock"
)

const (
	// pendingTTL is how long the engines of a requested move that no report shows yet
	// neither give nor take another run. It equals the time for which the run counts as an
	// assumed placement at the destination, so that a lost request can be repeated when
	// that ends.
	pendingTTL = 300 * clock.Millis(1)
	// seenWithin is how long after its request a move has to be seen in a report. A move
	// takes a tenth of a second; in a burst an engine fills up within a second, so a
	// slower move does not prevent a preemption.
	seenWithin = clock.Second
	// window is the time for which the outcomes of moves count. In a burst dozens of moves
	// are requested within it; it is twice as long as a burst, so that a part of the VMs that
	// ignores requests is noticed in the first burst and not again in each second of it.
	window = 10 * clock.Second
	// movedTTL is how long the tracker remembers that a run was moved: a run of the greatest
	// length lasts about 10 s.
	movedTTL = 15 * clock.Second
	// sizeTolerance is the part by which the size of a run may differ from that projected
	// since its move.
	sizeTolerance = 0.25
)

type (
	// Tracker remembers the moves that were requested and what reports show of them.
	Tracker struct {
		requests []request // of the window, in the order of their times
		moved    []movedRun
		failing  bool // fewer than half of the judged moves of the last window were seen
	}

	// Counts returns the number of a VM's runs at an engine by its newest report.
	Counts func(engine string) int

	request struct {
		move     Move
		at       clock.Millis
		from, to int // runs of the VM at the engines by its report at that time
		moves    int // of the run, with this one
		seen     bool
	}

	// movedRun is a run that was seen at the destination of its move.
	movedRun struct {
		vm, engine string
		tokens     int
		at         clock.Millis // when it had these tokens
		moves      int
	}
)

// Request records a move that was requested, with the counts of the VM's runs before it.
func (tr *Tracker) Request(now clock.Millis, mv Move, counts Counts) {
	tr.update(now)
	tr.requests = append(tr.requests, request{move: mv, at: now, from: counts(mv.From), to: counts(mv.To), moves: 1 + tr.movesOf(now, mv)})
}

// movesOf returns how often the run of a move was moved before.
func (tr *Tracker) movesOf(now clock.Millis, mv Move) int {
	moves := 0
	for _, mr := range tr.moved {
		// The run has grown by the speed of the engine, which is not known here.
		if mr.vm == mv.VM && mr.engine == mv.From && mr.at <= now && mv.Tokens >= mr.tokens {
			moves = max(moves, mr.moves)
		}
	}
	return moves
}

// Observe matches the pending moves of a VM with its new report. A move is seen if the VM
// has a run more at the destination and one fewer at the source than before the request;
// either alone also results from a run that begins or ends. A report shows as many moves as
// its counts differ.
func (tr *Tracker) Observe(now clock.Millis, vm string, counts Counts) {
	for ix := range tr.requests {
		rq := &tr.requests[ix]
		if rq.seen || rq.move.VM != vm || now > rq.at+seenWithin {
			continue
		}
		if counts(rq.move.To) > rq.to && counts(rq.move.From) < rq.from {
			rq.seen = true
			tr.moved = append(tr.moved, movedRun{vm: vm, engine: rq.move.To, tokens: rq.move.Tokens, at: rq.at, moves: rq.moves})
		}
	}
	tr.update(now)
}

// Works reports whether moves are carried out, so that admission may use the smaller
// margin. Fewer than half of the moves of the last 10 s seen means no: most engines that run
// full then preempt. Before the first request nothing speaks against the margin. If moves failed and none was requested for a while, they still
// count as failing, since moves are also requested with the wider margin and show when
// they succeed again.
func (tr *Tracker) Works(now clock.Millis) bool {
	tr.update(now)
	return !tr.failing
}

// update judges the moves of the window and drops what is too old. If none of the window can
// be judged, the last verdict stays.
func (tr *Tracker) update(now clock.Millis) {
	recent, _ := slices.BinarySearchFunc(tr.requests, now-window, func(rq request, after clock.Millis) int { return cmp.Compare(rq.at, after+1) })
	if !tr.judge(now, tr.requests[recent:]) {
		tr.judge(now, tr.requests[:recent])
	}
	tr.requests = slices.Delete(tr.requests, 0, recent)
	tr.moved = slices.DeleteFunc(tr.moved, func(mr movedRun) bool { return now >= mr.at+movedTTL })
}

// judge decides whether moves fail by the requests that were seen or can no longer be, and
// reports whether there are any.
func (tr *Tracker) judge(now clock.Millis, requests []request) bool {
	judged, seen := 0, 0
	for ix := range requests {
		switch rq := &requests[ix]; {
		case rq.seen:
			judged++
			seen++
		case now > rq.at+seenWithin:
			judged++
		}
	}
	if judged > 0 {
		tr.failing = 2*seen < judged
	}
	return judged > 0
}

// Annotate closes the engines that have a pending move, and counts the moves of the runs
// that were moved before.
func (tr *Tracker) Annotate(now clock.Millis, engines []Engine) {
	for ix := range tr.requests {
		rq := &tr.requests[ix]
		if rq.seen || now >= rq.at+pendingTTL {
			continue
		}
		for ie := range engines {
			if en := &engines[ie]; en.ID == rq.move.From || en.ID == rq.move.To {
				en.Closed = true
			}
		}
	}
	for _, mr := range tr.moved {
		for ie := range engines {
			if en := &engines[ie]; en.ID == mr.engine {
				en.countMoves(mr, float64(mr.tokens)+en.growthWithin(now-mr.at))
			}
		}
	}
}

// countMoves counts the moves of the VM's run whose size is nearest to the expected one, if
// it is close to that.
func (en *Engine) countMoves(mr movedRun, expected float64) {
	var best *Run
	least := sizeTolerance * expected
	for ix := range en.Runs {
		ru := &en.Runs[ix]
		if ru.VM != mr.vm || ru.Moves >= mr.moves {
			continue
		}
		if differs := math.Abs(float64(ru.Tokens) - expected); differs <= least {
			best, least = ru, differs
		}
	}
	if best != nil {
		best.Moves = mr.moves
	}
}
