package messenger

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/counter"
)

const (
	// acceptPause is the pause after a failed Accept.
	acceptPause = 50 * time.Millisecond
	// The defaults of Options.
	defaultMessageBytes = 1 << 20
	defaultCalls        = 64
)

// Listener serves the RPC methods of one entry.
type Listener struct {
	lis         net.Listener
	srv         *rpc.Server
	opt         Options
	mtx         sync.Mutex
	connections map[net.Conn]bool
}

// Options configure a Listener: Wrap may replace the network listener, Counter counts the bytes sent and received, MessageBytes is the largest size of a message, and Calls the number of calls of one connection that may have no response yet. Zero means a default.
type Options struct {
	Wrap         func(lis net.Listener) net.Listener
	Counter      *counter.Counter
	MessageBytes int64
	Calls        int
}

func (opt Options) withDefaults() Options {
	if opt.MessageBytes == 0 {
		opt.MessageBytes = defaultMessageBytes
	}
	if opt.Calls == 0 {
		opt.Calls = defaultCalls
	}
	return opt
}

// Listen serves the exported methods of the receiver on the address IP:PORT.
func Listen(address string, receiver any, opt Options) (*Listener, error) {
	srv := rpc.NewServer()
	if err := srv.RegisterName("Entry", receiver); err != nil {
		return nil, errors.Annotate(err, "messenger: register RPC receiver")
	}
	lis, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "messenger: listen")
	}
	if opt.Wrap != nil {
		lis = opt.Wrap(lis)
	}
	out := &Listener{lis: lis, srv: srv, opt: opt, connections: map[net.Conn]bool{}}
	go out.accept()
	return out, nil
}

// Address returns the address IP:PORT that the listener serves.
func (lis *Listener) Address() string {
	return lis.lis.Addr().String()
}

// Close stops listening and closes all connections.
func (lis *Listener) Close() {
	_ = lis.lis.Close()
	lis.mtx.Lock()
	defer lis.mtx.Unlock()
	for con := range lis.connections {
		_ = con.Close()
	}
}

// accept accepts connections until the listener is closed. Any other failure may pass, as that for want of descriptors does.
func (lis *Listener) accept() {
	for {
		con, err := lis.lis.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		lis.mtx.Lock()
		lis.connections[con] = true
		lis.mtx.Unlock()
		go lis.serve(con)
	}
}

func (lis *Listener) serve(con net.Conn) {
	lis.srv.ServeCodec(newCodec(con, lis.opt))
	lis.mtx.Lock()
	defer lis.mtx.Unlock()
	delete(lis.connections, con)
}
