// Package cli implements the command line of alderdyke.
//
// The subcommands run, check, demo, trace and losses need no running VM; publish,
// templates, status, explain, order and drain send a request to one VM's operator
// address. Errors go to standard error and results to standard output, and the
// exit code tells them apart.
//
// # Usage
//
//	pg := cli.Program{Run: entry.Run, Demo: demo.Run, Version: "0.1"}
//	os.Exit(pg.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"alderdyke/internal/operator"
	"alderdyke/internal/settings"
	"alderdyke/pkg/place"
)

// Exit codes.
const (
	ExitOK      = 0 // success
	ExitFailed  = 1 // failure; a retry may help
	ExitUsage   = 2 // invalid command line
	ExitRefused = 3 // settings, a template or a publication was not accepted
	ExitInDoubt = 4 // a publication or an order may have taken effect; repeat it, a publication with the same ID
)

// Environment variables.
const (
	// AddressVariable names the variable with the VM's operator address.
	AddressVariable = "ALDERDYKE_ADDRESS"
	// TokenVariable names the variable with the operators' token.
	TokenVariable = "ALDERDYKE_TOKEN"
)

type (
	// Program is the command line and the functions that it calls. Set the
	// exported fields before Main.
	Program struct {
		Run func(ctx context.Context, set settings.Settings) error // runs an entry VM until the context ends
		// Demo runs the demonstration. With a directory it runs only the stand-ins
		// of the platform and the backend servers, and writes settings for VMs
		// there.
		Demo    func(ctx context.Context, dir string, out io.Writer) error
		Version string
		Getenv  func(key string) string // nil: os.Getenv
	}

	// usageError reports an invalid command line.
	usageError struct {
		message string
	}

	// refusedError reports a publication that was rejected.
	refusedError struct {
		reply operator.PublishReply
	}

	// streams are the outputs of a command.
	streams struct {
		out io.Writer
		err io.Writer
	}
)

func (ue usageError) Error() string { return ue.message }

func (re refusedError) Error() string {
	return fmt.Sprintf("not accepted: %s; revision %d is in force; revise the template from it and publish with --base %d",
		re.reply.Reason, re.reply.Current, re.reply.Current)
}

// Main executes one command line, given without the program's name, and returns
// the exit code. When the context ends, a running VM or demonstration is stopped
// gracefully.
func (pg Program) Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if pg.Getenv == nil {
		pg.Getenv = os.Getenv
	}
	st := streams{out: stdout, err: stderr}
	cm, err := pg.parse(args)
	if err == nil {
		err = pg.execute(ctx, cm, st)
	}
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, err)
	if ue := (usageError{}); errors.As(err, &ue) {
		fmt.Fprintln(stderr, "See alderdyke --help, or alderdyke COMMAND --help.")
	}
	return exitCode(err)
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var (
		ue usageError
		re refusedError
		fa operator.Fault
		pe place.Error
	)
	switch {
	case errors.As(err, &ue):
		return ExitUsage
	case errors.As(err, &re), errors.As(err, &pe):
		return ExitRefused
	case errors.As(err, &fa) && fa.Reason == operator.InvalidTemplate:
		return ExitRefused
	case errors.As(err, &fa) && fa.Reason == operator.InDoubt:
		return ExitInDoubt
	default:
		return ExitFailed
	}
}
