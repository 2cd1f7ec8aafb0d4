package commander

import (
	"context"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:         "report",
		Usage:        "print a report",
		OnUsageError: asUsage,
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usagef("unknown report %q", cmd.Args().First())
			}
			return usagef("name the report: burn")
		},
		Commands: []*cli.Command{{
			Name:         "burn",
			Usage:        "print how fast the workspaces use up their service-level objectives",
			OnUsageError: asUsage,
			Flags:        []cli.Flag{entryFlag()},
			Action: func(context.Context, *cli.Command) error {
				return errors.NotImplementedf("report on service-level burn")
			},
		}},
	}
}
