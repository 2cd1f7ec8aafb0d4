package messenger

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// callBytes is what a call needs until its response is written.
	callBytes = 16 << 10
	// writeTimeout limits writing a response to an entry that does not read.
	writeTimeout = 5 * time.Second
)

// account counts what a connection needs; each method reports whether the connection may stay open. Idle says that it waits for a message, Message that one of num bytes is being received, and Calls that num bytes are needed for calls without a response. Refused counts a message that is too large, Late one that does not end in time.
type account interface {
	Idle() bool
	Message(num int64) bool
	Calls(num int64) bool
	Refused()
	Late()
}

// noAccount is the account of a connection that nothing counts.
type noAccount struct{}

func (noAccount) Idle() bool         { return true }
func (noAccount) Message(int64) bool { return true }
func (noAccount) Calls(int64) bool   { return true }
func (noAccount) Refused()           {}
func (noAccount) Late()              {}

// codec is the server's side of an RPC connection. It reads no further calls while too many have no response.
type codec struct {
	con net.Conn
	rea *messageReader
	dec *gob.Decoder
	enc *gob.Encoder
	buf *bufio.Writer

	mtx   sync.Mutex
	freed *sync.Cond
	calls int
	max   int
	ended bool
}

func newCodec(con net.Conn, opt Options) *codec {
	acc, ok := con.(account)
	if !ok {
		acc = noAccount{}
	}
	opt = opt.withDefaults()
	con = opt.Counter.Wrap(con)
	buf := bufio.NewWriter(con)
	rea := &messageReader{con: con, acc: acc, max: opt.MessageBytes}
	out := &codec{con: con, rea: rea, dec: gob.NewDecoder(rea), enc: gob.NewEncoder(buf), buf: buf, max: opt.Calls}
	out.freed = sync.NewCond(&out.mtx)
	return out
}

// ReadRequestHeader waits until there are few calls without a response, and reads the next one.
func (cod *codec) ReadRequestHeader(req *rpc.Request) error {
	if err := cod.begin(); err != nil {
		return err
	}
	return cod.dec.Decode(req)
}

func (cod *codec) begin() error {
	cod.mtx.Lock()
	defer cod.mtx.Unlock()
	for cod.calls >= cod.max && !cod.ended {
		cod.freed.Wait()
	}
	if cod.ended {
		return errors.Trace(net.ErrClosed)
	}
	cod.calls++
	return cod.rea.setCalls(cod.calls - 1)
}

// ReadRequestBody reads the argument of a call.
func (cod *codec) ReadRequestBody(body any) error {
	return cod.dec.Decode(body)
}

// WriteResponse writes a response. The connection is closed if that fails, since the next one would begin in the middle of it.
func (cod *codec) WriteResponse(res *rpc.Response, body any) error {
	err := cod.write(res, body)
	cod.mtx.Lock()
	cod.calls--
	if err == nil {
		err = cod.rea.setCalls(cod.calls - 1)
	}
	cod.mtx.Unlock()
	cod.freed.Signal()
	if err != nil {
		_ = cod.Close()
	}
	return err
}

func (cod *codec) write(res *rpc.Response, body any) error {
	if err := cod.con.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := cod.enc.Encode(res); err != nil {
		return err
	}
	if err := cod.enc.Encode(body); err != nil {
		return err
	}
	return cod.buf.Flush()
}

// Close closes the connection.
func (cod *codec) Close() error {
	cod.mtx.Lock()
	cod.ended = true
	cod.mtx.Unlock()
	cod.freed.Broadcast()
	return cod.con.Close()
}
