package conductor

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/registrar"
)

// Kind says what an order asks of a backend server.
type Kind string

// The kinds of orders: Join takes a server into a group, Open has the head take requests, CloseWait and CloseCut end that after or without what runs, Leave takes a server out, Stage loads a model onto the host.
const (
	Join            Kind = "join"
	Open            Kind = "open"
	CloseGracefully Kind = "close_wait"
	CloseNow        Kind = "close_cut"
	Leave           Kind = "leave"
	Stage           Kind = "stage"
)

// Order is one order; Expect is how many orders the server has begun so far.
type Order struct {
	Kind           Kind
	ExpectedOrders int64
	Group          string
	Epoch          int64
	Model          string
	Members        []string
}

// Report is what a server says of itself when asked.
type Report struct {
	Orders  int64
	Started int64
	Group   registrar.Membership
}

// ErrOrderMismatch says that an order does not fit the state of the server.
const ErrOrderMismatch = errors.ConstError("order does not fit")

// ErrServerReplaced says that another server, or another life of it, has the address.
const ErrServerReplaced = errors.ConstError("another server has the address")

// ErrUnexpectedAnswer says that a server gave an answer that is neither a report nor a verdict on an order.
const ErrUnexpectedAnswer = errors.ConstError("server answered otherwise")

// EngineClient sends orders and asks for reports; calls fail with ErrMisfit, ErrStranger, ErrOther, detector.ErrDown, or another error when there was no answer.
type EngineClient interface {
	Report(ctx context.Context, ser registrar.Server) (Report, error)
	Order(ctx context.Context, ser registrar.Server, ord Order) error
}

const (
	// callWithin bounds one order or report; an answer takes two round trips of at most 3 ms.
	callWithin = 400 * time.Millisecond
	// lookEvery is the time between two looks at what an order came to.
	lookEvery = 50 * time.Millisecond
	// reportLag is how old the counts of a report may be, with a margin; engines of the sites in docs/ADAPTER.md say 200 ms.
	reportLag = 250 * time.Millisecond
)

// lives counts the orders that each life of a server has begun, as far as this entry knows.
func (con *Conductor) expect(ctx context.Context, ser registrar.Server) (int64, error) {
	con.mux.Lock()
	num, known := con.orders[ser.Life()]
	con.mux.Unlock()
	if known {
		return num, nil
	}
	rep, err := con.report(ctx, ser)
	return rep.Orders, err
}

func (con *Conductor) report(ctx context.Context, ser registrar.Server) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	rep, err := con.opt.Engines.Report(ctx, ser)
	if err == nil && rep.Started != ser.Started {
		err = errors.WithType(errors.Errorf("conductor: server %s has started again", ser.ID), ErrServerReplaced)
	}
	return rep, err
}

// send sends an order once and keeps count.
func (con *Conductor) send(ctx context.Context, ser registrar.Server, ord Order) error {
	num, err := con.expect(ctx, ser)
	if err != nil {
		return err
	}
	ord.ExpectedOrders = num
	call, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	err = con.opt.Engines.Order(call, ser, ord)
	con.mux.Lock()
	defer con.mux.Unlock()
	if err == nil {
		con.orders[ser.Life()] = num + 1
	} else {
		delete(con.orders, ser.Life())
	}
	return err
}

// carry sends an order until it is taken or the server's report shows that it is done; it ends early when the server is gone.
func (con *Conductor) carry(ctx context.Context, ser registrar.Server, ord Order, done func(gro registrar.Membership) bool) error {
	for {
		err := con.send(ctx, ser, ord)
		if err == nil {
			return nil
		}
		if gone(err) {
			return err
		}
		con.opt.Logger.WithError(err).WithField("server", ser.ID).WithField("order", ord.Kind).WithField("group", ord.Group).Info("order repeated")
		if err := con.pause(ctx, reportLag); err != nil {
			return err
		}
		if rep, err := con.report(ctx, ser); err == nil && done(rep.Group) {
			return nil
		}
	}
}

func (con *Conductor) pause(ctx context.Context, dur time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-con.opt.Clock.After(dur):
		return nil
	}
}
