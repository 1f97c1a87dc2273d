package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/google/uuid"

	"alderdyke/internal/operator"
	"alderdyke/internal/settings"
	"alderdyke/internal/trace"
	"alderdyke/pkg/place"
	"alderdyke/pkg/template"
)

// execute executes a command.
func (pg Program) execute(ctx context.Context, cm command, st streams) error {
	switch cm := cm.(type) {
	case helpCommand:
		_, err := fmt.Fprintln(st.out, cm.text)
		return err
	case versionCommand:
		_, err := fmt.Fprintln(st.out, "alderdyke", pg.Version)
		return err
	case runCommand:
		return pg.run(ctx, cm)
	case demoCommand:
		if err := pg.Demo(ctx, cm.dir, st.out); err != nil {
			return fmt.Errorf("run the demonstration: %w", err)
		}
		return nil
	case checkCommand:
		return check(cm, st)
	case publishCommand:
		return publish(ctx, cm, st)
	case templatesCommand:
		return templates(ctx, cm, st)
	case statusCommand:
		return status(ctx, cm, st)
	case explainCommand:
		return explain(ctx, cm, st)
	case traceCommand:
		return traceRequest(cm, st)
	case lossesCommand:
		return countLosses(cm, st)
	case orderCommand:
		return sendOrder(ctx, cm, st)
	case drainCommand:
		return drain(ctx, cm, st)
	default:
		return fmt.Errorf("unknown command %T", cm)
	}
}

func (pg Program) run(ctx context.Context, cm runCommand) error {
	set, err := settings.Load(cm.file)
	if err != nil {
		return err // already names the file
	}
	if err := pg.Run(ctx, set); err != nil {
		return fmt.Errorf("run VM %s: %w", set.ID, err)
	}
	return nil
}

// check checks all files and reports the problems of all of them together.
func check(cm checkCommand, st streams) error {
	var all place.Errors
	if _, err := settings.Load(cm.file); err != nil {
		all = append(all, problemsOf(cm.file, err)...)
	} else {
		fmt.Fprintf(st.out, "%s: valid settings\n", cm.file)
	}
	byCustomer, byHash := map[string]string{}, map[string]string{}
	for _, file := range cm.templates {
		tpl, err := readTemplate(file)
		if err != nil {
			all = append(all, problemsOf(file, err)...)
			continue
		}
		found := findConflicts(file, tpl, byCustomer, byHash)
		if len(found) == 0 {
			fmt.Fprintf(st.out, "%s: valid template of customer %s\n", file, tpl.Customer)
		}
		all = append(all, found...)
	}
	return all.Err()
}

// findConflicts reports the customer and the API keys that a template shares with
// earlier templates: each customer has one template, and each API key one customer.
func findConflicts(file string, tpl template.Template, byCustomer, byHash map[string]string) place.Errors {
	var found place.Errors
	if other, taken := byCustomer[tpl.Customer]; taken {
		found = append(found, place.Error{File: file, Key: "Customer", Value: tpl.Customer, Mend: "keep one template for each customer; " + other + " is already one"})
	}
	byCustomer[tpl.Customer] = file
	for ix, hash := range tpl.KeyHashes {
		if other, taken := byHash[hash]; taken {
			found = append(found, place.Error{File: file, Key: fmt.Sprintf("KeyHashes[%d]", ix), Mend: "give each customer its own API keys; " + other + " already has this one"})
		}
		byHash[hash] = file
	}
	return found
}

func problemsOf(file string, err error) place.Errors {
	var es place.Errors
	if errors.As(err, &es) {
		return es
	}
	return place.Errors{{File: file, Mend: err.Error()}}
}

// readTemplate reads one template. It reads one byte more than is allowed, so that
// a template that is too long is detected.
func readTemplate(file string) (template.Template, error) {
	fl, err := os.Open(file)
	if err != nil {
		return template.Template{}, place.Errors{{File: file, Mend: "give a file that can be read: " + err.Error()}}
	}
	defer fl.Close()
	text, err := io.ReadAll(io.LimitReader(fl, template.MaxTextBytes+1))
	if err != nil {
		return template.Template{}, place.Errors{{File: file, Mend: "give a file that can be read: " + err.Error()}}
	}
	return template.Parse(file, text)
}

