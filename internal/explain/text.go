package explain

import (
	"cmp"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"alderdyke/pkg/clock"
)

// none stands for a figure that is not known or does not apply.
const none = "-"

// maxListed bounds the names in one line.
const maxListed = 8

// WriteText writes the explanation for a reader.
func (ex Explanation) WriteText(out io.Writer) error {
	wr := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(name, format string, args ...any) {
		fmt.Fprintf(wr, "%s\t%s\n", name, fmt.Sprintf(format, args...))
	}
	line("VM", "%s, configuration %d", ex.VM, ex.Version)
	if rt := ex.Route; rt != nil {
		line("Route", "%s (%s)", rt.Name, rt.Kind)
		line("Service", "%s", strings.Join(append([]string{rt.Service}, rt.Others...), ", or by chance "))
		line("Customer", "%s", orNone(ex.Customer))
		line("Priority", "%d", rt.Priority)
		line("Objective", "%s", span(rt.Objective))
	}
	if st := ex.Stream; st != nil {
		st.writeText(line)
	}
	if qu := ex.Quota; qu != nil {
		line("Quota", "%s; %.0f tokens needed, %.0f in credit here, %.0f if no keeper responds; kept by %s",
			qu.verdict(), qu.Needed, qu.Credit, qu.Local, strings.Join(qu.Keepers, " and "))
	}
	if po := ex.Poison; po != nil {
		po.writeText(line)
	}
	if gn := ex.Generation; gn != nil {
		gn.writeText(line)
	}
	if rb := ex.Rebalancing; rb != nil {
		rb.writeText(line)
	}
	if de := ex.Decision; de != nil {
		line("Decided by", "%s", de.who())
		line("Choice", "%s", de.choice())
	}
	if rf := ex.Refusal; rf != nil {
		line("Refused", "%s", rf.text())
	}
	for _, note := range ex.Notes {
		line("Note", "%s", note)
	}
	ex.writeCandidates(wr)
	if err := wr.Flush(); err != nil {
		return fmt.Errorf("write the explanation: %w", err)
	}
	if ex.Scheduler == nil {
		return nil
	}
	if _, err := fmt.Fprintln(out, "\nThe scheduler's answer:"); err != nil {
		return fmt.Errorf("write the explanation: %w", err)
	}
	return ex.Scheduler.WriteText(out)
}

func (st *Stream) writeText(line func(name, format string, args ...any)) {
	attempt := ", whose first attempt is not named"
	if st.Resumes != "" {
		attempt = " of attempt " + strconv.Quote(st.Resumes)
	}
	line("Resumes", "after event %q%s", st.After, attempt)
	from := strings.ToLower(st.State)
	if st.State == "Known" {
		from += fmt.Sprintf(" by %s for %s", cmp.Or(st.By, "this VM"), span(st.Age))
	}
	if st.Silent > 0 {
		from += fmt.Sprintf("; %d VMs do not reply", st.Silent)
	}
	if st.State == "Unknown" && st.Sole != "" {
		from += fmt.Sprintf("; only version %s served", st.Sole)
	}
	line("Origin", "%s", from)
	switch {
	case st.Service == "":
		line("Bound to", "%s", none)
	case st.Version == "":
		line("Bound to", "any server of %s, which have no version: %s", st.Service, list(st.Servers))
	default:
		line("Bound to", "version %s of %s: %s", st.Version, st.Service, list(st.Servers))
	}
}

func (rb *Rebalancing) writeText(line func(name, format string, args ...any)) {
	line("Margin", "%.4g standard deviations (%s)", rb.Deviations, rb.Reason)
	for _, mv := range rb.Moves {
		line("Move", "a run of %d tokens of VM %s from %s to %s", mv.Tokens, mv.VM, mv.From, mv.To)
	}
}

