package commander

import (
	"context"
	"io"
	"os"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/storyteller"
)

func storyCommand() *cli.Command {
	return &cli.Command{
		Name:         "story",
		Usage:        "tell what became of one request, from the logs of entries",
		ArgsUsage:    "FILE...",
		Description:  "Prints the lines on the request, and those on what it was sent to, in the order of time. Without a FILE it reads the standard input.",
		OnUsageError: usageError,
		Flags:        []cli.Flag{&cli.StringFlag{Name: "request", Usage: "`ID` of the request"}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.String("request") == "" {
				return usagef("give --request ID")
			}
			lines, err := readLogs(cmd.Args().Slice())
			if err != nil {
				return err
			}
			story := storyteller.RequestHistory(lines, cmd.String("request"))
			if len(story) == 0 {
				return errors.NotFoundf("request %s in %d log lines", cmd.String("request"), len(lines))
			}
			return storyteller.Write(cmd.Root().Writer, story)
		},
	}
}

func readLogs(files []string) ([]storyteller.Line, error) {
	if len(files) == 0 {
		return storyteller.Read(os.Stdin)
	}
	var out []storyteller.Line
	for _, name := range files {
		fil, err := os.Open(name)
		if err != nil {
			return nil, errors.Annotate(err, "commander: logs")
		}
		lines, err := readClose(fil)
		if err != nil {
			return nil, err
		}
		out = append(out, lines...)
	}
	return out, nil
}

func readClose(src io.ReadCloser) ([]storyteller.Line, error) {
	defer func() { _ = src.Close() }()
	return storyteller.Read(src)
}
