package messenger

import (
	"net"
	"net/rpc"
	"sync/atomic"
)

// connection is an RPC connection to one entry; the messenger's lock guards calls and retired.
type connection struct {
	cli *rpc.Client
	// lastRead is the number of the last call of the messenger before the connection was opened or data came on it.
	lastRead *atomic.Int64
	// calls is the number of calls in progress, and retired says that the connection takes no further calls.
	calls   int
	retired bool
}

func newConnection(con net.Conn, lastCall *atomic.Int64) *connection {
	lastRead := &atomic.Int64{}
	lastRead.Store(lastCall.Load())
	return &connection{cli: rpc.NewClient(&readRecorder{Conn: con, lastCall: lastCall, lastRead: lastRead}), lastRead: lastRead}
}

// readRecorder records the last call before each read of a connection that returned data.
type readRecorder struct {
	net.Conn
	lastCall *atomic.Int64
	lastRead *atomic.Int64
}

// Read reads from the connection and records the last call if it returned data.
func (rea *readRecorder) Read(buf []byte) (int, error) {
	num, err := rea.Conn.Read(buf)
	if num > 0 {
		rea.lastRead.Store(rea.lastCall.Load())
	}
	return num, err
}
