package measurecommander

import (
	"context"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/copier"
	"github.com/lovagelever/lovagelever/costmeasurer"
)

const headerTimeout = 5 * time.Second

func costCommand() *cli.Command {
	return &cli.Command{
		Name:  "cost",
		Usage: "measure the latency and CPU time of one path to the engines",
		Flags: append(resultFlags(),
			&cli.StringFlag{Name: "way", Required: true, Usage: "`WAY`: direct, copy or entry"},
			&cli.StringFlag{Name: "copier", Usage: "`IP:PORT` of the copier"},
			&cli.StringFlag{Name: "processes", Required: true, Usage: "`FILE` with the process IDs and names"},
			&cli.IntFlag{Name: "concurrency", Required: true, Usage: "`N` concurrent callers"},
			&cli.IntFlag{Name: "max-tokens", Value: 64, Usage: "`N` tokens of an answer at most"},
			&cli.DurationFlag{Name: "for", Value: 5 * time.Second, Usage: "`DURATION` of the measurement"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cos := costmeasurer.New(costmeasurer.Options{
				Entries:     cmd.StringSlice("entry"),
				Way:         cmd.String("way"),
				Copier:      cmd.String("copier"),
				Processes:   cmd.String("processes"),
				Concurrency: cmd.Int("concurrency"),
				Duration:    cmd.Duration("for"),
				MaxTokens:   cmd.Int("max-tokens"),
				Clock:       clockwork.NewRealClock(),
			})
			res, err := cos.Run(ctx)
			if err != nil {
				return err
			}
			return appendRow(cmd, res)
		},
	}
}

func copyCommand() *cli.Command {
	return &cli.Command{
		Name:  "copy",
		Usage: "forward requests to the address in their X-Target header",
		Flags: []cli.Flag{&cli.StringFlag{Name: "listen", Required: true, Usage: "`IP:PORT` to listen at"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			srv := &http.Server{Addr: cmd.String("listen"), Handler: copier.New(), ReadHeaderTimeout: headerTimeout}
			return errors.Annotate(srv.ListenAndServe(), "measurecommander: copy")
		},
	}
}
