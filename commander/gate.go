package commander

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/gateconfigurer"
)

// GateRunner runs one entry on a platform, with the settings from a file, until the context is canceled.
type GateRunner func(ctx context.Context, file string) error

func gateCommand(run GateRunner) *cli.Command {
	return &cli.Command{
		Name:         "gate",
		Usage:        "run one entry on a platform, with the settings of a file",
		Description:  "Runs until SIGTERM or SIGINT, then takes no new callers and lets requests in progress end. SIGHUP has it read the settings again.",
		OnUsageError: usageError,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings of the entry, a YAML `FILE`", Sources: cli.EnvVars("LOVAGELEVER_SETTINGS")},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and stop"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			file := cmd.String("settings")
			if file == "" {
				return usagef("give --settings FILE")
			}
			if cmd.Bool("check") {
				_, err := gateconfigurer.Load(file)
				return err
			}
			return run(ctx, file)
		},
	}
}
