package sender

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// DefaultIdleFor is how long a connection is kept when the backend server does not say how long it keeps it.
	DefaultIdleFor = 4 * time.Second
	// idleShare of the time that the backend server keeps an idle connection is used, so that its close seldom crosses a request.
	idleShare = 0.6
	// keptPerAddress bounds the idle connections to one backend server; a replica group has 15 to 20 slots in docs/ADAPTER.md.
	keptPerAddress = 24
	// readBuffer is the size in bytes of a connection's read buffer: an event of a stream has some hundred bytes.
	readBuffer = 2048
)

// conn is a connection with what was read ahead of it.
type conn struct {
	net.Conn
	buf   *bufio.Reader
	until time.Time
}

// pool keeps idle connections by key; the one used last is used first.
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
		if now.Before(con.until) && con.quiet() {
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
	if len(poo.idle[key]) >= keptPerAddress {
		_ = con.Close()
		return
	}
	poo.idle[key] = append(poo.idle[key], con)
}

// sweep closes what has been idle for too long.
func (poo *pool) sweep(now time.Time) {
	poo.mux.Lock()
	defer poo.mux.Unlock()
	for key, list := range poo.idle {
		kept := list[:0]
		for _, con := range list {
			if now.Before(con.until) {
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

// quiet reports whether the peer has neither closed an idle connection nor sent anything on it.
func (con *conn) quiet() bool {
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
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, got := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = got == syscall.EAGAIN
	})
	return err == nil && quiet
}
