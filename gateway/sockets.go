package gateway

import (
	"context"
	"net"
	"net/http"
	"time"
)

// sendBufferBytes is what the kernel may buffer for one caller; at a round trip of 6 ms it allows more than 40 Mbit/s.
const sendBufferBytes = 32 << 10

// socketKey is the key of a request's connection in its context.
type socketKey struct{}

// socket is a TCP connection of a caller.
type socket interface {
	SetWriteBuffer(num int) error
	SetLinger(sec int) error
}

// ConnContext limits what the kernel holds for a caller that does not read, and passes the connection on to the gateway; it is for http.Server.ConnContext.
func ConnContext(ctx context.Context, con net.Conn) context.Context {
	if tcp, ok := con.(socket); ok {
		// Without the limit the connection still works.
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
	return context.WithValue(ctx, socketKey{}, con)
}

// resetOnClose sets whether the connection of a caller is reset when it is closed. Only that tells a caller of HTTP/1.0, for whom a stream has no other end, that the stream is incomplete.
func resetOnClose(req *http.Request, reset bool) {
	if req.ProtoAtLeast(1, 1) {
		return
	}
	tcp, ok := req.Context().Value(socketKey{}).(socket)
	if !ok {
		return
	}
	linger := -1
	if reset {
		linger = 0
	}
	// It fails only once the connection is closed.
	_ = tcp.SetLinger(linger)
}

// limitBody bounds the time that the server takes to receive or discard the rest of a body, if there is one.
func (job *job) limitBody(within time.Duration) {
	if job.req.ContentLength == 0 || job.body != nil {
		return
	}
	if err := http.NewResponseController(job.wtr).SetReadDeadline(job.gat.opt.Clock.Now().Add(within)); err != nil {
		job.log.WithError(err).Debug("failed to set the read deadline")
	}
}
