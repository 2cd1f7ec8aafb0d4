package gateserver

import (
	"net"

	"github.com/lovagelever/lovagelever/acceptor"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/reserver"
)

// buildAcceptor creates the limits of what the connections of all clients cost.
func (gat *Server) buildAcceptor() {
	cli := gat.set.Clients
	gat.acc = acceptor.New(acceptor.Options{
		Memory: int64(cli.MemoryShare * float64(int64(gat.set.MemoryMB)<<20)), Descriptors: gat.set.Descriptors, DescriptorShare: cli.DescriptorShare,
		Clock: gat.clk, Logger: gat.log,
	})
}

// headLimits returns the limits of the heads of requests: those of the configuration, and of the settings where it has none.
func (gat *Server) headLimits() acceptor.Limits {
	out := acceptor.Limits{HeaderBytes: gat.set.Clients.HeaderKB << 10, HeaderTimeout: gat.set.Clients.HeaderTimeout}
	tab := gat.tab.Load()
	if tab == nil {
		return out
	}
	if tab.Limits.HeaderBytes > 0 {
		out.HeaderBytes = tab.Limits.HeaderBytes
	}
	if tab.Limits.HeaderTimeout > 0 {
		out.HeaderTimeout = tab.Limits.HeaderTimeout
	}
	return out
}

// forwardedHeadLimits returns the same for requests to which another entry may have added headers.
func (gat *Server) forwardedHeadLimits() acceptor.Limits {
	out := gat.headLimits()
	if out.HeaderBytes > 0 {
		out.HeaderBytes += forwardedHeaderBytes
	}
	return out
}

// listenForEntries listens for the calls of other entries.
func (gat *Server) listenForEntries() (*messenger.Listener, error) {
	cli := gat.set.Clients
	return messenger.Listen(gat.set.Listen.Entries, &receiver{gat: gat}, messenger.Options{
		Wrap: gat.acc.ListenMessages, Counter: &gat.rpcBytes, MessageBytes: int64(cli.MessageKB) << 10, Calls: cli.Calls,
	})
}

// listen listens at the address of an HTTP server.
func (gat *Server) listen(lis net.Listener, srv *webServer) {
	srv.lis = gat.acc.ListenRequests(lis, srv.limits)
	gat.dra.Watch(srv.Server)
	gat.acc.Watch(srv.Server)
}

// relieveMemory closes connections of clients without a whole request while new requests are refused for want of memory.
func (gat *Server) relieveMemory() {
	switch gat.res.Refusing() {
	case reserver.ProcessMemory:
		gat.acc.Relieve()
	case reserver.HeldBytes:
		gat.acc.RelieveBodies()
	}
}
