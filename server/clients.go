package server

import (
	"math"

	"github.com/lovagelever/lovagelever/acceptor"
	"github.com/lovagelever/lovagelever/collector"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/reserver"
)

// maxHeaderBytes is above any limit of the settings, which the acceptor applies.
const maxHeaderBytes = 64 << 20

// buildAcceptor creates the limits of what the connections of callers and other entries, and the bodies of requests, cost.
func (srv *Server) buildAcceptor() {
	srv.acceptor = acceptor.New(acceptor.Options{
		Memory: int64(srv.settings.ClientMemoryMB) << 20, DescriptorShare: float64(srv.settings.ClientDescriptorPercent) / 100,
		Clock: srv.clock, Logger: srv.log,
	})
	res := reserver.New(reserver.Options{Budget: int64(srv.settings.ClientMemoryMB) << 20})
	srv.bodies = collector.NewWithin(math.MaxInt64, res.Account(reserver.Requests))
}

func (srv *Server) headLimits() acceptor.Limits {
	return acceptor.Limits{HeaderBytes: srv.settings.MaxHeaderBytes, HeaderTimeout: headerTimeout}
}

// listenForEntries listens for the calls of other entries.
func (srv *Server) listenForEntries() (*messenger.Listener, error) {
	return messenger.Listen(srv.settings.RPCAddress, &receiver{srv: srv}, messenger.Options{
		Wrap: srv.acceptor.ListenMessages, Counter: &srv.rpcBytes, MessageBytes: int64(srv.settings.MaxMessageBytes), Calls: srv.settings.MaxCalls,
	})
}
