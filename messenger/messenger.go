package messenger

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/counter"
)

const dialTimeout = time.Second

// ErrUnreachable means that a call to an entry failed; the entry may have executed it all the same.
const ErrUnreachable = errors.ConstError("entry is not reachable")

// ErrNotSent means that a call was not sent, so the entry has certainly not executed it.
const ErrNotSent = errors.ConstError("call was not sent")

// Messenger keeps one connection to each entry that it calls; it is safe for concurrent use.
type Messenger struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	// lastCall is the number of the last call.
	lastCall    atomic.Int64
	mtx         sync.Mutex
	connections map[string]*connection
}

// New returns a messenger that dials from the given source IP address and counts the bytes sent and received.
func New(source net.IP, cou *counter.Counter) *Messenger {
	return &Messenger{
		dial:        cou.Dial(&net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: source}}),
		connections: map[string]*connection{},
	}
}

// Call calls a method of the entry at the address IP:PORT; it fails with ErrNotSent, ErrUnreachable or the error that the method returned.
//
// If the request cannot be written before the context ends, the connection is closed. If no data at all arrives on the
// connection before the deadline of the call, it is retired with all others on which none has arrived meanwhile, since
// many may go silent at the same time: they take no further calls.
func Call[Req, Res any](ctx context.Context, mes *Messenger, address, method string, req Req) (Res, error) {
	var res Res
	con, err := mes.acquire(ctx, address)
	if err != nil {
		return res, errors.WithType(errors.Annotate(err, string(ErrNotSent)), ErrNotSent)
	}
	defer mes.release(con)
	call := mes.lastCall.Add(1)
	stop := context.AfterFunc(ctx, func() { mes.drop(address, con) })
	done := con.cli.Go("Entry."+method, &req, &res, make(chan *rpc.Call, 1)).Done
	stop()
	select {
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) && con.lastRead.Load() < call {
			mes.retireSilent(call)
		}
		return *new(Res), errors.WithType(errors.Annotate(ctx.Err(), string(ErrUnreachable)), ErrUnreachable)
	case end := <-done:
		return res, mes.classifyError(address, con, end.Error)
	}
}

func (mes *Messenger) classifyError(address string, con *connection, err error) error {
	if err == nil {
		return nil
	}
	if _, remote := errors.AsType[rpc.ServerError](err); remote {
		return errors.Annotate(err, "messenger: error returned by "+address)
	}
	mes.drop(address, con)
	return errors.WithType(errors.Annotate(err, string(ErrUnreachable)), ErrUnreachable)
}

// acquire returns the connection to an address, dialing if there is none, and counts one more call on it.
func (mes *Messenger) acquire(ctx context.Context, address string) (*connection, error) {
	mes.mtx.Lock()
	con, known := mes.connections[address]
	if known {
		con.calls++
	}
	mes.mtx.Unlock()
	if known {
		return con, nil
	}
	raw, err := mes.dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Annotate(err, "messenger: dial")
	}
	con = newConnection(raw, &mes.lastCall)
	mes.mtx.Lock()
	defer mes.mtx.Unlock()
	if oth, raced := mes.connections[address]; raced {
		_ = con.cli.Close()
		oth.calls++
		return oth, nil
	}
	con.calls++
	mes.connections[address] = con
	return con, nil
}

// release ends a call on its connection, and closes a retired connection after the last call.
func (mes *Messenger) release(con *connection) {
	mes.mtx.Lock()
	defer mes.mtx.Unlock()
	con.calls--
	if con.retired && con.calls == 0 {
		_ = con.cli.Close()
	}
}

// retireSilent makes the next calls on all connections dial again on which no data has arrived since a call, and lets the calls on them finish.
func (mes *Messenger) retireSilent(call int64) {
	mes.mtx.Lock()
	defer mes.mtx.Unlock()
	for address, con := range mes.connections {
		if con.lastRead.Load() >= call {
			continue
		}
		delete(mes.connections, address)
		con.retired = true
		if con.calls == 0 {
			_ = con.cli.Close()
		}
	}
}

func (mes *Messenger) drop(address string, con *connection) {
	mes.mtx.Lock()
	defer mes.mtx.Unlock()
	if mes.connections[address] == con {
		delete(mes.connections, address)
	}
	_ = con.cli.Close()
}

// Disconnect closes the connection to an address, so that the next call dials again.
func (mes *Messenger) Disconnect(address string) {
	mes.mtx.Lock()
	con := mes.connections[address]
	mes.mtx.Unlock()
	if con != nil {
		mes.drop(address, con)
	}
}

// Close closes all connections.
func (mes *Messenger) Close() {
	mes.mtx.Lock()
	defer mes.mtx.Unlock()
	for address, con := range mes.connections {
		_ = con.cli.Close()
		delete(mes.connections, address)
	}
}
