package acceptor

import (
	"net"
	"net/http"
	"time"
)

// requestConn is a connection on which an HTTP server reads requests.
type requestConn struct {
	conn
	limits func() Limits
	head   head
	// parsed is what the head of the request that is handled needs.
	parsed int64
	// deadline is the read deadline that the server has set.
	deadline time.Time
}

// SetReadDeadline sets the time until which reads wait.
func (con *requestConn) SetReadDeadline(until time.Time) error {
	con.deadline = until
	return con.TCPConn.SetReadDeadline(until)
}

// onState follows the server from one request to the next.
func (con *requestConn) onState(sta http.ConnState) {
	switch sta {
	case http.StateActive:
		con.acc.set(&con.conn, serving, con.parsed)
	case http.StateIdle:
		con.parsed = 0
		con.head.restart()
		con.widen(false)
		con.acc.set(&con.conn, idle, 0)
	case http.StateClosed, http.StateHijacked:
		con.acc.remove(&con.conn)
	}
}

// failedRead returns an error as that of a read, after which a server sends nothing.
func failedRead(err error) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}
