package measurecommander

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/generator"
	"github.com/lovagelever/lovagelever/loader"
	"github.com/lovagelever/lovagelever/sampler"
)

const (
	workspaceCount = 10
	largeWeight    = 4
	largeCount     = 3
)

// sideEffects compares the outcomes that callers saw for calls with an idempotency key with the runs that the service counted.
type sideEffects struct {
	Keys          int `json:"keys"`
	Doubled       int `json:"doubled"`
	RefusedButRan int `json:"not_run_but_ran"`
	UnknownRan    int `json:"unknown_that_ran"`
	UnknownNot    int `json:"unknown_that_did_not"`
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests at a given rate and count their outcomes",
		Flags: append(resultFlags(),
			&cli.FloatFlag{Name: "rate", Required: true, Usage: "`N` arrivals per second"},
			&cli.DurationFlag{Name: "for", Required: true, Usage: "`DURATION` of the arrivals"},
			&cli.DurationFlag{Name: "deadline", Value: 5 * time.Second, Usage: "`DURATION` in which an answer must be whole"},
			&cli.IntFlag{Name: "max-tokens", Value: 24, Usage: "`N` tokens of an answer at most"},
			&cli.StringFlag{Name: "mix", Value: "compose=1", Usage: "`KIND=WEIGHT,...` of compose, summarize, fetch, issued, claimed, crash"},
			&cli.FloatFlag{Name: "flood", Usage: "`SHARE` of the arrivals that workspace-01 sends; 0 for three large workspaces and seven small ones"},
			&cli.IntFlag{Name: "cells", Value: 1, Usage: "`N` cells of the deployment"},
			&cli.BoolFlag{Name: "fresh", Usage: "give each crashing request other content"},
			&cli.StringFlag{Name: "by", Value: "kind", Usage: "`LABEL` to count by: kind or workspace"},
			&cli.BoolFlag{Name: "seconds", Usage: "add a line with the counts of each second"},
			&cli.StringFlag{Name: "service-control", Usage: "`IP:PORT` where the service's stand-in counts its runs"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`N` that seeds the arrivals"},
		),
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	opt, err := loadOptions(cmd)
	if err != nil {
		return err
	}
	sams := loader.New(opt).Run(ctx)
	for _, sum := range loader.Summarize(sams, opt.Duration, labelFunc(cmd.String("by"))) {
		if err := appendRow(cmd, sum); err != nil {
			return err
		}
	}
	if cmd.Bool("seconds") {
		if err := appendRow(cmd, loader.Seconds(sams, opt.Duration)); err != nil {
			return err
		}
	}
	if cmd.String("service-control") == "" {
		return nil
	}
	return appendSideEffects(ctx, cmd, sams)
}

func loadOptions(cmd *cli.Command) (loader.Options, error) {
	opt := loader.Options{
		Entries:   cmd.StringSlice("entry"),
		Rate:      cmd.Float("rate"),
		Duration:  cmd.Duration("for"),
		Deadline:  cmd.Duration("deadline"),
		MaxTokens: cmd.Int("max-tokens"),
		Seed:      cmd.Uint64("seed"),
		Fresh:     cmd.Bool("fresh"),
		Cells:     cmd.Int("cells"),
		Service:   "venue-api",
		Clock:     clockwork.NewRealClock(),
	}
	for part := range strings.SplitSeq(cmd.String("mix"), ",") {
		name, weight, _ := strings.Cut(part, "=")
		num, err := strconv.ParseFloat(weight, 64)
		if err != nil {
			return opt, errors.NewNotValid(err, "measurecommander: parse mix")
		}
		opt.Kinds = append(opt.Kinds, loader.Share{Name: name, Weight: num})
	}
	for num := range workspaceCount {
		opt.Workspaces = append(opt.Workspaces, loader.Share{Name: generator.WorkspaceName(num), Weight: workspaceWeight(num, cmd.Float("flood"))})
	}
	return opt, nil
}

func workspaceWeight(num int, flood float64) float64 {
	switch {
	case flood > 0 && num == 0:
		return flood
	case flood > 0:
		return (1 - flood) / (workspaceCount - 1)
	case num < largeCount:
		return largeWeight
	default:
		return 1
	}
}

func labelFunc(by string) func(loader.Sample) string {
	return func(sam loader.Sample) string {
		switch {
		case by == "kind":
			return sam.Kind
		case sam.Kind == loader.KindCrash:
			return loader.KindCrash
		case by == "size" && sam.Workspace == generator.WorkspaceName(0):
			return "flooding"
		case by == "size":
			return "small"
		default:
			return sam.Workspace
		}
	}
}

func appendSideEffects(ctx context.Context, cmd *cli.Command, sams []loader.Sample) error {
	data, err := sampler.Fetch(ctx, "http://"+cmd.String("service-control")+"/v1/counts")
	if err != nil {
		return err
	}
	var cnt struct {
		Runs map[string]int `json:"runs"`
	}
	if err := json.Unmarshal(data, &cnt); err != nil {
		return errors.Annotate(err, "measurecommander: counts of the service")
	}
	byKind := map[string]sideEffects{}
	for _, sam := range sams {
		if sam.Key == "" {
			continue
		}
		eff := byKind[sam.Kind]
		eff.add(sam.Outcome, cnt.Runs[sam.Key])
		byKind[sam.Kind] = eff
	}
	return appendRow(cmd, byKind)
}

func (eff *sideEffects) add(outcome string, runs int) {
	eff.Keys++
	if runs > 1 {
		eff.Doubled++
	}
	switch {
	case outcome == "not_run" && runs > 0:
		eff.RefusedButRan++
	case outcome == loader.OutcomeComplete || outcome == loader.OutcomeLate || outcome == "not_run":
	case runs > 0:
		eff.UnknownRan++
	default:
		eff.UnknownNot++
	}
}
