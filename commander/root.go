package commander

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/configurer"
)

const rootHelp = `Operators publish an inventory and rules, and read back that they are in force:

   lovagelever check inventory.yaml rules.yaml
   lovagelever publish --entry 127.10.0.1:8000 inventory.yaml
   lovagelever publish --entry 127.10.0.1:8000 --entry 127.10.0.2:8000 rules.yaml
   lovagelever status --entry 127.10.0.1:8000

Exit codes: 0 ok, 1 failure, 2 usage, 3 invalid file, 4 conflict with a newer
revision, 5 accepted but not in force in time, 6 outcome unknown.`

// Runner runs one entry until the context is canceled.
type Runner interface {
	Run(ctx context.Context, set configurer.Settings) error
}

// RunFunc is an adapter that makes a function a Runner.
type RunFunc func(ctx context.Context, set configurer.Settings) error

// Run calls the function.
func (run RunFunc) Run(ctx context.Context, set configurer.Settings) error {
	return run(ctx, set)
}

// New returns the root command; run runs an entry, and each of gates adds a gate command that runs an entry on a platform.
func New(run Runner, gates ...GateRunner) *cli.Command {
	root := &cli.Command{
		Name:           "lovagelever",
		Usage:          "serve language models whose replicas span several VMs",
		Description:    rootHelp,
		ExitErrHandler: ignoreExitError,
		OnUsageError:   usageError,
		Action:         rootAction,
		Commands: []*cli.Command{
			entryCommand(run),
			checkCommand(),
			publishCommand(),
			statusCommand(),
			locateCommand(),
			reportCommand(),
			storyCommand(),
			explainCommand(),
		},
	}
	for _, gate := range gates {
		root.Commands = append(root.Commands, gateCommand(gate))
	}
	return root
}

func ignoreExitError(context.Context, *cli.Command, error) {}

func rootAction(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usagef("unknown command %q", cmd.Args().First())
	}
	return cli.ShowRootCommandHelp(cmd)
}
