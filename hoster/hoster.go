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

// Host serves a handler at one address.
type Host struct {
	handler http.Handler
	mut     sync.Mutex
	address string
	server  *http.Server
}

// New makes a host for an address IP:PORT; port 0 is chosen at the first start and then kept.
func New(address string, handler http.Handler) *Host {
	return &Host{address: address, handler: handler}
}

// Start begins to listen; it does nothing when the host runs already.
func (hst *Host) Start() error {
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
	hst.server = srv
	go func() { _ = srv.Serve(lis) }()
	return nil
}

// Address returns the address that callers reach the host at.
func (hst *Host) Address() string {
	hst.mut.Lock()
	defer hst.mut.Unlock()
	return hst.address
}

// Close closes the listener and all connections at once; Start may follow.
func (hst *Host) Close() {
	hst.mut.Lock()
	defer hst.mut.Unlock()
	if hst.server == nil {
		return
	}
	_ = hst.server.Close()
	hst.server = nil
}
