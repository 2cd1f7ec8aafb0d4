package standincommander

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/logfaker"
)

func logCommand() *cli.Command {
	return &cli.Command{
		Name:  "log",
		Usage: "run the log service",
		Flags: []cli.Flag{
			listenFlag("127.0.0.1:7101"),
			&cli.IntFlag{Name: "retain-records", Usage: "keep at most `N` records; 0 keeps all"},
			&cli.DurationFlag{Name: "retain-for", Usage: "keep records for this `DURATION`; 0 keeps all"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			log := logfaker.New(logfaker.Options{
				RetainRecords: cmd.Int("retain-records"),
				RetainFor:     cmd.Duration("retain-for"),
			})
			return serve(ctx, cmd.Name, cmd.String("listen"), log.Handler())
		},
	}
}
