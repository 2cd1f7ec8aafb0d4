package counter

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter sums the bytes of all connections that it wraps; it is safe for concurrent use.
type Counter struct {
	in  atomic.Int64
	out atomic.Int64
}

// In is how many bytes were received.
func (cou *Counter) In() int64 {
	return cou.in.Load()
}

// Out is how many bytes were sent.
func (cou *Counter) Out() int64 {
	return cou.out.Load()
}

// Wrap returns a connection whose bytes are counted.
func (cou *Counter) Wrap(con net.Conn) net.Conn {
	return &counted{Conn: con, cou: cou}
}

// Dial opens connections with the dialer and counts their bytes.
func (cou *Counter) Dial(dia *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		con, err := dia.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return cou.Wrap(con), nil
	}
}

type counted struct {
	net.Conn
	cou *Counter
}

// Read counts what it read.
func (con *counted) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	con.cou.in.Add(int64(num))
	return num, err
}

// Write counts what it wrote.
func (con *counted) Write(buf []byte) (int, error) {
	num, err := con.Conn.Write(buf)
	con.cou.out.Add(int64(num))
	return num, err
}
