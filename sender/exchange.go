package sender

import (
	"bufio"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/collector"
)

// maxResponses is the maximum number of responses read for one request: interim ones (1xx), and the final one.
const maxResponses = 5

const (
	// discardTimeout is how long Discard waits for the rest of a body: it comes with the header unless the backend server is in trouble.
	discardTimeout = 50 * time.Millisecond
	// maxDiscardBytes is the size in bytes above which a new connection is cheaper than the rest of a body.
	maxDiscardBytes = 16 << 10
)

// Exchange is one request and its response; it has exclusive use of its connection until End is called.
type Exchange struct {
	// Response has the header of the response; its Body returns io.EOF only if the body is complete.
	Response *http.Response
	// Kept says that the connection was kept from an earlier request.
	Kept bool

	sen       *Sender
	key       string
	con       *conn
	stopWatch func() bool
	written   chan error
	ended     bool
	complete  bool
	// unframed says that the response body has no other end than that of the connection.
	unframed bool
}

// readHead reads the header of the final response and skips interim ones; it fails with collector.ErrTooLarge if they are too large together, and with errors.NotValid if one has no valid status.
func (exc *Exchange) readHead(method string) error {
	exc.con.head.limit(collector.MaxHeadBytes)
	defer exc.con.head.unlimit()
	for range maxResponses {
		res, err := http.ReadResponse(exc.con.buf, &http.Request{Method: method})
		if err != nil {
			return errors.Trace(err)
		}
		if err := collector.CheckStatus(res.StatusCode); err != nil {
			return errors.Trace(err)
		}
		if !collector.IsInterim(res.StatusCode) {
			exc.complete = res.ContentLength == 0
			exc.unframed = res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Body != http.NoBody
			res.Body = &body{ReadCloser: res.Body, exc: exc}
			exc.Response = res
			return nil
		}
		if err := res.Body.Close(); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.NotValidf("number of interim responses")
}

// BodyReader returns a buffered reader of the response body; it returns io.EOF only if the body is complete.
func (exc *Exchange) BodyReader() *bufio.Reader {
	return bufio.NewReaderSize(exc.Response.Body, readBufferBytes)
}

// EndsWithConnection reports whether the response body has no other end than that of the connection.
func (exc *Exchange) EndsWithConnection() bool {
	return exc.unframed
}

// SetReadDeadline sets the time until which reads of the response wait for bytes; the zero time removes the deadline.
func (exc *Exchange) SetReadDeadline(until time.Time) {
	_ = exc.con.SetReadDeadline(until)
}

// Discard reads the rest of the body of a response that is not needed, so that End can keep the connection; it gives up soon if the body is long or late.
func (exc *Exchange) Discard() {
	exc.SetReadDeadline(exc.sen.clk.Now().Add(discardTimeout))
	_, _ = io.CopyN(io.Discard, exc.Response.Body, maxDiscardBytes)
}

// End closes the connection, or returns it to the pool if keep is set, the response was read completely and the backend server keeps the connection open.
func (exc *Exchange) End(keep bool) {
	if exc.ended {
		return
	}
	exc.ended = true
	watched := exc.stopWatch()
	if !keep || !watched || !exc.complete || !exc.sent() {
		_ = exc.con.Close()
		return
	}
	idle := idleTimeout(exc.Response)
	if idle <= 0 || exc.con.buf.Buffered() > 0 {
		_ = exc.con.Close()
		return
	}
	_ = exc.con.SetReadDeadline(time.Time{})
	exc.con.idleUntil = exc.sen.clk.Now().Add(idle)
	exc.sen.poo.put(exc.key, exc.con)
}

// sent reports whether the whole request has been written.
func (exc *Exchange) sent() bool {
	select {
	case err := <-exc.written:
		return err == nil
	default:
		return false
	}
}

// body records whether the response body was read to its end.
type body struct {
	io.ReadCloser
	exc *Exchange
}

// Read reads from the response body.
func (bod *body) Read(buf []byte) (int, error) {
	num, err := bod.ReadCloser.Read(buf)
	if errors.Is(err, io.EOF) {
		bod.exc.complete = true
	}
	return num, err
}