func (po *Poison) writeText(line func(name, format string, args ...any)) {
	switch {
	case po.OtherTrial:
		line("Poison", "refused for %s, while the trial of another request is running", span(po.After))
	case po.Verdict == "Refused":
		line("Poison", "refused since %s, for another %s", span(po.Since), span(po.After))
	case po.Verdict == "Trial":
		line("Poison", "would be let through as a trial")
	default:
		line("Poison", "%s", strings.ToLower(po.Verdict))
	}
	if po.Unresolved {
		line("", "calls broke, and it is not known whether their servers crashed")
	}
	for _, pm := range po.Marks {
		what := "the request"
		if pm.Part != "" {
			what = "part " + strconv.Quote(pm.Part)
		}
		line("", "%s (mark %s): %s; crashes %d, weight %.2f, the oldest %s ago", what, pm.Mark, strings.ToLower(pm.Verdict), pm.Crashes, pm.Weight, span(pm.Oldest))
	}
}

func (gn *Generation) writeText(line func(name, format string, args ...any)) {
	line("Size", "%d tokens now, %d expected to come, %d to reserve; an engine's runs may need %s", gn.Tokens, gn.Left, gn.Reserve, count(gn.Limit))
	forecast := "none"
	if gn.Foreseen {
		forecast = "a place in " + span(gn.Wait)
	}
	line("Forecast", "%s; the request waits up to %s", forecast, span(gn.MaxWait))
	line("Bound", "%s", orNone(gn.Bound))
	line("Return", "%s", span(gn.ReturnAfter))
	line("Ahead", "%d requests at other VMs", gn.Ahead)
	switch {
	case gn.AtDecoder:
		line("Prompt", "at the decode engine")
	case gn.Prefill != "":
		line("Prompt", "at %s, expected time %s", gn.Prefill, span(gn.PrefillTime))
	default:
		line("Prompt", "%s", none)
	}
	if gn.Estimated > 0 || gn.Unknown > 0 {
		line("Estimates", "the runs of %d silent VMs are estimated, those of %d are not known", gn.Estimated, gn.Unknown)
	}
	if !gn.Informed {
		line("Note", "not all VMs have reported their runs to this VM")
	}
}

func (ex Explanation) writeCandidates(wr io.Writer) {
	if len(ex.Candidates) == 0 {
		return
	}
	plain := ex.Candidates[0].Plain != nil
	if plain {
		fmt.Fprint(wr, "\nSERVER\tIN FLIGHT\tSLOTS\tPRESSURE\tSTATED\tAGE\tFLEET\tCALLS/S\tNAMED\tPERMIT\tCHANCE\tRESULT\n")
	} else {
		fmt.Fprint(wr, "\nENGINE\tROLE\tRUNS\tSLOTS\tTOKENS\tPEAK\tPROMPTS\tPACE\tAGE\tCALLS/S\tNAMED\tPERMIT\tCHANCE\tRESULT\n")
	}
	for _, ca := range ex.Candidates {
		fmt.Fprintln(wr, strings.Join(ca.columns(), "\t"))
	}
	if ex.Omitted > 0 {
		fmt.Fprintf(wr, "and %d more\n", ex.Omitted)
	}
}

