package standincommander

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/weightstorefaker"
)

const defaultRate = 10.0

func weightStoreCommand() *cli.Command {
	return &cli.Command{
		Name:  "weight_store",
		Usage: "run the weight store",
		Flags: []cli.Flag{
			listenFlag("127.0.0.1:7103"),
			&cli.FloatFlag{Name: "gigabytes-per-second", Value: defaultRate, Usage: "`RATE` that all loads share"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			sto := weightstorefaker.New(weightstorefaker.Options{GigabytesPerSecond: cmd.Float("gigabytes-per-second")})
			return serve(ctx, cmd.Name, cmd.String("listen"), sto.Handler())
		},
	}
}
