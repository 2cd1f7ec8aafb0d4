package acceptor

import (
	"io"
	"net/http"

	"github.com/juju/errors"
)

// body is the body of a request; until it is read to its end, its connection may be closed for want of room.
type body struct {
	io.ReadCloser
	con    *requestConn
	length int64
	begun  bool
	ended  bool
}

// withBody returns the request as its handler gets it. The server keeps the request itself, which it looks at after the handler has returned.
func (con *requestConn) withBody(req *http.Request) *http.Request {
	if req.ContentLength == 0 || !con.acc.set(&con.conn, receiving, con.parsed) {
		return req
	}
	out := req.WithContext(req.Context())
	out.Body = &body{ReadCloser: req.Body, con: con, length: req.ContentLength}
	return out
}

// Read reads from the body. From the first read on the client may send more at once, if there is room for that.
func (bod *body) Read(buf []byte) (int, error) {
	if !bod.begun {
		bod.begun = true
		bod.con.beginBody(bod.length)
	}
	num, err := bod.ReadCloser.Read(buf)
	if errors.Is(err, io.EOF) && !bod.ended {
		bod.ended = true
		bod.con.endBody()
	}
	return num, err
}

// beginBody makes room for num bytes, -1 if their number is unknown.
func (con *requestConn) beginBody(num int64) {
	if num >= 0 && num <= windowBytes || !con.acc.fits(receiveBufferBytes) {
		return
	}
	con.widen(true)
	con.acc.set(&con.conn, receiving, con.parsed+receiveBufferBytes)
}

// endBody records that the request is received whole.
func (con *requestConn) endBody() {
	con.widen(false)
	con.acc.set(&con.conn, serving, con.parsed)
}
