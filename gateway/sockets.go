package gateway

import (
	"context"
	"net"
	"net/http"
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

// receiver is a connection whose bytes are counted: Receive reports whether it may stay open while a body of num bytes is received, -1 if their number is unknown, until Received is called.
type receiver interface {
	Receive(num int64) bool
	Received()
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

// beginBody records that the body of a request is being received, until received is called, and reports whether the connection is still open.
func (job *job) beginBody() (received func(), open bool) {
	rec, ok := job.req.Context().Value(socketKey{}).(receiver)
	if !ok {
		return func() {}, true
	}
	if !rec.Receive(job.req.ContentLength) {
		return func() {}, false
	}
	return rec.Received, true
}
