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
	InTime       Outcome = "InTime"       // its first event came within its objective
	LateReturned Outcome = "LateReturned" // it had been refused before, and so began late
	LatePlace    Outcome = "LatePlace"    // late; it waited for its place most of all
	LatePrompt   Outcome = "LatePrompt"   // late; its prompt waited most of all, or took long
	LateBegin    Outcome = "LateBegin"    // late; the decode began late after that
	Refused      Outcome = "Refused"
	RefusedAgain Outcome = "RefusedAgain" // it had been refused before
	OverQuota    Outcome = "OverQuota"    // its customer's quota was used up, or could not be asked; plain requests count too
	Left         Outcome = "Left"         // its caller left, or its time was over
	Broken       Outcome = "Broken"       // its answer broke off
	NoEnd        Outcome = "NoEnd"        // its VM stopped first, or the log does
)

// outcomeOrder is the order in which they are listed.
var outcomeOrder = []Outcome{InTime, LateReturned, LatePlace, LatePrompt, LateBegin, Refused, RefusedAgain, OverQuota, Left, Broken, NoEnd}

type (
	// Outcome is what became of a generation.
	Outcome string

	// Outcomes counts what became of the generations of many log files, and so
	// tells where a load loses them. The zero value is ready.
	Outcomes struct {
		// SkippedLines counts the lines that are no log lines of a VM.
		SkippedLines int

		lines map[string][]Line
	}

	// OutcomeCount is the generations of one fate.
	OutcomeCount struct {
		Outcome       Outcome
		Count         int
		PromptTokens  int               // of their prompts
		CountByPeriod map[time.Time]int // how many began in each span of two seconds
	}
)

// periodLength is the span of time by which losses are told: bursts last several of
// it.
const periodLength = 2 * time.Second

// Read takes the lines of one file.
func (ls *Outcomes) Read(rd io.Reader) error {
	if ls.lines == nil {
		ls.lines = make(map[string][]Line)
	}
	return eachLine(rd, func(text string) {
		request, ln, err := parseLine(text)
		switch {
		case err != nil:
			ls.SkippedLines++
		case request != "":
			ls.lines[request] = append(ls.lines[request], ln)
		}
	})
}

// Counts lists the fates that occurred, from best to worst.
func (ls *Outcomes) Counts() []OutcomeCount {
	byFate := make(map[Outcome]*OutcomeCount)
	for _, lines := range ls.lines {
		slices.SortStableFunc(lines, func(la, lb Line) int { return strings.Compare(la.Time, lb.Time) })
		placed, ok := lastEvent(lines, event.RelayPlaced, event.RelayNoPlace)
		var ft Outcome
		switch {
		case ok:
			ft = outcomeOf(lines, placed)
		case refusedOverQuota(lines):
			ft = OverQuota
		default:
			continue // no generation
		}
		lo := byFate[ft]
		if lo == nil {
			lo = &OutcomeCount{Outcome: ft, CountByPeriod: make(map[time.Time]int)}
			byFate[ft] = lo
		}
		lo.Count++
		lo.PromptTokens += fieldInt(placed, "Tokens")
		if at, err := time.Parse(time.RFC3339Nano, lines[0].Time); err == nil {
			lo.CountByPeriod[at.Truncate(periodLength)]++
		}
	}
	var out []OutcomeCount
	for _, ft := range outcomeOrder {
		if lo := byFate[ft]; lo != nil {
			out = append(out, *lo)
		}
	}
	return out
}

// refusedOverQuota tells whether a request was refused before it was to be placed, since its
// customer's quota was used up or could not be asked.
func refusedOverQuota(lines []Line) bool {
	end, ok := lastEvent(lines, event.RelayRefused)
	why := fieldText(end, "Reason")
	return ok && (why == string(refusal.ShareExceeded) || why == string(refusal.QuotaAway))
}

// outcomeOf tells what became of a generation, whose last word on a place is given.
func outcomeOf(lines []Line, placed Line) Outcome {
	returned := fieldText(placed, "Returning") == "true"
	end, ended := lastEvent(lines, event.RelayAnswered, event.RelayRefused, event.RelayCut)
	_, left := lastEvent(lines, event.RelayCallerGone)
	switch {
	case !ended:
		return NoEnd
	case left || fieldText(end, "Reason") == "CallerGone" || fieldText(end, "Reason") == "DeadlinePassed":
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
	first, objective := fieldDuration(end, "First"), fieldDuration(end, "Objective")
	if objective == 0 || first <= objective {
		return InTime
	}
	place := fieldDuration(placed, "Waited")
	prompt := time.Duration(0)
	if ln, ok := lastEvent(lines, event.RelayPrefill); ok {
		prompt = fieldDuration(ln, "Took")
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
func (lo OutcomeCount) String() string {
	var sb strings.Builder
	if lo.Outcome == OverQuota {
		fmt.Fprintf(&sb, "%-13s %6d requests, plain ones among them; most at", lo.Outcome, lo.Count)
	} else {
		fmt.Fprintf(&sb, "%-13s %6d generations, %6.0f tokens of prompt in the mean; most at", lo.Outcome, lo.Count, float64(lo.PromptTokens)/float64(max(1, lo.Count)))
	}
	spans := slices.SortedFunc(maps.Keys(lo.CountByPeriod), func(ta, tb time.Time) int {
		return cmp.Or(cmp.Compare(lo.CountByPeriod[tb], lo.CountByPeriod[ta]), ta.Compare(tb))
	})
	for _, at := range spans[:min(3, len(spans))] {
		fmt.Fprintf(&sb, " %s (%d)", at.Format(time.TimeOnly), lo.CountByPeriod[at])
	}
	return sb.String()
}

// fieldDuration reads a field that tells a time; zero if the line has none.
func fieldDuration(ln Line, field string) time.Duration {
	took, err := time.ParseDuration(fieldText(ln, field))
	if err != nil {
		return 0 // older lines lack it, or have it in another form
	}
	return took
}

// fieldInt reads a whole number; zero if the line has none.
func fieldInt(ln Line, field string) int {
	val, _ := ln.Fields[field].(float64)
	return int(val)
}
