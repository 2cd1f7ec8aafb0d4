package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/pinpointer"
	"github.com/lovagelever/lovagelever/publisher"
)

// The exit codes of the program.
const (
	ExitOK = iota
	ExitFailure
	ExitUsage
	ExitInvalidFile
	ExitConflict
	ExitNotInForce
	ExitOutcomeUnknown
)

// ErrUsage is the type of a command line that can't be followed.
const ErrUsage = errors.ConstError("usage")

// Main runs the command line, writes its error and returns the exit code.
func Main(ctx context.Context, args []string, run Runner, gates ...GateRunner) int {
	root := New(run, gates...)
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	printError(root.ErrWriter, err)
	return ExitCode(err)
}

// printError writes problems of files as they are, so that their lines begin with the file.
func printError(out io.Writer, err error) {
	if prs, typed := errors.AsType[pinpointer.Problems](err); typed {
		_, _ = fmt.Fprintln(out, prs)
		return
	}
	_, _ = fmt.Fprintf(out, "lovagelever: %v\n", err)
}

// ExitCode returns the exit code of an error of the command line.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.HasType[pinpointer.Problems](err), errors.Is(err, publisher.ErrInvalid):
		return ExitInvalidFile
	case errors.Is(err, publisher.ErrConflict):
		return ExitConflict
	case errors.Is(err, publisher.ErrNotInForce):
		return ExitNotInForce
	case errors.Is(err, publisher.ErrOutcomeUnknown):
		return ExitOutcomeUnknown
	default:
		return ExitFailure
	}
}

func usagef(format string, args ...any) error {
	return errors.WithType(errors.BadRequestf(format, args...), ErrUsage)
}

func asUsage(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return errors.WithType(err, ErrUsage)
}
