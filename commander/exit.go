package commander

import (
	"context"
	"fmt"
	"io"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/publisher"
	"github.com/lovagelever/lovagelever/yamlparser"
)

// Exit codes of the program.
const (
	ExitOK = iota
	ExitFailure
	ExitUsage
	ExitInvalidFile
	ExitConflict
	ExitNotInForce
	ExitOutcomeUnknown
)

// ErrUsage is the type of an error in the arguments or flags of the command line.
const ErrUsage = errors.ConstError("usage")

// Main runs the command line, prints its error to the error output and returns the exit code.
func Main(ctx context.Context, args []string, run Runner, gates ...GateRunner) int {
	root := New(run, gates...)
	err := root.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	printError(root.ErrWriter, err)
	return ExitCode(err)
}

// printError prints problems of files without a prefix, so that each line begins with the file name.
func printError(out io.Writer, err error) {
	if prs, typed := errors.AsType[yamlparser.Problems](err); typed {
		_, _ = fmt.Fprintln(out, prs)
		return
	}
	_, _ = fmt.Fprintf(out, "lovagelever: %v\n", err)
}

// ExitCode returns the exit code for an error of the command line, or ExitOK for nil.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.HasType[yamlparser.Problems](err), errors.Is(err, publisher.ErrInvalid):
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

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return errors.WithType(err, ErrUsage)
}
