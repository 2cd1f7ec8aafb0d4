// Command lovagelever serves language models whose replicas span several VMs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/commander"
	"github.com/lovagelever/lovagelever/configurer"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	code := commander.Main(ctx, os.Args, commander.RunFunc(runEntry))
	stop()
	os.Exit(code)
}

func runEntry(context.Context, configurer.Settings) error {
	return errors.NotImplementedf("entry process")
}
