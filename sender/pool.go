package sender

import (
	"bufio"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/collector"
)

const (
	// DefaultIdleFor is how long an idle connection is kept if the backend server states no keep-alive timeout; it is also the upper limit.
	DefaultIdleFor = 4 * time.Second
	// idleShare is the fraction of the backend server's keep-alive timeout for which an idle connection is kept, so that the server seldom closes a connection just as a request is sent on it.
	idleShare = 0.6
	// maxIdlePerServer is the maximum number of idle connections to one backend server; a replica group has 15 to 20 slots in docs/ADAPTER.md.
	maxIdlePerServer = 24
	// readBufferBytes is the size of a connection's read buffer: an event of a stream has some hundred bytes.
	readBufferBytes = 2048
)

// conn is a connection with its read buffer.
type conn struct {
	net.Conn
	buf       *bufio.Reader
	head      headReader
	idleUntil time.Time
}

func newConn(raw net.Conn) *conn {
	con := &conn{Conn: raw, head: headReader{src: raw}}
	con.buf = bufio.NewReaderSize(&con.head, readBufferBytes)
	return con
}

// headReader limits how many bytes are read of a connection while the head of a response is read.
type headReader struct {
	src     io.Reader
	limited bool
	left    int
}

// limit allows reads of num bytes until unlimit is called.
func (hea *headReader) limit(num int) {
	hea.limited, hea.left = true, num
}

func (hea *headReader) unlimit() {
	hea.limited = false
}

// Read reads from the connection; it fails with collector.ErrTooLarge once the limit is used up.
func (hea *headReader) Read(buf []byte) (int, error) {
	if !hea.limited {
		return hea.src.Read(buf)
	}
	if hea.left <= 0 {
		return 0, errors.Annotatef(collector.ErrTooLarge, "sender: response header")
	}
	num, err := hea.src.Read(buf[:min(len(buf), hea.left)])
	hea.left -= num
	return num, err
}

// pool holds idle connections by key; the most recently used one is taken first.
type pool struct {
	mux  sync.Mutex
	idle map[string][]*conn
}

func (poo *pool) take(key string, now time.Time) *conn {
	for {
		con := poo.pop(key)
		if con == nil {
			return nil
		}
		if now.Before(con.idleUntil) && con.stillIdle() {
			return con
		}
		_ = con.Close()
	}
}

func (poo *pool) pop(key string) *conn {
	poo.mux.Lock()
	defer poo.mux.Unlock()
	list := poo.idle[key]
	if len(list) == 0 {
		return nil
	}
	con := list[len(list)-1]
	list[len(list)-1] = nil
	poo.idle[key] = list[:len(list)-1]
	return con
}

func (poo *pool) put(key string, con *conn) {
	poo.mux.Lock()
	defer poo.mux.Unlock()
	if len(poo.idle[key]) >= maxIdlePerServer {
		_ = con.Close()
		return
	}
	poo.idle[key] = append(poo.idle[key], con)
}

// sweep closes the connections whose idle timeout has expired.
func (poo *pool) sweep(now time.Time) {
	poo.mux.Lock()
	defer poo.mux.Unlock()
	for key, list := range poo.idle {
		kept := list[:0]
		for _, con := range list {
			if now.Before(con.idleUntil) {
				kept = append(kept, con)
			} else {
				_ = con.Close()
			}
		}
		if len(kept) == 0 {
			delete(poo.idle, key)
			continue
		}
		poo.idle[key] = kept
	}
}

// stillIdle reports whether the peer has neither closed the idle connection nor sent anything on it.
func (con *conn) stillIdle() bool {
	if con.buf.Buffered() > 0 {
		return false
	}
	sys, ok := con.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, got := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = got == syscall.EAGAIN
	})
	return err == nil && empty
}
