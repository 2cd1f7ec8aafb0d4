package acceptor

import (
	"container/list"
	"net"
	"time"

	"github.com/juju/errors"
)

const (
	// windowBytes is what a client may send before it is read, and bodyWindowBytes the same while a body is received. At a round trip of 6 ms they allow 43 and 340 Mbit/s. A window below half of the largest segment stalls its sender, and loopback has segments of 64 KiB.
	windowBytes     = 32 << 10
	bodyWindowBytes = 256 << 10
	// receiveBufferBytes is what the kernel may hold for such a body; it doubles the size that it is given.
	receiveBufferBytes = 2 * bodyWindowBytes
)

// phase says what the client of a connection does.
type phase int

const (
	// waiting: nothing was received yet.
	waiting phase = iota
	// reading: a part of a head or message was received.
	reading
	// parsing: the server has the whole head.
	parsing
	// serving: a request is handled.
	serving
	// receiving: a request is handled whose body is not received whole, or calls whose responses are not written.
	receiving
	// idle: the last request is answered.
	idle
	closed
)

// ErrClosed means that a connection was closed for want of room, ErrRefused that the head of its request was refused.
const (
	ErrClosed  = errors.ConstError("connection closed for want of room")
	ErrRefused = errors.ConstError("request head refused")
)

// conn is a connection of a client, on which requests or messages come.
type conn struct {
	*net.TCPConn
	acc *Acceptor
	// The acceptor's lock guards the phase, what the connection needs beside connectionBytes, and its place in a list and since when it has it.
	pha   phase
	cost  int64
	place *list.Element
	since time.Time
	// wide says that the client may send more at once than usual.
	wide bool
}

// Close closes the connection.
func (con *conn) Close() error {
	con.acc.remove(con)
	return con.TCPConn.Close()
}

// abort closes a connection that is no longer counted; the client gets a reset, and the kernel drops what was received.
func (con *conn) abort() {
	// Without the reset the connection is closed all the same.
	_ = con.SetLinger(0)
	_ = con.TCPConn.Close()
}

// widen sets whether the client may send more at once than usual.
func (con *conn) widen(wide bool) {
	if wide == con.wide {
		return
	}
	con.wide = wide
	if wide {
		con.limitUnread(bodyWindowBytes)
	} else {
		con.limitUnread(windowBytes)
	}
}

// limitUnread limits what the kernel receives before it is read. The receive buffer would grow by itself otherwise.
func (con *conn) limitUnread(num int) {
	// Without the limit the connection still works.
	_ = con.SetReadBuffer(num)
}

// Idle records that the client has sent no part of a message, and reports whether the connection is still open.
func (con *conn) Idle() bool {
	return con.acc.set(con, idle, 0)
}

// Message records that a message is being received, with num bytes for it and for earlier calls, and reports whether the connection is still open.
func (con *conn) Message(num int64) bool {
	con.widen(num > windowBytes)
	return con.acc.set(con, reading, num)
}

// Calls records that calls have no response yet, which need num bytes, and reports whether the connection is still open.
func (con *conn) Calls(num int64) bool {
	return con.acc.set(con, receiving, num)
}

// Refused counts a message that is too large.
func (con *conn) Refused() {
	con.acc.count(MessageTooLarge)
}

// Late counts a message that did not end in time.
func (con *conn) Late() {
	con.acc.count(MessageLate)
}
