package messenger

import (
	"net"
	"net/rpc"
	"sync/atomic"
)

// connection is an RPC connection to one entry; the messenger's lock guards calls and retired.
type connection struct {
	cli   *rpc.Client
	reads *atomic.Int64
	// calls is the number of calls in progress, and retired says that the connection takes no further calls.
	calls   int
	retired bool
}

func newConnection(con net.Conn) *connection {
	reads := &atomic.Int64{}
	return &connection{cli: rpc.NewClient(&readCounter{Conn: con, reads: reads}), reads: reads}
}

// readCounter counts the reads of a connection that returned data.
type readCounter struct {
	net.Conn
	reads *atomic.Int64
}

// Read reads from the connection and counts the read if it returned data.
func (rea *readCounter) Read(buf []byte) (int, error) {
	num, err := rea.Conn.Read(buf)
	if num > 0 {
		rea.reads.Add(1)
	}
	return num, err
}
