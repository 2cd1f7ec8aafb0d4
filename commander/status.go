package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/requester"
)

const columnGap = 2

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:         "status",
		Usage:        "show every entry, model and replica group",
		Description:  "Shows what one entry knows, and the records of the log that were refused.",
		OnUsageError: usageError,
		Flags: []cli.Flag{
			entryFlag(),
			&cli.BoolFlag{Name: "json", Usage: "print the answer as JSON"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			req, err := entries(cmd)
			if err != nil {
				return err
			}
			sta, err := req.Status(ctx)
			if err != nil {
				return err
			}
			if cmd.Bool("json") {
				return printJSON(cmd, sta)
			}
			return printStatus(cmd, sta)
		},
	}
}

func printJSON(cmd *cli.Command, val any) error {
	enc := json.NewEncoder(cmd.Root().Writer)
	enc.SetIndent("", "  ")
	return errors.Annotate(enc.Encode(val), "commander: print")
}

func printStatus(cmd *cli.Command, sta requester.Status) error {
	out := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, columnGap, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	line("revision %d, asked %s", sta.Revision, sta.AnsweredBy)
	line("\nENTRY\tZONE\tADDRESS\tREVISION\tOFFSET\tSTATE\tBOOTED FROM\tGROUPS AT HOME")
	for _, ent := range sta.Entries {
		line("%s\t%s\t%s\t%d\t%d\t%s\t%s\t%d", ent.Name, ent.Zone, ent.Address, ent.Revision, ent.Offset, entryState(ent), ent.BootedFrom, ent.GroupsAtHome)
	}
	line("\nMODEL\tWANTED\tSERVING\tSTRANDED ACCELERATORS\tREASON")
	for _, mod := range sta.Models {
		line("%s\t%d\t%d\t%d\t%s", mod.Name, mod.Wanted, mod.Serving, mod.StrandedAccelerators, mod.Reason)
	}
	line("\nGROUP\tMODEL\tDOMAIN\tZONE\tHOME\tSTAGE\tWARM\tRUNNING\tLIMIT\tVMS\tREASON")
	for _, grp := range sta.Groups {
		line("%s\t%s\t%s\t%s\t%s\t%s\t%t\t%d\t%d\t%s\t%s", grp.Name, grp.Model, grp.Domain, grp.Zone, grp.Home, grp.Stage, grp.Warm, grp.Running, grp.Limit, strings.Join(grp.VMs, " "), grp.Reason)
	}
	if len(sta.RejectedRecords) > 0 {
		line("\nREFUSED RECORD\tOFFSET\tKIND\tWRITER\tREASON")
	}
	for _, vod := range sta.RejectedRecords {
		line("%s\t%d\t%s\t%s\t%s", vod.ID, vod.Offset, vod.Kind, vod.Writer, vod.Reason)
	}
	return errors.Annotate(out.Flush(), "commander: print")
}

func entryState(ent requester.Entry) string {
	switch {
	case !ent.Reachable && !ent.Fresh:
		return "not reachable, past its freshness limit"
	case !ent.Reachable:
		return "not reachable"
	case !ent.Fresh:
		return "past its freshness limit"
	case ent.Draining:
		return "draining"
	default:
		return "fresh"
	}
}
