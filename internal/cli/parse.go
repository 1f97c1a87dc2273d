package cli

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"alderdyke/internal/engine"
	"alderdyke/internal/operator"
	"alderdyke/internal/settings"
)

type (
	// command is one parsed command line: help, version, run, check, demo,
	// publish, templates, status, explain, trace, losses, order or drain.
	command interface{ command() }

	helpCommand    struct{ text string }
	versionCommand struct{}
	runCommand     struct{ file string }
	checkCommand   struct {
		file      string
		templates []string
	}
	demoCommand    struct{ dir string }
	publishCommand struct {
		client operator.Client
		file   string
		base   uint64
		id     string
	}
	templatesCommand struct {
		client   operator.Client
		customer string // empty: list all
		json     bool
	}
	statusCommand struct {
		client operator.Client
		json   bool
	}
	explainCommand struct {
		client        operator.Client
		customer, key string
		json          bool
	}
	traceCommand struct {
		request string
		files   []string
	}
	lossesCommand struct{ files []string }
	drainCommand  struct{ client operator.Client }
	orderCommand  struct {
		client operator.Client
		order  operator.Order
	}

	// options holds the values of all flags and positional arguments.
	options struct {
		help, version, json bool
		first, second       string // positional arguments
		address, tokenFile  string
		base                uint64
		id                  string
	}

	// subcommand declares one subcommand.
	subcommand struct {
		name, help string
		positional []string // names; a name in brackets is optional
		variadic   bool     // any number of arguments may follow
		flags      func(sc *flaggy.Subcommand, op *options)
	}
)

func (helpCommand) command()      {}
func (versionCommand) command()   {}
func (runCommand) command()       {}
func (checkCommand) command()     {}
func (demoCommand) command()      {}
func (publishCommand) command()   {}
func (templatesCommand) command() {}
func (statusCommand) command()    {}
func (explainCommand) command()   {}
func (traceCommand) command()     {}
func (lossesCommand) command()    {}
func (drainCommand) command()     {}
func (orderCommand) command()     {}

var subcommands = []subcommand{
	{name: "run", help: "Run one entry VM until it is told to stop (SIGINT or SIGTERM begins a planned stop).", positional: []string{"SETTINGS"}},
	{name: "check", help: "Check a settings file and any number of templates, without starting anything.", positional: []string{"SETTINGS", "[TEMPLATE...]"}, variadic: true},
	{name: "publish", help: "Publish a customer's template.", positional: []string{"TEMPLATE"}, flags: publishFlags},
	{name: "templates", help: "List the templates in force, or print one of them as TOML.", positional: []string{"[CUSTOMER]"}, flags: readFlags},
	{name: "status", help: "Show the state of a VM and its view of the fleet.", flags: readFlags},
	{name: "explain", help: "Show the history of a request; any VM can collect it.", positional: []string{"CUSTOMER", "KEY"}, flags: readFlags},
	{name: "trace", help: "Show the history and the outcome of a request from log files of VMs, without a running VM.", positional: []string{"REQUEST", "FILE"}, variadic: true},
	{name: "losses", help: "Count the outcomes of the generations from log files of VMs: in time, late and why, refused, lost; and when.", positional: []string{"FILE"}, variadic: true},
	{name: "order", help: "Order a model engine to load a model, an adapter or a version: load-model, load-adapter or load-version, and its name. Send the order to the VM that schedules the engine; any other VM replies with the name of that one.", positional: []string{"SERVER", "KIND"}, variadic: true, flags: clientFlags},
	{name: "drain", help: "Begin a planned stop of a VM; no request in progress is interrupted.", flags: clientFlags},
	{name: "demo", help: "Run three entry VMs, stand-ins of the platform and the backend servers, and some callers, in this process. With DIR: run only the stand-ins, and write the settings for three VMs to DIR, to be started by hand.", positional: []string{"[DIR]"}},
}

func clientFlags(sc *flaggy.Subcommand, op *options) {
	sc.String(&op.address, "a", "address", "The VM's address for operators, as IP:port. Or set "+AddressVariable+".")
	sc.String(&op.tokenFile, "t", "token-file", "File that holds the operators' token. Or set "+TokenVariable+".")
}

