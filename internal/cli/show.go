package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"alderdyke/internal/event"
	"alderdyke/internal/operator"
	"alderdyke/pkg/template"
)

// padding is the number of spaces between two columns.
const padding = 2

// show writes a reply as JSON, or as text with the given function.
func show[Reply any](out io.Writer, asJSON bool, rep Reply, plain func(out io.Writer, rep Reply) error) error {
	if !asJSON {
		tw := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
		if err := plain(tw, rep); err != nil {
			return fmt.Errorf("write the reply: %w", err)
		}
		if err := tw.Flush(); err != nil {
			return fmt.Errorf("write the reply: %w", err)
		}
		return nil
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(rep); err != nil {
		return fmt.Errorf("write the reply: %w", err)
	}
	return nil
}

// showTemplate writes a template in a form that can be revised and published.
func showTemplate(out io.Writer, rep operator.TemplateReply) error {
	text, err := template.Marshal(rep.Template)
	if err != nil {
		return fmt.Errorf("encode the template in force: %w", err)
	}
	_, err = fmt.Fprintf(out, "# Revision %d; publish a revised one with --base %d\n%s", rep.Revision, rep.Revision, text)
	return err
}

func showTemplates(out io.Writer, list operator.TemplateList) error {
	if !list.Ready {
		fmt.Fprintln(out, "The VM has not received the configuration yet.")
	}
	fmt.Fprintf(out, "CUSTOMER\tREVISION\n")
	for _, rev := range list.Revisions {
		fmt.Fprintf(out, "%s\t%d\n", rev.Customer, rev.Revision)
	}
	return nil
}

func showStatus(out io.Writer, rep operator.Status) error {
	fmt.Fprintf(out, "VM\t%s, incarnation %d, in %s of %s, up %v\n", rep.VM, rep.Incarnation, rep.FailureDomain, rep.Region, rep.Uptime)
	fmt.Fprintf(out, "Draining\t%t\n", rep.Draining)
	fmt.Fprintf(out, "Quorate\t%t\n", rep.Quorate)
	fmt.Fprintf(out, "VMs that keep request keys\t%d\n", rep.Seats)
	fmt.Fprintf(out, "Requests in progress\t%d\n", rep.InProgress)
	fmt.Fprintf(out, "Cancellations not confirmed\t%d\n", rep.Unconfirmed)
	fmt.Fprintf(out, "Answers kept\t%d\n", rep.Kept)
	fmt.Fprintf(out, "Log\toffset %d, ready %t, reachable %t, read %v ago\n", rep.Log.Position, rep.Log.Ready, rep.Log.Reachable, rep.Log.ReadAge)

	fmt.Fprintf(out, "\nVM\tINCARNATION\tFAILURE DOMAIN\tCALLERS\tHEALTH\tLEAVING\tLISTED\n")
	for _, vm := range rep.Fleet {
		fmt.Fprintf(out, "%s\t%d\t%s\t%s\t%s\t%t\t%t\n", vm.ID, vm.Incarnation, vm.FailureDomain, vm.Caller, vm.Health, vm.Leaving, vm.Listed)
	}
	fmt.Fprintf(out, "\nSCHEDULED CELL\tWAITING\tGRANTED\n")
	for _, ce := range rep.Cells {
		fmt.Fprintf(out, "%s\t%d\t%d\n", ce.Name, ce.Waiting, ce.Granted)
	}
	fmt.Fprintf(out, "\nBACKEND SERVER\tSERVICE\tROLE\tRUNNING\tSLOTS\tQUEUED\tREPORT\tLEAVING\n")
	for _, srv := range rep.Backends {
		report := "none"
		if srv.Reported {
			report = srv.ReportAge.String()
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%t\n", srv.ID, srv.Service, srv.Role, srv.Running, srv.Slots, srv.Queued, report, srv.Leaving)
	}
	return nil
}

func showExplain(out io.Writer, rep operator.ExplainReply) error {
	if len(rep.Lines) == 0 {
		fmt.Fprintf(out, "No reachable VM has a record of request %q of customer %s.\n", rep.Key, rep.Customer)
		return nil
	}
	names := map[int]string{}
	for _, ev := range event.Catalogue() {
		names[ev.Number] = ev.Name
	}
	fmt.Fprintf(out, "SINCE\tVM\tEVENT\t\tTEXT\n")
	for _, ln := range rep.Lines {
		fmt.Fprintf(out, "%v\t%s\t%d\t%s\t%s\n", ln.Since, ln.VM, ln.Event, names[ln.Event], ln.Text)
	}
	return nil
}
