package trace

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"alderdyke/internal/event"
	"alderdyke/pkg/refusal"
)

// What became of a generation, from best to worst.
const (
	InTime       Fate = "InTime"       // its first event came within its objective
	LateReturned Fate = "LateReturned" // it had been refused before, and so began late
	LatePlace    Fate = "LatePlace"    // late; it waited for its place most of all
	LatePrompt   Fate = "LatePrompt"   // late; its prompt waited most of all, or took long
	LateBegin    Fate = "LateBegin"    // late; the decode began late after that
	Refused      Fate = "Refused"
	RefusedAgain Fate = "RefusedAgain" // it had been refused before
	OverQuota    Fate = "OverQuota"    // its customer's quota was used up, or could not be asked; plain requests count too
	Left         Fate = "Left"         // its caller left, or its time was over
	Broken       Fate = "Broken"       // its answer broke off
	NoEnd        Fate = "NoEnd"        // its VM stopped first, or the log does
)

// fates is the order in which they are listed.
var fates = []Fate{InTime, LateReturned, LatePlace, LatePrompt, LateBegin, Refused, RefusedAgain, OverQuota, Left, Broken, NoEnd}

type (
	// Fate is what became of a generation.
	Fate string

	// Losses counts what became of the generations of many log files, and so
	// tells where a load loses them. The zero value is ready.
	Losses struct {
		// Passed counts the lines that are no log lines of a VM.
		Passed int

		lines map[string][]Line
	}

	// Loss is the generations of one fate.
	Loss struct {
		Fate   Fate
		Count  int
		Tokens int               // of their prompts
		Spans  map[time.Time]int // how many began in each span of two seconds
	}
)

// lossSpan is the span of time by which losses are told: bursts last several of
// it.
const lossSpan = 2 * time.Second

// Read takes the lines of one file.
func (ls *Losses) Read(rd io.Reader) error {
	if ls.lines == nil {
		ls.lines = make(map[string][]Line)
	}
	return each(rd, func(text string) {
		request, ln, err := parse(text)
		switch {
		case err != nil:
			ls.Passed++
		case request != "":
			ls.lines[request] = append(ls.lines[request], ln)
		}
	})
}

// Table lists the fates that occurred, from best to worst.
func (ls *Losses) Table() []Loss {
	byFate := make(map[Fate]*Loss)
	for _, lines := range ls.lines {
		slices.SortStableFunc(lines, func(la, lb Line) int { return strings.Compare(la.Time, lb.Time) })
		placed, ok := lastOf(lines, event.RelayPlaced, event.RelayNoPlace)
		var ft Fate
		switch {
		case ok:
			ft = fateOf(lines, placed)
		case overQuota(lines):
			ft = OverQuota
		default:
			continue // no generation
		}
		lo := byFate[ft]
		if lo == nil {
			lo = &Loss{Fate: ft, Spans: make(map[time.Time]int)}
			byFate[ft] = lo
		}
		lo.Count++
		lo.Tokens += number(placed, "Tokens")
		if at, err := time.Parse(time.RFC3339Nano, lines[0].Time); err == nil {
			lo.Spans[at.Truncate(lossSpan)]++
		}
	}
	var out []Loss
	for _, ft := range fates {
		if lo := byFate[ft]; lo != nil {
			out = append(out, *lo)
		}
	}
	return out
}

// overQuota tells whether a request was refused before it was to be placed, since its
// customer's quota was used up or could not be asked.
func overQuota(lines []Line) bool {
	end, ok := lastOf(lines, event.RelayRefused)
	why := text(end, "Reason")
	return ok && (why == string(refusal.ShareExceeded) || why == string(refusal.QuotaAway))
}

// fateOf tells what became of a generation, whose last word on a place is given.
func fateOf(lines []Line, placed Line) Fate {
	returned := text(placed, "Returning") == "true"
	end, ended := lastOf(lines, event.RelayAnswered, event.RelayRefused, event.RelayCut)
	_, left := lastOf(lines, event.RelayCallerGone)
	switch {
	case !ended:
		return NoEnd
	case left || text(end, "Reason") == "CallerGone" || text(end, "Reason") == "DeadlinePassed":
		return Left
	case end.Number == event.RelayCut.Number:
		return Broken
	case end.Number == event.RelayRefused.Number && returned:
		return RefusedAgain
	case end.Number == event.RelayRefused.Number:
		return Refused
	case returned:
		return LateReturned
	}
	first, objective := span(end, "First"), span(end, "Objective")
	if objective == 0 || first <= objective {
		return InTime
	}
	place := span(placed, "Waited")
	prompt := time.Duration(0)
	if ln, ok := lastOf(lines, event.RelayPrefill); ok {
		prompt = span(ln, "Took")
	}
	switch begin := first - place - prompt; max(place, prompt, begin) {
	case place:
		return LatePlace
	case prompt:
		return LatePrompt
	default:
		return LateBegin
	}
}

// String writes a loss as a person reads it: the spans with most of it first.
func (lo Loss) String() string {
	var sb strings.Builder
	if lo.Fate == OverQuota {
		fmt.Fprintf(&sb, "%-13s %6d requests, plain ones among them; most at", lo.Fate, lo.Count)
	} else {
		fmt.Fprintf(&sb, "%-13s %6d generations, %6.0f tokens of prompt in the mean; most at", lo.Fate, lo.Count, float64(lo.Tokens)/float64(max(1, lo.Count)))
	}
	spans := slices.SortedFunc(maps.Keys(lo.Spans), func(ta, tb time.Time) int {
		return cmp.Or(cmp.Compare(lo.Spans[tb], lo.Spans[ta]), ta.Compare(tb))
	})
	for _, at := range spans[:min(3, len(spans))] {
		fmt.Fprintf(&sb, " %s (%d)", at.Format(time.TimeOnly), lo.Spans[at])
	}
	return sb.String()
}

// span reads a field that tells a time; zero if the line has none.
func span(ln Line, field string) time.Duration {
	took, err := time.ParseDuration(text(ln, field))
	if err != nil {
		return 0 // older lines lack it, or have it in another form
	}
	return took
}

// number reads a whole number; zero if the line has none.
func number(ln Line, field string) int {
	val, _ := ln.Fields[field].(float64)
	return int(val)
}
