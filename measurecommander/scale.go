package measurecommander

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/scaler"
)

const fileMode = 0o644

func scaleFlags() []cli.Flag {
	return append(sizeFlags(),
		&cli.StringFlag{Name: "processes", Required: true, Usage: "`FILE` with the process IDs and names"},
		&cli.StringFlag{Name: "out", Required: true, Usage: "`FILE` to append a line of JSON to"},
	)
}

func scalerOf(cmd *cli.Command) (*scaler.Scaler, error) {
	siz := sizeOf(cmd)
	opt := scaler.Options{
		Engines:   siz.Engines,
		Log:       siz.AddressPrefix + ".9.1:7000",
		Processes: cmd.String("processes"),
		Clock:     clockwork.NewRealClock(),
	}
	for num := 1; num <= siz.Entries; num++ {
		opt.Entries = append(opt.Entries, fmt.Sprintf("%s.0.%d:8000", siz.AddressPrefix, num))
	}
	return scaler.New(opt)
}

func scaleCommand() *cli.Command {
	return &cli.Command{
		Name:  "scale",
		Usage: "measure an idle deployment and how long published changes take",
		Flags: append(scaleFlags(),
			&cli.DurationFlag{Name: "within", Value: 2 * time.Minute, Usage: "longest `DURATION` until all replicas serve"},
			&cli.DurationFlag{Name: "settle", Value: 5 * time.Second, Usage: "`DURATION` before the measurement"},
			&cli.DurationFlag{Name: "idle", Value: 20 * time.Second, Usage: "`DURATION` of the measurement without requests"},
			&cli.IntFlag{Name: "changes", Value: 20, Usage: "`N` changes to publish"},
		),
		Action: runScale,
	}
}

func runScale(ctx context.Context, cmd *cli.Command) error {
	sca, err := scalerOf(cmd)
	if err != nil {
		return err
	}
	if err := sca.AwaitReady(ctx, cmd.Duration("within")); err != nil {
		return err
	}
	clockwork.NewRealClock().Sleep(cmd.Duration("settle"))
	idl, err := sca.MeasureIdle(ctx, cmd.Duration("idle"))
	if err != nil {
		return err
	}
	chg, err := sca.MeasureChanges(ctx, cmd.Int("changes"))
	if err != nil {
		return err
	}
	return appendLine(cmd.String("out"), scaler.Point{Idle: idl, Changes: chg})
}

func takeoverCommand() *cli.Command {
	return &cli.Command{
		Name:  "takeover",
		Usage: "measure how long the takeover of a killed entry's work takes; slopes merges its line with that of the same size",
		Flags: append(scaleFlags(),
			&cli.StringFlag{Name: "victim", Required: true, Usage: "`NAME` of the killed entry"},
			&cli.Int64Flag{Name: "lost", Required: true, Usage: "Unix time in `NANOSECONDS` of the kill"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			sca, err := scalerOf(cmd)
			if err != nil {
				return err
			}
			tak, err := sca.AwaitTakeover(ctx, cmd.String("victim"), time.Unix(0, cmd.Int64("lost")))
			if err != nil {
				return err
			}
			return appendLine(cmd.String("out"), scaler.Point{Idle: scaler.Idle{Entries: cmd.Int("entries"), Engines: cmd.Int("engines")}, Takeover: tak})
		},
	}
}

func appendLine(name string, val any) error {
	data, err := json.Marshal(val)
	if err != nil {
		return errors.Annotate(err, "measurecommander: encode result")
	}
	fil, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Annotate(err, "measurecommander: open results")
	}
	defer func() { _ = fil.Close() }()
	_, err = fil.Write(append(data, '\n'))
	return errors.Annotate(err, "measurecommander: write results")
}
