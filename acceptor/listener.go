package acceptor

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// acceptPause is the pause after a failed Accept, doubled up to maxAcceptPause while it goes on failing.
const (
	acceptPause    = 5 * time.Millisecond
	maxAcceptPause = 100 * time.Millisecond
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// listener accepts connections that the acceptor counts.
type listener struct {
	net.Listener
	acc  *Acceptor
	wrap func(con conn) net.Conn
}

// ListenRequests returns a listener for an HTTP server whose connections are counted; limits returns the limits of request heads that are in force. The server must be watched.
func (acc *Acceptor) ListenRequests(lis net.Listener, limits func() Limits) net.Listener {
	return &listener{Listener: lis, acc: acc, wrap: func(con conn) net.Conn {
		out := &requestConn{conn: con, limits: limits}
		acc.add(&out.conn)
		return out
	}}
}

// ListenMessages returns a listener whose connections are counted; their user calls Idle, Message and Calls.
func (acc *Acceptor) ListenMessages(lis net.Listener) net.Listener {
	return &listener{Listener: lis, acc: acc, wrap: func(con conn) net.Conn {
		acc.add(&con)
		return &con
	}}
}

// Accept waits for the next connection; it fails with net.ErrClosed once the listener is closed, and otherwise tries again.
func (lis *listener) Accept() (net.Conn, error) {
	for pause := acceptPause; ; pause = min(2*pause, maxAcceptPause) {
		raw, err := lis.Listener.Accept()
		if err == nil {
			return lis.count(raw), nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			lis.acc.onExhausted()
		}
		lis.acc.opt.Clock.Sleep(pause)
	}
}

func (lis *listener) count(raw net.Conn) net.Conn {
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return raw
	}
	con := conn{TCPConn: tcp, acc: lis.acc}
	con.limitUnread(windowBytes)
	return lis.wrap(con)
}

// Watch has a server report what it does on the connections of the acceptor. It goes after other uses of ConnState and ConnContext.
func (acc *Acceptor) Watch(srv *http.Server) {
	state, conCtx, next := srv.ConnState, srv.ConnContext, srv.Handler
	srv.ConnState = func(raw net.Conn, sta http.ConnState) {
		if con, ok := raw.(*requestConn); ok {
			con.onState(sta)
		}
		if state != nil {
			state(raw, sta)
		}
	}
	srv.ConnContext = func(ctx context.Context, raw net.Conn) context.Context {
		if conCtx != nil {
			ctx = conCtx(ctx, raw)
		}
		return context.WithValue(ctx, connKey{}, raw)
	}
	srv.Handler = http.HandlerFunc(func(wtr http.ResponseWriter, req *http.Request) {
		if con, ok := req.Context().Value(connKey{}).(*requestConn); ok {
			// A request that was sent ahead may be found on a connection that is closed.
			if con.acc.phaseOf(&con.conn) == closed {
				panic(http.ErrAbortHandler)
			}
			req = con.withBody(req)
		}
		next.ServeHTTP(wtr, req)
	})
}
