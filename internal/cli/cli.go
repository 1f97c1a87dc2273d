// Package cli is the command line of alderdyke.
//
// The subcommands run, check and demo need no VM; publish, templates, status,
// explain, order and drain ask one VM at its address for operators. Problems go to
// the standard error, results to the standard output, and the exit code tells
// which it was.
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
	ExitOK      = 0 // it was done
	ExitFailed  = 1 // it was not done; trying again may help
	ExitUsage   = 2 // the command line is wrong
	ExitRefused = 3 // settings, a template or a publication was not accepted
	ExitInDoubt = 4 // a publication may have taken effect; repeat it with the same ID
)

// Environment variables.
const (
	// AddressVariable holds the VM's address for operators.
	AddressVariable = "ALDERDYKE_ADDRESS"
	// TokenVariable holds the operators' token.
	TokenVariable = "ALDERDYKE_TOKEN"
)

type (
	// Program is the command line and what it starts. Set the exported
	// fields before Main.
	Program struct {
		Run func(ctx context.Context, set settings.Settings) error // runs an entry VM until the context ends
		// Demo runs the demonstration; with a folder, only its stand-ins.
		Demo    func(ctx context.Context, dir string, out io.Writer) error
		Version string
		Getenv  func(key string) string // os.Getenv if nil
	}

	// usageError is a command line that can't be understood.
	usageError struct {
		message string
	}

	// refusedError is a publication that was decided against.
	refusedError struct {
		reply operator.PublishReply
	}

	// streams are where a command writes its results.
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

// Main carries out one command line, without the program's name, and returns
// the exit code. When the context ends, what runs is stopped in an orderly
// way.
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

// exitCode tells the exit code of an error.
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
