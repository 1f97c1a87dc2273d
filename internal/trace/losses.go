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

// The outcomes of a generation, from best to worst.
const (
	InTime       Outcome = "InTime"       // the first event met the objective
	LateReturned Outcome = "LateReturned" // it had been refused before and therefore started late
	LatePlace    Outcome = "LatePlace"    // late, mainly because it waited for a decode engine's reservation
	LatePrompt   Outcome = "LatePrompt"   // late, mainly because its prefill waited or took long
	LateBegin    Outcome = "LateBegin"    // late, mainly because the decode started late after the prefill
	Refused      Outcome = "Refused"
	RefusedAgain Outcome = "RefusedAgain" // it had been refused before
	OverQuota    Outcome = "OverQuota"    // its customer's quota was used up or unavailable; includes plain requests
	Left         Outcome = "Left"         // its caller disconnected, or its deadline passed
	Broken       Outcome = "Broken"       // its response was interrupted
	NoEnd        Outcome = "NoEnd"        // its VM stopped, or the log ended, before its end
)

// outcomeOrder is the order in which Counts lists the outcomes.
var outcomeOrder = []Outcome{InTime, LateReturned, LatePlace, LatePrompt, LateBegin, Refused, RefusedAgain, OverQuota, Left, Broken, NoEnd}

type (
	// Outcome is the outcome of a generation: a request to a service with model engines.
	Outcome string

	// Outcomes counts the outcomes of the generations in many log files, and
	// thereby shows where generations are lost under a load. The zero value is
	// ready to use.
	Outcomes struct {
		// SkippedLines counts the lines that are not log lines of a VM.
		SkippedLines int

		lines map[string][]Line
	}

	// OutcomeCount counts the generations with one outcome.
	OutcomeCount struct {
		Outcome       Outcome
		Count         int
		PromptTokens  int               // sum over their prompts
		CountByPeriod map[time.Time]int // number that started in each period of two seconds
	}
)

// periodLength is the length of the periods by which generations are counted. A burst
// of requests lasts for several periods.
const periodLength = 2 * time.Second

// Read reads the lines of one file.
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

// Counts lists the outcomes that occurred, from best to worst.
func (ls *Outcomes) Counts() []OutcomeCount {
	byOutcome := make(map[Outcome]*OutcomeCount)
	for _, lines := range ls.lines {
		slices.SortStableFunc(lines, func(la, lb Line) int { return strings.Compare(la.Time, lb.Time) })
		placed, ok := lastEvent(lines, event.RelayPlaced, event.RelayNoPlace)
		var outcome Outcome
		switch {
		case ok:
			outcome = outcomeOf(lines, placed)
		case refusedOverQuota(lines):
			outcome = OverQuota
		default:
			continue // not a generation
		}
		lo := byOutcome[outcome]
		if lo == nil {
			lo = &OutcomeCount{Outcome: outcome, CountByPeriod: make(map[time.Time]int)}
			byOutcome[outcome] = lo
		}
		lo.Count++
		lo.PromptTokens += fieldInt(placed, "Tokens")
		if at, err := time.Parse(time.RFC3339Nano, lines[0].Time); err == nil {
			lo.CountByPeriod[at.Truncate(periodLength)]++
		}
	}
	var out []OutcomeCount
	for _, outcome := range outcomeOrder {
		if lo := byOutcome[outcome]; lo != nil {
			out = append(out, *lo)
		}
	}
	return out
}

// refusedOverQuota reports whether a request was refused before its placement because
// its customer's quota was used up or unavailable.
func refusedOverQuota(lines []Line) bool {
	end, ok := lastEvent(lines, event.RelayRefused)
	why := fieldText(end, "Reason")
	return ok && (why == string(refusal.ShareExceeded) || why == string(refusal.QuotaAway))
}

// outcomeOf returns the outcome of a generation; placed is the last line about its
// placement.
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

// String formats the count for people, with the periods that have the most first.
func (lo OutcomeCount) String() string {
	var sb strings.Builder
	if lo.Outcome == OverQuota {
		fmt.Fprintf(&sb, "%-13s %6d requests, including plain ones; most at", lo.Outcome, lo.Count)
	} else {
		fmt.Fprintf(&sb, "%-13s %6d generations, %6.0f prompt tokens on average; most at", lo.Outcome, lo.Count, float64(lo.PromptTokens)/float64(max(1, lo.Count)))
	}
	periods := slices.SortedFunc(maps.Keys(lo.CountByPeriod), func(ta, tb time.Time) int {
		return cmp.Or(cmp.Compare(lo.CountByPeriod[tb], lo.CountByPeriod[ta]), ta.Compare(tb))
	})
	for _, at := range periods[:min(3, len(periods))] {
		fmt.Fprintf(&sb, " %s (%d)", at.Format(time.TimeOnly), lo.CountByPeriod[at])
	}
	return sb.String()
}

// fieldDuration returns the duration in a field; zero if the line has none.
func fieldDuration(ln Line, field string) time.Duration {
	took, err := time.ParseDuration(fieldText(ln, field))
	if err != nil {
		return 0 // older versions omit the field or write it in another form
	}
	return took
}

// fieldInt returns the integer in a field; zero if the line has none.
func fieldInt(ln Line, field string) int {
	val, _ := ln.Fields[field].(float64)
	return int(val)
}
