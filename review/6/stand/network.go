package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// firstRetransmission is the first retransmission timeout of TCP, which doubles with each loss.
const firstRetransmission = 200 * time.Millisecond

// retransmissions bounds how often held bytes are sent again.
const retransmissions = 8

// link is the way between the address at which others know a peer and the peer's own address. While it is cut it passes nothing in either direction; bytes that were sent meanwhile on open connections pass at their first retransmission after its end, unless their sender has reset the connection. Connections that are opened meanwhile never pass anything.
type link struct {
	lis net.Listener
	to  string

	mux     sync.Mutex
	cut     bool
	changed chan struct{}
	open    map[net.Conn]struct{}
	// requests counts the bytes that were sent to the peer.
	requests int
	// awaited is what a request contains that is waited for, and asked is closed when it passes; nil if none is.
	awaited []byte
	asked   chan struct{}
}

func newLink(ctx context.Context, address, to string) (*link, error) {
	lis, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	lin := &link{lis: lis, to: to, changed: make(chan struct{}), open: map[net.Conn]struct{}{}}
	go lin.accept()
	return lin, nil
}

func (lin *link) accept() {
	for {
		con, err := lin.lis.Accept()
		if err != nil {
			return
		}
		go lin.serve(con)
	}
}

// setCut begins or ends a cut.
func (lin *link) setCut(cut bool) {
	lin.mux.Lock()
	defer lin.mux.Unlock()
	lin.cut = cut
	close(lin.changed)
	lin.changed = make(chan struct{})
}

func (lin *link) state() (cut bool, changed chan struct{}) {
	lin.mux.Lock()
	defer lin.mux.Unlock()
	return lin.cut, lin.changed
}

// awaitRequest waits until a request that contains a text passes to the peer after the call.
func (lin *link) awaitRequest(ctx context.Context, text string) error {
	asked := make(chan struct{})
	lin.mux.Lock()
	lin.awaited, lin.asked = []byte(text), asked
	lin.mux.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-asked:
		return nil
	}
}

// noteRequest counts bytes that pass to the peer.
func (lin *link) noteRequest(data []byte) {
	lin.mux.Lock()
	defer lin.mux.Unlock()
	lin.requests += len(data)
	if lin.asked != nil && bytes.Contains(data, lin.awaited) {
		close(lin.asked)
		lin.asked = nil
	}
}

// sent returns the bytes that were sent to the peer so far.
func (lin *link) sent() int {
	lin.mux.Lock()
	defer lin.mux.Unlock()
	return lin.requests
}

func (lin *link) serve(con net.Conn) {
	defer lin.track(con)()
	if cut, changed := lin.state(); cut {
		<-changed
		reset(con)
		return
	}
	// The peer sees the sender's own address.
	from := con.RemoteAddr().(*net.TCPAddr).IP
	out, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: from}}).Dial("tcp", lin.to)
	if err != nil {
		reset(con)
		return
	}
	defer lin.track(out)()
	var both sync.WaitGroup
	both.Go(func() { lin.pass(con, out, lin.noteRequest) })
	both.Go(func() { lin.pass(out, con, func([]byte) {}) })
	both.Wait()
}

// piece is what was read at once, and how the connection has ended, if it has.
type piece struct {
	data []byte
	at   time.Time
	err  error
}

// pass copies one direction until it ends. A reset takes what is held with it.
func (lin *link) pass(src, dst net.Conn, note func(data []byte)) {
	pieces := make(chan piece, 1024)
	broken := make(chan struct{})
	go func() {
		defer close(pieces)
		for {
			buf := make([]byte, 32<<10)
			num, err := src.Read(buf)
			if errors.Is(err, syscall.ECONNRESET) {
				close(broken)
			}
			pieces <- piece{data: buf[:num], at: time.Now(), err: err}
			if err != nil {
				return
			}
		}
	}()
	for pie := range pieces {
		if !lin.awaitPassage(pie.at, broken) {
			reset(dst)
			break
		}
		if len(pie.data) > 0 {
			note(pie.data)
			if _, err := dst.Write(pie.data); err != nil {
				break
			}
		}
		switch {
		case errors.Is(pie.err, io.EOF):
			_ = dst.(*net.TCPConn).CloseWrite()
		case pie.err != nil:
			reset(dst)
		}
	}
	// The reader must not wait for room.
	for range pieces {
	}
}

// awaitPassage waits until bytes that were sent at a time get through, and reports whether they do.
func (lin *link) awaitPassage(sent time.Time, broken chan struct{}) bool {
	waited := false
	for {
		cut, changed := lin.state()
		if !cut {
			break
		}
		waited = true
		select {
		case <-changed:
		case <-broken:
			return false
		}
	}
	if !waited {
		return true
	}
	due := sent
	for num, timeout := 0, firstRetransmission; num < retransmissions && due.Before(time.Now()); num++ {
		due = due.Add(timeout)
		timeout *= 2
	}
	select {
	case <-time.After(time.Until(due)):
		return true
	case <-broken:
		return false
	}
}

func (lin *link) track(con net.Conn) (end func()) {
	lin.mux.Lock()
	defer lin.mux.Unlock()
	lin.open[con] = struct{}{}
	return func() {
		_ = con.Close()
		lin.mux.Lock()
		defer lin.mux.Unlock()
		delete(lin.open, con)
	}
}

func (lin *link) close() {
	_ = lin.lis.Close()
	lin.mux.Lock()
	defer lin.mux.Unlock()
	for con := range lin.open {
		_ = con.Close()
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(con net.Conn) {
	_ = con.(*net.TCPConn).SetLinger(0)
	_ = con.Close()
}
