package hoster

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

const headerTimeout = 10 * time.Second

// Server is a restartable HTTP server that serves a handler at one address.
type Server struct {
	handler http.Handler
	mut     sync.Mutex
	address string
	server  *http.Server
	// released is closed once the listener is closed.
	released chan struct{}
}

// New returns a server for an address IP:PORT; port 0 selects a free port at the first start, which later starts reuse.
func New(address string, handler http.Handler) *Server {
	return &Server{address: address, handler: handler}
}

// Start starts listening; it does nothing when the server is already running and fails when the address cannot be bound.
func (hst *Server) Start() error {
	hst.mut.Lock()
	defer hst.mut.Unlock()
	if hst.server != nil {
		return nil
	}
	var cfg net.ListenConfig
	lis, err := cfg.Listen(context.Background(), "tcp", hst.address)
	if err != nil {
		return errors.Annotatef(err, "hoster: listen at %s", hst.address)
	}
	hst.address = lis.Addr().String()
	srv := &http.Server{Handler: hst.handler, ReadHeaderTimeout: headerTimeout, ErrorLog: log.New(io.Discard, "", 0)}
	released := make(chan struct{})
	hst.server, hst.released = srv, released
	go func() {
		defer close(released)
		_ = srv.Serve(lis)
	}()
	return nil
}

// Address returns the address of the server; it has the chosen port after the first start.
func (hst *Server) Address() string {
	hst.mut.Lock()
	defer hst.mut.Unlock()
	return hst.address
}

// Close closes the listener and all connections immediately and returns once the address is free; the server can be started again.
func (hst *Server) Close() {
	hst.mut.Lock()
	defer hst.mut.Unlock()
	if hst.server == nil {
		return
	}
	_ = hst.server.Close()
	<-hst.released
	hst.server = nil
}
