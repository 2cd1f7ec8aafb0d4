package commander

import (
	"context"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/reporter"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:         "report",
		Usage:        "print a report",
		OnUsageError: usageError,
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usagef("unknown report %q", cmd.Args().First())
			}
			return usagef("name the report: burn")
		},
		Commands: []*cli.Command{{
			Name:         "burn",
			Usage:        "print how fast the workspaces use up their service-level objectives",
			OnUsageError: usageError,
			Flags:        []cli.Flag{entryFlag(), &cli.BoolFlag{Name: "json", Usage: "print the answer as JSON"}},
			Action:       reportBurn,
		}},
	}
}

func reportBurn(ctx context.Context, cmd *cli.Command) error {
	req, err := entries(cmd)
	if err != nil {
		return err
	}
	rep, err := reporter.New(req).Report(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if cmd.Bool("json") {
		return printJSON(cmd, rep)
	}
	return rep.Write(cmd.Root().Writer)
}
