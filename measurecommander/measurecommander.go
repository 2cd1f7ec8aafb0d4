package measurecommander

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Main runs the command that the arguments name and returns the exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintf(os.Stderr, "measurer: %v\n", err)
		return 1
	}
	return 0
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "measurer",
		Usage: "measure a deployment that a script has started",
		Commands: []*cli.Command{
			generateCommand(),
			scaleCommand(),
			takeoverCommand(),
			slopesCommand(),
			readyCommand(),
			downtimeCommand(),
			loadCommand(),
			costCommand(),
			copyCommand(),
			tableCommand(),
			plotCommand(),
		},
	}
}
