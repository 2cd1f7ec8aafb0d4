package messenger

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/counter"
)

// Listener serves the methods of one entry to the others.
type Listener struct {
	lis net.Listener
	srv *rpc.Server
	cou *counter.Counter
	mtx sync.Mutex
	con map[net.Conn]bool
}

// Listen serves the exported methods of the receiver at the address IP:PORT and counts the bytes.
func Listen(address string, receiver any, cou *counter.Counter) (*Listener, error) {
	srv := rpc.NewServer()
	if err := srv.RegisterName("Entry", receiver); err != nil {
		return nil, errors.Annotate(err, "messenger: register")
	}
	lis, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "messenger: listen")
	}
	out := &Listener{lis: lis, srv: srv, cou: cou, con: map[net.Conn]bool{}}
	go out.accept()
	return out, nil
}

// Address is the address that the listener serves.
func (lis *Listener) Address() string {
	return lis.lis.Addr().String()
}

// Close stops to listen and closes all connections.
func (lis *Listener) Close() {
	_ = lis.lis.Close()
	lis.mtx.Lock()
	defer lis.mtx.Unlock()
	for con := range lis.con {
		_ = con.Close()
	}
}

func (lis *Listener) accept() {
	for {
		con, err := lis.lis.Accept()
		if err != nil {
			return
		}
		con = lis.cou.Wrap(con)
		lis.mtx.Lock()
		lis.con[con] = true
		lis.mtx.Unlock()
		go lis.serve(con)
	}
}

func (lis *Listener) serve(con net.Conn) {
	lis.srv.ServeConn(con)
	lis.mtx.Lock()
	defer lis.mtx.Unlock()
	delete(lis.con, con)
}
