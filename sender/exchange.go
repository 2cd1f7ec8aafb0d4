package sender

import (
	"bufio"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// interimLimit bounds the interim answers before the final one.
const interimLimit = 5

// Exchange is one request with its answer, on a connection of its own until it ends.
type Exchange struct {
	// Response is the head of the answer; its Body fails unless the answer is complete.
	Response *http.Response

	sen     *Sender
	key     string
	con     *conn
	unwatch func() bool
	written chan error
	ended   bool
	whole   bool
}

// readHead reads the head of the final answer, past interim ones.
func (exc *Exchange) readHead(method string) error {
	for range interimLimit {
		res, err := http.ReadResponse(exc.con.buf, &http.Request{Method: method})
		if err != nil {
			return errors.Trace(err)
		}
		if res.StatusCode >= http.StatusOK {
			exc.whole = res.ContentLength == 0
			res.Body = &body{ReadCloser: res.Body, exc: exc}
			exc.Response = res
			return nil
		}
		if err := res.Body.Close(); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.NotValidf("row of interim answers")
}

// Lines reads the answer's body; it fails with io.EOF only at the complete end.
func (exc *Exchange) Lines() *bufio.Reader {
	return bufio.NewReaderSize(exc.Response.Body, readBuffer)
}

// Pause bounds how long the next reads may wait for bytes; zero takes the bound away.
func (exc *Exchange) Pause(until time.Time) {
	_ = exc.con.SetReadDeadline(until)
}

// End gives the connection up, or keeps it for another request when the answer was read whole and the backend server keeps it open.
func (exc *Exchange) End(keep bool) {
	if exc.ended {
		return
	}
	exc.ended = true
	watched := exc.unwatch()
	if !keep || !watched || !exc.whole || !exc.sent() {
		_ = exc.con.Close()
		return
	}
	idle := idleFor(exc.Response)
	if idle <= 0 || exc.con.buf.Buffered() > 0 {
		_ = exc.con.Close()
		return
	}
	_ = exc.con.SetReadDeadline(time.Time{})
	exc.con.until = exc.sen.clk.Now().Add(idle)
	exc.sen.poo.put(exc.key, exc.con)
}

// sent reports whether the whole request was written by now.
func (exc *Exchange) sent() bool {
	select {
	case err := <-exc.written:
		return err == nil
	default:
		return false
	}
}

// body notes when the answer was read to its complete end.
type body struct {
	io.ReadCloser
	exc *Exchange
}

// Read reads the body of the answer.
func (bod *body) Read(buf []byte) (int, error) {
	num, err := bod.ReadCloser.Read(buf)
	if errors.Is(err, io.EOF) {
		bod.exc.whole = true
	}
	return num, err
}
