package collector

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/juju/errors"
)

// socket is a TCP connection of the kernel.
type socket interface {
	net.Conn
	syscall.Conn
	SetLinger(seconds int) error
}

// guardedConn is a connection to a server that never reports a reset as a clean end, and that leaves nothing to the kernel when a request on it is given up.
type guardedConn struct {
	socket
	// unanswered says that nothing has arrived since the last write.
	unanswered atomic.Bool
}

// Guard returns a connection whose Read fails once the connection was reset, and whose Close resets it if nothing has arrived since the last write.
//
// The kernel reports a reset to one call only: if that was a write, a read finds a clean end, and a body that ends with its connection looks complete. After an ordinary close the kernel goes on sending what the server has not acknowledged, so that a request may reach it long after it was given up.
func Guard(con net.Conn) net.Conn {
	soc, ok := con.(socket)
	if !ok {
		return con
	}
	return &guardedConn{socket: soc}
}

// Read reads from the connection; it returns io.EOF only if the peer has closed its side and no reset followed.
func (con *guardedConn) Read(buf []byte) (int, error) {
	num, err := con.socket.Read(buf)
	if num > 0 {
		con.unanswered.Store(false)
	}
	if errors.Is(err, io.EOF) && con.wasReset() {
		return num, errors.Annotate(syscall.ECONNRESET, "collector: read")
	}
	return num, err
}

// Write writes to the connection.
func (con *guardedConn) Write(buf []byte) (int, error) {
	con.unanswered.Store(true)
	return con.socket.Write(buf)
}

// Close closes the connection, and drops what the server has not received of an unanswered request.
func (con *guardedConn) Close() error {
	if con.unanswered.Load() {
		// Without the reset the connection is closed all the same.
		_ = con.SetLinger(0)
	}
	return con.socket.Close()
}

// wasReset reports whether the connection has no peer any more.
func (con *guardedConn) wasReset() bool {
	raw, err := con.SyscallConn()
	if err != nil {
		return true
	}
	var lost error
	err = raw.Control(func(fd uintptr) { _, lost = syscall.Getpeername(int(fd)) })
	return err != nil || lost != nil
}
