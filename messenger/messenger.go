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
	cli map[string]*rpc.Client
}

// New returns a messenger that dials from the given IP address and counts its bytes.
func New(source net.IP, cou *counter.Counter) *Messenger {
	return &Messenger{
		dia: cou.Dial(&net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: source}}),
		cli: map[string]*rpc.Client{},
	}
}

// Call calls a method of the entry at the address IP:PORT; it fails with ErrNotSent, ErrUnreachable or the method's own error.
//
// A connection that does not take the request before the context ends is dropped.
func Call[Req, Res any](ctx context.Context, mes *Messenger, address, method string, req Req) (Res, error) {
	var res Res
	cli, err := mes.client(ctx, address)
	if err != nil {
		return res, errors.WithType(errors.Annotate(err, string(ErrNotSent)), ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { mes.drop(address, cli) })
	done := cli.Go("Entry."+method, &req, &res, make(chan *rpc.Call, 1)).Done
	stop()
	select {
	case <-ctx.Done():
		return *new(Res), errors.WithType(errors.Annotate(ctx.Err(), string(ErrUnreachable)), ErrUnreachable)
	case call := <-done:
		return res, mes.settle(address, cli, call.Error)
	}
}

func (mes *Messenger) settle(address string, cli *rpc.Client, err error) error {
	if err == nil {
		return nil
	}
	if _, own := errors.AsType[rpc.ServerError](err); own {
		return errors.Annotate(err, "messenger: answer of "+address)
	}
	mes.drop(address, cli)
	return errors.WithType(errors.Annotate(err, string(ErrUnreachable)), ErrUnreachable)
}

func (mes *Messenger) client(ctx context.Context, address string) (*rpc.Client, error) {
	mes.mtx.Lock()
	cli, known := mes.cli[address]
	mes.mtx.Unlock()
	if known {
		return cli, nil
	}
	con, err := mes.dia(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "messenger: dial")
	}
	cli = rpc.NewClient(con)
	mes.mtx.Lock()
	defer mes.mtx.Unlock()
	if oth, raced := mes.cli[address]; raced {
		_ = cli.Close()
		return oth, nil
	}
	mes.cli[address] = cli
	return cli, nil
}

func (mes *Messenger) drop(address string, cli *rpc.Client) {
	mes.mtx.Lock()
	defer mes.mtx.Unlock()
	if mes.cli[address] == cli {
		delete(mes.cli, address)
	}
	_ = cli.Close()
}

// Forget closes the connection to an address, so that the next call dials anew.
func (mes *Messenger) Forget(address string) {
	mes.mtx.Lock()
	cli := mes.cli[address]
	mes.mtx.Unlock()
	if cli != nil {
		mes.drop(address, cli)
	}
}

// Close closes all connections.
func (mes *Messenger) Close() {
	mes.mtx.Lock()
	defer mes.mtx.Unlock()
	for address, cli := range mes.cli {
		_ = cli.Close()
		delete(mes.cli, address)
	}
}
