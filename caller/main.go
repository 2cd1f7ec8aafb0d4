package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/smoketester"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintf(os.Stderr, "caller: %v\n", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "caller",
		Usage: "act as a caller of a deployment",
		Commands: []*cli.Command{{
			Name:  "first",
			Usage: "make the first requests of every workspace and check the answers",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "deployment", Required: true, Usage: "`NAME`: alokrekha or rail"},
				&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "`IP:PORT` of an entry; give all of them"},
				&cli.StringFlag{Name: "service-control", Required: true, Usage: "`IP:PORT` where the service's stand-in counts its runs"},
			},
			Action: func(ctx context.Context, cmd *cli.Command) error {
				tri := smoketester.Trial{
					Deployment:     cmd.String("deployment"),
					Entries:        cmd.StringSlice("entry"),
					ServiceControl: cmd.String("service-control"),
					Out:            os.Stdout,
					Clock:          clockwork.NewRealClock(),
				}
				return tri.Run(ctx)
			},
		}},
	}
}
