package commander

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/checker"
	"github.com/lovagelever/lovagelever/publisher"
	"github.com/lovagelever/lovagelever/requester"
)

const defaultWait = 16 * time.Second

const publishHelp = `Sends the file as a change to the revision that is current now, or to the one
that --based-on names, and waits until every entry that may take work has it.
A part that the file does not hold, inventory or rules, stays as it is.
An answer that is lost is asked for again under the same ID, so that the
publication takes effect once.`

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:         "publish",
		Usage:        "publish an inventory or rules and wait until they are in force",
		ArgsUsage:    "FILE",
		Description:  publishHelp,
		OnUsageError: usageError,
		Flags: []cli.Flag{
			entryFlag(),
			&cli.Int64Flag{Name: "based-on", Usage: "`REVISION` that the file was made from; the default is the current one"},
			&cli.DurationFlag{Name: "wait", Value: defaultWait, Usage: "longest `TIME` for all steps together, with its unit"},
		},
		Action: publish,
	}
}

func publish(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return usagef("give one file, not %d", cmd.Args().Len())
	}
	if cmd.Duration("wait") <= 0 {
		return usagef("--wait must be above zero")
	}
	req, err := entries(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("wait"))
	defer cancel()
	pub, basedOn, err := prepare(ctx, cmd, req)
	if err != nil {
		return err
	}
	sender := publisher.New(req, clockwork.NewRealClock())
	acc, err := sender.Send(ctx, pub, basedOn)
	if err != nil {
		return err
	}
	if err := printf(cmd, "accepted as revision %d at offset %d\n", acc.Revision, acc.Offset); err != nil {
		return err
	}
	return awaitRevision(ctx, cmd, sender, acc.Revision)
}

// prepare loads and checks the file and returns the publication and the revision that it is based on.
func prepare(ctx context.Context, cmd *cli.Command, req *requester.Requester) (checker.Publication, int64, error) {
	files, err := checker.Load(cmd.Args().Slice())
	if err != nil {
		return checker.Publication{}, 0, err
	}
	basedOn := cmd.Int64("based-on")
	var current *cataloger.Catalog
	if !cmd.IsSet("based-on") {
		rev, err := req.Catalog(ctx)
		if err != nil {
			return checker.Publication{}, 0, checkWithoutCatalog(files, err)
		}
		basedOn, current = rev.Revision, &rev.Catalog
	}
	pub, err := checker.Check(files, current)
	return pub, basedOn, err
}

// checkWithoutCatalog checks the files without a catalog and returns their problems, or the given error of reading the catalog if there are none.
func checkWithoutCatalog(files []checker.File, err error) error {
	if _, invalid := checker.Check(files, nil); invalid != nil {
		return invalid
	}
	return err
}

func awaitRevision(ctx context.Context, cmd *cli.Command, sender *publisher.Publisher, revision int64) error {
	known, failed := sender.Await(ctx, revision)
	for _, std := range known {
		if err := printf(cmd, "%s\n", std); err != nil {
			return err
		}
	}
	return failed
}

func printf(cmd *cli.Command, format string, args ...any) error {
	_, err := fmt.Fprintf(cmd.Root().Writer, format, args...)
	return errors.Annotate(err, "commander: print")
}
