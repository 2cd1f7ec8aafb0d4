package messenger

import (
	"net"
	"net/rpc"
	"sync/atomic"
)

// link is one connection; the messenger's lock guards calls and retired.
type link struct {
	cli   *rpc.Client
	heard *atomic.Int64
	// calls is how many calls use the connection, and retired that no more will.
	calls   int
	retired bool
}

func newLink(con net.Conn) *link {
	heard := &atomic.Int64{}
	return &link{cli: rpc.NewClient(&listening{Conn: con, heard: heard}), heard: heard}
}

// listening counts the reads that brought something.
type listening struct {
	net.Conn
	heard *atomic.Int64
}

// Read notes that the other side is there.
func (lis *listening) Read(buf []byte) (int, error) {
	num, err := lis.Conn.Read(buf)
	if num > 0 {
		lis.heard.Add(1)
	}
	return num, err
}
