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

// acceptPause is the pause after a failed Accept.
const acceptPause = 50 * time.Millisecond

// Listener serves the RPC methods of one entry.
type Listener struct {
	lis         net.Listener
	srv         *rpc.Server
	cou         *counter.Counter
	mtx         sync.Mutex
	connections map[net.Conn]bool
}

// Listen serves the exported methods of the receiver on the address IP:PORT and counts the bytes sent and received.
func Listen(address string, receiver any, cou *counter.Counter) (*Listener, error) {
	srv := rpc.NewServer()
	if err := srv.RegisterName("Entry", receiver); err != nil {
		return nil, errors.Annotate(err, "messenger: register RPC receiver")
	}
	lis, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "messenger: listen")
	}
	out := &Listener{lis: lis, srv: srv, cou: cou, connections: map[net.Conn]bool{}}
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
		con = lis.cou.Wrap(con)
		lis.mtx.Lock()
		lis.connections[con] = true
		lis.mtx.Unlock()
		go lis.serve(con)
	}
}

func (lis *Listener) serve(con net.Conn) {
	lis.srv.ServeConn(con)
	lis.mtx.Lock()
	defer lis.mtx.Unlock()
	delete(lis.connections, con)
}
