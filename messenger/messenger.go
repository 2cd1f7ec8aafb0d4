package messenger

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/counter"
)

const dialTimeout = time.Second

// ErrUnreachable says that an entry could not be called; the call may have been carried out all the same.
const ErrUnreachable = errors.ConstError("entry is not reachable")

// ErrNotSent says that a call was certainly not carried out.
const ErrNotSent = errors.ConstError("call was not sent")

// Messenger keeps one connection to each entry that it calls.
type Messenger struct {
	dia func(ctx context.Context, network, address string) (net.Conn, error)
	mtx sync.Mutex
	cli map[string]*link
}

// New returns a messenger that dials from the given IP address and counts its bytes.
func New(source net.IP, cou *counter.Counter) *Messenger {
	return &Messenger{
		dia: cou.Dial(&net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: source}}),
		cli: map[string]*link{},
	}
}

// Call calls a method of the entry at the address IP:PORT; it fails with ErrNotSent, ErrUnreachable or the method's own error.
//
// A connection that does not take the request before the context ends is dropped; one on which nothing at all came until the call's deadline takes no more calls.
func Call[Req, Res any](ctx context.Context, mes *Messenger, address, method string, req Req) (Res, error) {
	var res Res
	lin, err := mes.link(ctx, address)
	if err != nil {
		return res, errors.WithType(errors.Annotate(err, string(ErrNotSent)), ErrNotSent)
	}
	defer mes.end(lin)
	heard := lin.heard.Load()
	stop := context.AfterFunc(ctx, func() { mes.drop(address, lin) })
	done := lin.cli.Go("Entry."+method, &req, &res, make(chan *rpc.Call, 1)).Done
	stop()
	select {
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && lin.heard.Load() == heard {
			mes.retire(address, lin)
		}
		return *new(Res), errors.WithType(errors.Annotate(ctx.Err(), string(ErrUnreachable)), ErrUnreachable)
	case call := <-done:
		return res, mes.settle(address, lin, call.Error)
	}
}

func (mes *Messenger) settle(address string, lin *link, err error) error {
	if err == nil {
		return nil
	}
	if _, own := errors.AsType[rpc.ServerError](err); own {
		return errors.Annotate(err, "messenger: answer of "+address)
	}
	mes.drop(address, lin)
	return errors.WithType(errors.Annotate(err, string(ErrUnreachable)), ErrUnreachable)
}

// link returns the connection to an address with one more call on it.
func (mes *Messenger) link(ctx context.Context, address string) (*link, error) {
	mes.mtx.Lock()
	lin, known := mes.cli[address]
	if known {
		lin.calls++
	}
	mes.mtx.Unlock()
	if known {
		return lin, nil
	}
	con, err := mes.dia(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "messenger: dial")
	}
	lin = newLink(con)
	mes.mtx.Lock()
	defer mes.mtx.Unlock()
	if oth, raced := mes.cli[address]; raced {
		_ = lin.cli.Close()
		oth.calls++
		return oth, nil
	}
	lin.calls++
	mes.cli[address] = lin
	return lin, nil
}

// end takes a call off its connection; the last one closes a connection that takes no more.
func (mes *Messenger) end(lin *link) {
	mes.mtx.Lock()
	defer mes.mtx.Unlock()
	lin.calls--
	if lin.retired && lin.calls == 0 {
		_ = lin.cli.Close()
	}
}

// retire has the next call to an address dial anew, and lets the other calls on the connection end.
func (mes *Messenger) retire(address string, lin *link) {
	mes.mtx.Lock()
	defer mes.mtx.Unlock()
	if mes.cli[address] == lin {
		delete(mes.cli, address)
		lin.retired = true
	}
}

func (mes *Messenger) drop(address string, lin *link) {
	mes.mtx.Lock()
	defer mes.mtx.Unlock()
	if mes.cli[address] == lin {
		delete(mes.cli, address)
	}
	_ = lin.cli.Close()
}

// Forget closes the connection to an address, so that the next call dials anew.
func (mes *Messenger) Forget(address string) {
	mes.mtx.Lock()
	lin := mes.cli[address]
	mes.mtx.Unlock()
	if lin != nil {
		mes.drop(address, lin)
	}
}

// Close closes all connections.
func (mes *Messenger) Close() {
	mes.mtx.Lock()
	defer mes.mtx.Unlock()
	for address, lin := range mes.cli {
		_ = lin.cli.Close()
		delete(mes.cli, address)
	}
}
