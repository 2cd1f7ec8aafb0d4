package commander

import (
	"context"

	"github.com/urfave/cli/v3"
)

func locateCommand() *cli.Command {
	return &cli.Command{
		Name:         "locate",
		Usage:        "ask which entry a workspace uses",
		OnUsageError: usageError,
		Flags: []cli.Flag{
			entryFlag(),
			&cli.StringFlag{Name: "workspace", Usage: "`NAME` of the workspace"},
			&cli.StringFlag{Name: "model", Usage: "`NAME` of the model that it will ask"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.String("workspace") == "" {
				return usagef("give --workspace NAME")
			}
			req, err := entries(cmd)
			if err != nil {
				return err
			}
			loc, err := req.Locate(ctx, cmd.String("workspace"), cmd.String("model"))
			if err != nil {
				return err
			}
			return printJSON(cmd, loc)
		},
	}
}