func readFlags(sc *flaggy.Subcommand, op *options) {
	clientFlags(sc, op)
	sc.Bool(&op.json, "j", "json", "Print the VM's reply as JSON.")
}

func publishFlags(sc *flaggy.Subcommand, op *options) {
	clientFlags(sc, op)
	sc.UInt64(&op.base, "b", "base", "Revision that the template was revised from; 0 for a new customer.")
	sc.String(&op.id, "i", "id", "ID of the publication, to repeat one that is in doubt; generated if not given.")
}

// parse parses a command line.
func (pg Program) parse(args []string) (command, error) {
	op := &options{}
	pr, byName := newParser(op)
	name := ""
	if len(args) > 0 {
		name = args[0]
	}
	sub, known := byName[name]
	if !known && name != "" && !strings.HasPrefix(name, "-") {
		return nil, usageError{fmt.Sprintf("there is no command %.40q", name)}
	}
	if !known {
		sub = &pr.Subcommand
	}
	if err := checkFlags(sub, args); err != nil {
		return nil, err
	}
	if err := pr.ParseArgs(args); err != nil {
		return nil, usageError{err.Error()}
	}
	if op.help || (name == "" && !op.version) {
		return help(pr)
	}
	if op.version || !known {
		return versionCommand{}, nil
	}
	if err := checkPositional(name, op, pr.TrailingArguments); err != nil {
		return nil, err
	}
	return pg.buildCommand(name, op, pr.TrailingArguments)
}

// newParser returns a parser that neither prints nor exits.
func newParser(op *options) (*flaggy.Parser, map[string]*flaggy.Subcommand) {
	pr := flaggy.NewParser("alderdyke")
	pr.Description = "Routes requests between callers and separate prefill and decode pools of language-model engines."
	pr.ShowHelpOnUnexpected = false
	pr.ShowHelpWithHFlag = false
	pr.ShowVersionWithVersionFlag = false
	pr.ShowCompletion = false
	pr.Bool(&op.help, "h", "help", "Show this help.")
	pr.Bool(&op.version, "", "version", "Show the version.")
	byName := map[string]*flaggy.Subcommand{}
	for _, sub := range subcommands {
		sc := flaggy.NewSubcommand(sub.name)
		sc.Description = sub.help
		sc.Bool(&op.help, "h", "help", "Show this help.")
		for ix, name := range sub.positional {
			sc.AddPositionalValue([]*string{&op.first, &op.second}[ix], name, ix+1, false, "")
		}
		if sub.flags != nil {
			sub.flags(sc, op)
		}
		pr.AttachSubcommand(sc, 1)
		byName[sub.name] = sc
	}
	return pr, byName
}

// checkFlags rejects flags that the subcommand does not have, and a last flag
// without a value.
func checkFlags(sub *flaggy.Subcommand, args []string) error {
	for ix, arg := range args {
		if arg == "--" {
			return nil
		}
		if !strings.HasPrefix(arg, "-") || arg == "-" {
			continue
		}
		name, _, valued := strings.Cut(strings.TrimLeft(arg, "-"), "=")
		fl := findFlag(sub, name)
		if fl == nil {
			return usageError{fmt.Sprintf("there is no flag %.40q here", arg)}
		}
		_, isBool := fl.AssignmentVar.(*bool)
		if !isBool && !valued && ix+1 == len(args) {
			return usageError{fmt.Sprintf("the flag %q needs a value", arg)}
		}
	}
	return nil
}

func findFlag(sub *flaggy.Subcommand, name string) *flaggy.Flag {
	for _, fl := range sub.Flags {
		if fl.HasName(name) {
			return fl
		}
	}
	return nil
}

