package measurecommander

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/observer"
	"github.com/lovagelever/lovagelever/scaler"
)

func entryFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "entry", Required: true, Usage: "`IP:PORT` of an entry; give all of them"}
}

func resultFlags() []cli.Flag {
	return []cli.Flag{
		entryFlag(),
		&cli.StringFlag{Name: "out", Required: true, Usage: "`FILE` to append lines of JSON to"},
		&cli.StringFlag{Name: "experiment", Required: true, Usage: "`NAME` of the experiment"},
		&cli.StringFlag{Name: "variant", Required: true, Usage: "`NAME` of the variant that is compared"},
	}
}

func readyCommand() *cli.Command {
	return &cli.Command{
		Name:  "ready",
		Usage: "wait until all replicas serve at every entry",
		Flags: []cli.Flag{entryFlag(), &cli.DurationFlag{Name: "within", Value: time.Minute, Usage: "longest `DURATION` to wait"}},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			sca, err := scaler.New(scaler.Options{Entries: cmd.StringSlice("entry"), Clock: clockwork.NewRealClock()})
			if err != nil {
				return err
			}
			return sca.AwaitReady(ctx, cmd.Duration("within"))
		},
	}
}

// row is one line of the results file.
type row[T any] struct {
	Experiment string `json:"experiment"`
	Variant    string `json:"variant"`
	Result     T      `json:"result"`
}

func appendRow[T any](cmd *cli.Command, res T) error {
	return appendLine(cmd.String("out"), row[T]{cmd.String("experiment"), cmd.String("variant"), res})
}

func downtimeCommand() *cli.Command {
	return &cli.Command{
		Name:  "downtime",
		Usage: "sum the downtime of replica groups after a fault",
		Flags: append(resultFlags(),
			&cli.Int64Flag{Name: "since", Required: true, Usage: "Unix time in `NANOSECONDS` of the fault"},
			&cli.BoolFlag{Name: "planned", Usage: "watch to the end, and count nothing as lost before an entry tells of it"},
			&cli.DurationFlag{Name: "for", Value: 30 * time.Second, Usage: "longest `DURATION` to watch"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			obs, err := observer.New(cmd.StringSlice("entry"), clockwork.NewRealClock())
			if err != nil {
				return err
			}
			obs.Planned = cmd.Bool("planned")
			return appendRow(cmd, obs.Watch(ctx, time.Unix(0, cmd.Int64("since")), cmd.Duration("for")))
		},
	}
}
