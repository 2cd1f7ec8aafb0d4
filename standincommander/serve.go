package standincommander

import (
	"context"
	"net/http"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/lovagelever/lovagelever/hoster"
)

func listenFlag(address string) cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: address, Usage: "`IP:PORT` to listen at"}
}

// serve serves the handler at the address until the context ends.
func serve(ctx context.Context, name, address string, handler http.Handler) error {
	hst := hoster.New(address, handler)
	if err := hst.Start(); err != nil {
		return errors.Annotate(err, "standincommander: "+name)
	}
	defer hst.Close()
	return waitForShutdown(ctx, name, hst.Address())
}

func waitForShutdown(ctx context.Context, name, address string) error {
	log := logrus.WithFields(logrus.Fields{"stand_in": name, "address": address})
	log.Info("stand-in is listening")
	<-ctx.Done()
	log.Info("stand-in is shutting down")
	return nil
}