func publish(ctx context.Context, cm publishCommand, st streams) error {
	tpl, err := readTemplate(cm.file)
	if err != nil {
		return err // already names the file
	}
	again := cm.id != "" // --id is given only to repeat a publication that is in doubt
	if !again {
		cm.id = uuid.NewString()
	}
	rep, err := cm.client.Publish(ctx, operator.Publication{
		ID: cm.id, Customer: tpl.Customer, Base: cm.base, Template: tpl, Again: again,
	})
	var fa operator.Fault
	if errors.As(err, &fa) && fa.Reason == operator.InDoubt {
		return fmt.Errorf("publish %s: %w\nrepeat it with: alderdyke publish %s --base %d --id %s", cm.file, err, cm.file, cm.base, cm.id)
	}
	if err != nil {
		return fmt.Errorf("publish %s: %w", cm.file, err)
	}
	if !rep.Accepted {
		return refusedError{reply: rep}
	}
	fmt.Fprintf(st.out, "accepted: revision %d of customer %s\n", rep.Revision, tpl.Customer)
	return nil
}

// templates prints one customer's template, or lists the revisions in force.
func templates(ctx context.Context, cm templatesCommand, st streams) error {
	if cm.customer != "" {
		rep, err := cm.client.Template(ctx, cm.customer)
		if err != nil {
			return fmt.Errorf("get the template of %s: %w", cm.customer, err)
		}
		return show(st.out, cm.json, rep, showTemplate)
	}
	list, err := cm.client.Templates(ctx)
	if err != nil {
		return fmt.Errorf("list the templates: %w", err)
	}
	return show(st.out, cm.json, list, showTemplates)
}

func status(ctx context.Context, cm statusCommand, st streams) error {
	rep, err := cm.client.Status(ctx)
	if err != nil {
		return fmt.Errorf("get the status: %w", err)
	}
	return show(st.out, cm.json, rep, showStatus)
}

// traceRequest reads log files and prints the history and the outcome of a request.
func traceRequest(cm traceCommand, st streams) error {
	tr := trace.Trace{Request: cm.request}
	if err := readLogs(&tr, cm.files); err != nil {
		return err
	}
	verdict, err := tr.Summary()
	if err != nil {
		return fmt.Errorf("trace request %q: %w", cm.request, err)
	}
	for _, ln := range tr.Lines() {
		fmt.Fprintln(st.out, ln)
	}
	fmt.Fprintf(st.out, "%s: %s\n", cm.request, verdict)
	reportSkipped(tr.SkippedLines, st)
	return nil
}

// countLosses reads log files and prints the outcomes of the generations.
func countLosses(cm lossesCommand, st streams) error {
	var ls trace.Outcomes
	if err := readLogs(&ls, cm.files); err != nil {
		return err
	}
	for _, lo := range ls.Counts() {
		fmt.Fprintln(st.out, lo)
	}
	reportSkipped(ls.SkippedLines, st)
	return nil
}

func reportSkipped(lines int, st streams) {
	if lines > 0 {
		fmt.Fprintf(st.err, "skipped %d lines that are not log lines of a VM or are truncated\n", lines)
	}
}

// readLogs passes the content of log files to a reader of their lines.
func readLogs(to interface{ Read(rd io.Reader) error }, names []string) error {
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("open a log file: %w", err)
		}
		err = to.Read(file)
		file.Close()
		if err != nil {
			return fmt.Errorf("read %s: %w", name, err)
		}
	}
	return nil
}

func explain(ctx context.Context, cm explainCommand, st streams) error {
	rep, err := cm.client.Explain(ctx, cm.customer, cm.key)
	if err != nil {
		return fmt.Errorf("explain request %q: %w", cm.key, err)
	}
	return show(st.out, cm.json, rep, showExplain)
}

func sendOrder(ctx context.Context, cm orderCommand, st streams) error {
	rep, err := cm.client.Order(ctx, cm.order)
	if err != nil {
		return fmt.Errorf("order %s: %w", cm.order.Server, err)
	}
	fmt.Fprintf(st.out, "executed: %s %s at %s, sent by VM %s\n", rep.Kind, rep.Name, rep.Server, rep.VM)
	return nil
}

func drain(ctx context.Context, cm drainCommand, st streams) error {
	if err := cm.client.Drain(ctx); err != nil {
		return fmt.Errorf("begin the planned stop: %w", err)
	}
	fmt.Fprintln(st.out, "the planned stop has begun; alderdyke status shows how many requests are in progress")
	return nil
}
