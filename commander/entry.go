package commander

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/configurer"
)

func entryCommand(run Runner) *cli.Command {
	return &cli.Command{
		Name:         "entry",
		Usage:        "run one entry with the settings of a file",
		Description:  "Runs until SIGTERM or SIGINT, then drains: it takes no new work and lets requests in progress end.",
		OnUsageError: usageError,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings of the entry, a YAML `FILE`"},
			&cli.BoolFlag{Name: "print-settings", Usage: "print the effective settings with their defaults and stop"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			file := cmd.String("settings")
			if file == "" {
				return usagef("give --settings FILE")
			}
			set, err := configurer.Load(file)
			if err != nil {
				return err
			}
			if cmd.Bool("print-settings") {
				return configurer.Print(cmd.Root().Writer, set)
			}
			return run.Run(ctx, set)
		},
	}
}
