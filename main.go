// Command lovagelever serves language models whose replicas span several VMs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/lovagelever/lovagelever/commander"
	"github.com/lovagelever/lovagelever/platform/starter"
	"github.com/lovagelever/lovagelever/server"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := commander.Main(ctx, os.Args, commander.RunFunc(server.Run), starter.Run)
	stop()
	os.Exit(code)
}
