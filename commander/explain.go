package commander

import (
	"context"
	"net/netip"

	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/explainer"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:         "explain",
		Usage:        "ask a running entry where a request would go now, without sending it",
		OnUsageError: usageError,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "metrics", Usage: "`IP:PORT` of the entry's metrics"},
			&cli.StringFlag{Name: "host", Usage: "`NAME` of the host that the request names"},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the request"},
			&cli.StringFlag{Name: "workspace", Usage: "`NAME` of the workspace that sends it"},
			&cli.StringFlag{Name: "model", Usage: "`NAME` of the model"},
			&cli.IntFlag{Name: "prompt-tokens", Usage: "length of the prompt in `TOKENS`"},
			&cli.IntFlag{Name: "answer-tokens", Usage: "expected length of the answer in `TOKENS`"},
			&cli.BoolFlag{Name: "json", Usage: "print the answer as JSON"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			address := cmd.String("metrics")
			if _, err := netip.ParseAddrPort(address); err != nil {
				return usagef("--metrics %q is not IP:PORT", address)
			}
			if cmd.String("path") == "" {
				return usagef("give --path PATH")
			}
			exp, err := explainer.Ask(ctx, address, explainer.Question{
				Host: cmd.String("host"), Path: cmd.String("path"), Workspace: cmd.String("workspace"), Model: cmd.String("model"),
				PromptTokens: cmd.Int("prompt-tokens"), AnswerTokens: cmd.Int("answer-tokens"),
			})
			if err != nil {
				return err
			}
			if cmd.Bool("json") {
				return printJSON(cmd, exp)
			}
			return exp.Write(cmd.Root().Writer)
		},
	}
}
