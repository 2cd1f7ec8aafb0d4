package counter

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
)

// Counter sums the bytes of all connections that it wraps; it is safe for concurrent use.
type Counter struct {
	in  atomic.Int64
	out atomic.Int64
}

// BytesReceived returns the number of bytes received.
func (cou *Counter) BytesReceived() int64 {
	return cou.in.Load()
}

// BytesSent returns the number of bytes sent.
func (cou *Counter) BytesSent() int64 {
	return cou.out.Load()
}

// Wrap returns a connection whose bytes are counted.
func (cou *Counter) Wrap(con net.Conn) net.Conn {
	return &countedConn{Conn: con, cou: cou}
}

// Dial returns a dial function that counts the bytes of the connections that it opens.
func (cou *Counter) Dial(dia *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		con, err := dia.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := con.(*net.TCPConn); ok {
			return &countedTCPConn{countedConn: countedConn{Conn: tcp, cou: cou}, tcp: tcp}, nil
		}
		return cou.Wrap(con), nil
	}
}

// countedTCPConn is a counted connection with access to its socket.
type countedTCPConn struct {
	countedConn
	tcp *net.TCPConn
}

// SyscallConn returns the socket of the connection.
func (con *countedTCPConn) SyscallConn() (syscall.RawConn, error) {
	return con.tcp.SyscallConn()
}

// SetLinger sets how the connection is closed while it has unsent or unacknowledged data.
func (con *countedTCPConn) SetLinger(seconds int) error {
	return con.tcp.SetLinger(seconds)
}

type countedConn struct {
	net.Conn
	cou *Counter
}

// Read reads from the connection and counts the bytes.
func (con *countedConn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	con.cou.in.Add(int64(num))
	return num, err
}

// Write writes to the connection and counts the bytes.
func (con *countedConn) Write(buf []byte) (int, error) {
	num, err := con.Conn.Write(buf)
	con.cou.out.Add(int64(num))
	return num, err
}