// columns returns the candidate's line of the table.
func (ca Candidate) columns() []string {
	calls, named, chance := none, none, none
	if ca.CallLimit > 0 {
		calls = strconv.FormatFloat(ca.CallLimit, 'g', 3, 64)
	}
	if ca.Permit != nil {
		named = span(ca.Permit.Age)
	}
	if ca.Chance > 0 {
		chance = percent(ca.Chance)
	}
	result := "chosen"
	if ca.PassedOver != "" {
		result = string(ca.PassedOver)
	}
	switch {
	case ca.Plain != nil:
		pl := ca.Plain
		if pl.EjectedFor > 0 {
			result += " for " + span(pl.EjectedFor)
		} else if pl.RestsFor > 0 {
			result += " for " + span(pl.RestsFor)
		}
		stated, age := none, none
		if sl := pl.Stated; sl != nil {
			stated, age = fmt.Sprintf("%d+%d/%d", sl.Running, sl.Waiting, sl.Slots), span(sl.Age)
		}
		fleet := none
		if fl := pl.Fleet; fl != nil && fl.Slots > 0 {
			fleet = fmt.Sprintf("%.1f/%d", fl.Load, fl.Slots)
		}
		return []string{ca.Server, strconv.Itoa(pl.InFlight), strconv.Itoa(pl.Slots), fmt.Sprintf("%.2f", pl.Pressure), stated, age, fleet, calls, named, ca.Permit.text(), chance, result}
	case ca.Engine != nil:
		en := ca.Engine
		if left := max(en.FailedFor, en.RestsFor); left > 0 {
			result += " for " + span(left)
		}
		pace := none
		if en.Pace > 0 {
			pace = fmt.Sprintf("%.2f", en.Pace)
		}
		return []string{ca.Server, ca.Role, strconv.Itoa(en.Runs), count(en.Slots), strconv.Itoa(en.Tokens), count(en.Peak), strconv.Itoa(en.PromptTokens), pace, span(en.Age), calls, named, ca.Permit.text(), chance, result}
	default:
		return []string{ca.Server, result}
	}
}

func (pm *Permit) text() string {
	out, until := none, "room"
	switch {
	case pm == nil || !pm.Needed:
		return none
	case pm.Verdict == "Granted":
		return "granted"
	case pm.Verdict == "Denied":
		out = "denied"
	case pm.Verdict == "Away":
		out, until = "no keeper responds", "expected"
	case pm.Verdict == "Unknown":
		out = "its keepers decide"
	default:
		return "taken by the other VM"
	}
	if pm.Wait > 0 {
		out += ", " + until + " in " + span(pm.Wait)
	}
	return out
}

func (qu *Quota) verdict() string {
	switch qu.Verdict {
	case "Unknown":
		return "its keepers decide"
	case "Denied":
		return fmt.Sprintf("denied, room in %s", span(qu.Wait))
	case "Away":
		return "denied, no keeper responds"
	default:
		return strings.ToLower(qu.Verdict)
	}
}

func (de *Decision) who() string {
	if de.By == Scheduler {
		return fmt.Sprintf("scheduler %s; below is what this VM knows", de.VM)
	}
	return fmt.Sprintf("this VM, %s", de.VM)
}

func (de *Decision) choice() string {
	switch {
	case de.Choice == "":
		return none
	case de.Chance > 0 && de.Chance < 1:
		return fmt.Sprintf("%s, by chance (%s)", de.Choice, percent(de.Chance))
	default:
		return de.Choice
	}
}

func (rf *Refusal) text() string {
	out := rf.Reason
	if rf.Detail != "" {
		out += ": " + rf.Detail
	}
	if rf.Part > 0 && rf.Part < 1 {
		out += fmt.Sprintf(" (%s of the requests, by chance)", percent(rf.Part))
	}
	if rf.RetryAfter > 0 {
		out += "; retry after " + span(rf.RetryAfter)
	}
	return out
}

// list returns the first names of a list.
func list(names []string) string {
	if len(names) == 0 {
		return none
	}
	out := strings.Join(names[:min(len(names), maxListed)], ", ")
	if more := len(names) - maxListed; more > 0 {
		out += fmt.Sprintf(" and %d more", more)
	}
	return out
}

func percent(part float64) string { return fmt.Sprintf("%.0f %%", 100*part) }

// span returns a time; zero is none.
func span(val clock.Millis) string {
	if val <= 0 {
		return none
	}
	return val.String()
}

// count returns a number; zero is none.
func count(val int) string {
	if val == 0 {
		return none
	}
	return strconv.Itoa(val)
}

func orNone(text string) string {
	if text == "" {
		return none
	}
	return text
}
