package acceptor

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/juju/errors"
)

const (
	// The defaults of Limits.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 5 * time.Second
	// separatorBytes is what a head may have beyond its limit, which does not count separators.
	separatorBytes = 4 << 10
	// firstHeadBytes is the size of the first buffer for a head that needs one.
	firstHeadBytes = 4 << 10
	// lingerTime and lingerBytes limit how long and how much of a refused request is read, so that its client gets the refusal.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
	// tailBytes is the number of bytes before a read in which an empty line may begin.
	tailBytes = 2
	// retryAfter is the Retry-After in seconds of a request without room, short because another process can take it at once.
	retryAfter = "0.100"
)

// Limits bound the head of a request: its size in bytes without separators, and the time from its first byte to its last. Zero means the default of a field.
type Limits struct {
	HeaderBytes   int
	HeaderTimeout time.Duration
}

func (lim Limits) withDefaults() Limits {
	return Limits{HeaderBytes: cmp.Or(lim.HeaderBytes, defaultHeaderBytes), HeaderTimeout: cmp.Or(lim.HeaderTimeout, defaultHeaderTimeout)}
}

// head is the head that is being read, and what was read beyond it.
type head struct {
	// data has the bytes that the server has not read yet.
	data []byte
	// size and lines count the whole head so far, and since is when its first byte was read.
	size  int
	lines int
	since time.Time
	// tail has the last bytes that were read before.
	tail []byte
}

// Read reads from the connection. The bytes of a head are held back until it is whole.
func (con *requestConn) Read(buf []byte) (int, error) {
	if len(con.head.data) > 0 {
		return con.deliver(buf), nil
	}
	switch con.acc.phaseOf(&con.conn) {
	case serving, receiving:
		num, err := con.TCPConn.Read(buf)
		con.head.keepTail(buf[:num])
		return num, err
	case parsing:
		// The head goes on after an empty line that was not its end.
		if !con.acc.set(&con.conn, reading, con.parsed) {
			return 0, failedRead(ErrClosed)
		}
	case closed:
		return 0, failedRead(ErrClosed)
	}
	return con.readHead(buf)
}

// deliver copies bytes of the head to the server.
func (con *requestConn) deliver(buf []byte) int {
	num := copy(buf, con.head.data)
	if con.head.data = con.head.data[num:]; len(con.head.data) == 0 {
		con.head.data = nil
	}
	return num
}

// readHead reads until the head is whole. Most heads come in one piece, which needs no buffer.
func (con *requestConn) readHead(buf []byte) (int, error) {
	num, err := con.TCPConn.Read(buf)
	if err != nil || num == 0 {
		return 0, err
	}
	if con.head.size == 0 {
		con.head.since = con.acc.opt.Clock.Now()
	}
	if con.head.add(buf[:num]) {
		if err := con.finishHead(); err != nil {
			return 0, err
		}
		return num, nil
	}
	if err := con.readRest(buf[:num]); err != nil {
		con.head.data = nil
		return 0, err
	}
	return con.deliver(buf), nil
}

// readRest reads the rest of a head after its first piece.
func (con *requestConn) readRest(first []byte) error {
	con.head.data = append(make([]byte, 0, firstHeadBytes), first...)
	for whole := false; !whole; {
		var err error
		if whole, err = con.readMore(); err != nil {
			return err
		}
	}
	if err := con.finishHead(); err != nil {
		return err
	}
	return con.TCPConn.SetReadDeadline(con.deadline)
}

// readMore reads a piece of a head that is not whole, and reports whether it is now.
func (con *requestConn) readMore() (bool, error) {
	if !con.fits() {
		return false, con.refuse(http.StatusRequestHeaderFieldsTooLarge, TooLarge)
	}
	size := cap(con.head.data)
	if len(con.head.data) == size {
		size *= 2
	}
	if !con.acc.set(&con.conn, reading, con.parsed+int64(size)) {
		return false, failedRead(ErrClosed)
	}
	if size > cap(con.head.data) {
		con.head.data = append(make([]byte, 0, size), con.head.data...)
	}
	if err := con.TCPConn.SetReadDeadline(con.headDeadline()); err != nil {
		return false, err
	}
	free := con.head.data[len(con.head.data):size]
	num, err := con.TCPConn.Read(free)
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			con.acc.count(Late)
		}
		return false, err
	}
	con.head.data = con.head.data[:len(con.head.data)+num]
	return con.head.add(free[:num]), nil
}

// headDeadline returns until when the head must be whole.
func (con *requestConn) headDeadline() time.Time {
	until := con.head.since.Add(con.limits().withDefaults().HeaderTimeout)
	if !con.deadline.IsZero() && con.deadline.Before(until) {
		return con.deadline
	}
	return until
}

// fits reports whether the head is within its limit so far.
func (con *requestConn) fits() bool {
	return con.head.size <= con.limits().withDefaults().HeaderBytes+separatorBytes
}

// finishHead lets the server parse a head that is whole, or refuses it if there is no room for that.
func (con *requestConn) finishHead() error {
	if !con.fits() {
		return con.refuse(http.StatusRequestHeaderFieldsTooLarge, TooLarge)
	}
	con.parsed = int64(con.head.size) + lineBytes*int64(con.head.lines)
	switch con.acc.admit(&con.conn, con.parsed) {
	case refused:
		return con.refuse(http.StatusServiceUnavailable, NoRoom)
	case ended:
		return failedRead(ErrClosed)
	}
	return nil
}

// refuse answers a request that was not run, and reads on for a moment so that the answer is not lost by a reset.
func (con *requestConn) refuse(status int, why Reason) error {
	con.acc.count(why)
	con.head.data = nil
	if !con.acc.set(&con.conn, reading, 0) {
		return failedRead(ErrClosed)
	}
	more := ""
	if status == http.StatusServiceUnavailable {
		more = "Retry-After: " + retryAfter + "\r\n"
	}
	text := fmt.Sprintf("%d %s", status, http.StatusText(status))
	until := con.acc.opt.Clock.Now().Add(lingerTime)
	if err := con.SetDeadline(until); err != nil {
		return err
	}
	_, err := fmt.Fprintf(con.TCPConn, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s", text, more, len(text), text)
	if err == nil && con.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, con.TCPConn, lingerBytes)
	}
	return failedRead(ErrRefused)
}

// add counts the next bytes of the head, and reports whether it is whole, that is whether they have an empty line.
func (hea *head) add(data []byte) bool {
	hea.size += len(data)
	hea.lines += bytes.Count(data, []byte{'\n'})
	whole := bytes.Contains(data, []byte("\n\r\n")) || bytes.Contains(data, []byte("\n\n")) || endsLine(hea.tail, data)
	hea.keepTail(data)
	return whole
}

// endsLine reports whether an empty line begins before the data and ends in it.
func endsLine(tail, data []byte) bool {
	if bytes.HasSuffix(tail, []byte("\n")) {
		return bytes.HasPrefix(data, []byte("\n")) || bytes.HasPrefix(data, []byte("\r\n"))
	}
	return bytes.HasSuffix(tail, []byte("\n\r")) && bytes.HasPrefix(data, []byte("\n"))
}

// keepTail keeps the last bytes that were read.
func (hea *head) keepTail(data []byte) {
	if len(data) < tailBytes {
		data = append(slices.Clone(hea.tail), data...)
	}
	hea.tail = append(hea.tail[:0], data[max(0, len(data)-tailBytes):]...)
}

// restart prepares for the head of the next request.
func (hea *head) restart() {
	hea.size, hea.lines = 0, 0
}
