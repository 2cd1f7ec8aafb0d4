package drainer

import (
	"net"
	"net/http"
	"sync"
)

// Drainer counts the connections on which a request is handled, until the last byte of its response is written; it is safe for concurrent use.
type Drainer struct {
	mux  sync.Mutex
	busy map[net.Conn]struct{}
}

// New returns a drainer without connections.
func New() *Drainer {
	return &Drainer{busy: map[net.Conn]struct{}{}}
}

// Watch has a server report its connections; it replaces the server's ConnState.
func (dra *Drainer) Watch(srv *http.Server) {
	srv.ConnState = func(con net.Conn, sta http.ConnState) {
		dra.mux.Lock()
		defer dra.mux.Unlock()
		if sta == http.StateActive {
			dra.busy[con] = struct{}{}
			return
		}
		delete(dra.busy, con)
	}
}

// Busy returns on how many connections a request is handled, or its response is still being written.
func (dra *Drainer) Busy() int {
	dra.mux.Lock()
	defer dra.mux.Unlock()
	return len(dra.busy)
}