// checkPositional rejects missing and surplus arguments.
func checkPositional(name string, op *options, more []string) error {
	for _, sub := range subcommands {
		if sub.name != name {
			continue
		}
		for ix, want := range sub.positional {
			if *[]*string{&op.first, &op.second}[ix] == "" && !strings.HasPrefix(want, "[") {
				return usageError{fmt.Sprintf("%s needs %s", name, want)}
			}
		}
		if len(more) > 0 && !sub.variadic {
			return usageError{fmt.Sprintf("%s takes no argument %.40q", name, more[0])}
		}
	}
	return nil
}

// buildCommand returns the command for the parsed options.
func (pg Program) buildCommand(name string, op *options, more []string) (command, error) {
	switch name {
	case "run":
		return runCommand{file: op.first}, nil
	case "demo":
		return demoCommand{dir: op.first}, nil
	case "check":
		if op.second != "" {
			more = append([]string{op.second}, more...)
		}
		return checkCommand{file: op.first, templates: more}, nil
	case "losses":
		return lossesCommand{files: append([]string{op.first}, more...)}, nil
	case "trace":
		return traceCommand{request: op.first, files: append([]string{op.second}, more...)}, nil
	}
	cl, err := pg.client(op)
	if err != nil {
		return nil, err
	}
	switch name {
	case "publish":
		return publishCommand{client: cl, file: op.first, base: op.base, id: op.id}, nil
	case "templates":
		return templatesCommand{client: cl, customer: op.first, json: op.json}, nil
	case "explain":
		return explainCommand{client: cl, customer: op.first, key: op.second, json: op.json}, nil
	case "order":
		return parseOrder(cl, op, more)
	case "drain":
		return drainCommand{client: cl}, nil
	default:
		return statusCommand{client: cl, json: op.json}, nil
	}
}

// orderKinds maps the kinds of orders as written on the command line.
var orderKinds = map[string]engine.OrderKind{
	"load-model":   engine.LoadModel,
	"load-adapter": engine.LoadAdapter,
	"load-version": engine.LoadVersion,
}

func parseOrder(cl operator.Client, op *options, more []string) (command, error) {
	kind, ok := orderKinds[op.second]
	if !ok {
		return nil, usageError{fmt.Sprintf("there is no order %.40q; write load-model, load-adapter or load-version", op.second)}
	}
	if len(more) != 1 {
		return nil, usageError{"order needs SERVER, KIND and the name of what to load"}
	}
	return orderCommand{client: cl, order: operator.Order{Server: op.first, Kind: kind, Name: more[0]}}, nil
}

// client creates the client from the flags and the environment.
func (pg Program) client(op *options) (operator.Client, error) {
	address := op.address
	if address == "" {
		address = pg.Getenv(AddressVariable)
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return operator.Client{}, usageError{fmt.Sprintf(
			"the address for operators is %.60q; give --address or set %s to an IP number and a port, such as 10.0.0.1:9090", address, AddressVariable)}
	}
	token, err := pg.token(op.tokenFile)
	if err != nil {
		return operator.Client{}, err
	}
	return operator.Client{Address: address, Token: token}, nil
}

// token reads the operators' token. Its errors never contain the token.
func (pg Program) token(file string) (settings.Secret, error) {
	value, from := pg.Getenv(TokenVariable), TokenVariable
	if file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return settings.Secret{}, fmt.Errorf("read the operators' token: %w", err)
		}
		value, from = string(text), file
	}
	if value == "" {
		return settings.Secret{}, usageError{"give the operators' token with --token-file FILE or in " + TokenVariable}
	}
	var token settings.Secret
	if err := token.UnmarshalText([]byte(strings.TrimSpace(value))); err != nil {
		return settings.Secret{}, usageError{fmt.Sprintf("the token in %s is not valid: %v", from, err)}
	}
	return token, nil
}

// help renders the help of the subcommand in use.
func help(pr *flaggy.Parser) (command, error) {
	var (
		page flaggy.Help
		text bytes.Buffer
	)
	page.ExtractValues(pr, "")
	if err := pr.HelpTemplate.Execute(&text, page); err != nil {
		return nil, fmt.Errorf("write help: %w", err)
	}
	return helpCommand{text: strings.TrimSpace(text.String())}, nil
}
