package standincommander

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
)

// Main runs the command line until the command ends or SIGINT or SIGTERM arrives, and returns the exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		logrus.WithError(err).Error("stand-in failed")
		return 1
	}
	return 0
}

func command() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "run a small stand-in of a platform service or a backend server",
		Commands: []*cli.Command{logCommand(), vmListCommand(), weightStoreCommand(), engineCommand(), serviceCommand()},
	}
}
