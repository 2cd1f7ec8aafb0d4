package conductor

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/registrar"
)

// Kind is the kind of an order to a backend server.
type Kind string

// The kinds of orders: Join takes a server into a group. Open has the head accept requests. CloseGracefully closes the head once its running requests have finished, CloseNow closes it at once. Leave takes a server out of a group. Stage loads a model onto the host.
const (
	Join            Kind = "join"
	Open            Kind = "open"
	CloseGracefully Kind = "close_wait"
	CloseNow        Kind = "close_cut"
	Leave           Kind = "leave"
	Stage           Kind = "stage"
)

// Order is an order to a backend server. ExpectedOrders is the number of orders that the server must have begun so far.
type Order struct {
	Kind           Kind
	ExpectedOrders int64
	Group          string
	Epoch          int64
	Model          string
	Members        []string
}

// Report is the answer of a server to a status query.
type Report struct {
	Orders  int64
	Started int64
	Group   registrar.Membership
}

// ErrOrderMismatch means that an order does not match the state of the server.
const ErrOrderMismatch = errors.ConstError("order does not match the state of the server")

// ErrServerReplaced means that another server, or another instance of the same server, has the address.
const ErrServerReplaced = errors.ConstError("another server has the address")

// ErrUnexpectedAnswer means that the answer of a server is neither a report nor a verdict on an order.
const ErrUnexpectedAnswer = errors.ConstError("unexpected answer from the server")

// EngineClient sends orders to backend servers and queries their reports. Calls fail with ErrOrderMismatch, ErrServerReplaced, ErrUnexpectedAnswer, detector.ErrDown, or another error when there was no answer.
type EngineClient interface {
	Report(ctx context.Context, ser registrar.Server) (Report, error)
	Order(ctx context.Context, ser registrar.Server, ord Order) error
}

const (
	// callTimeout bounds one order or report. An answer takes two round trips of at most 3 ms.
	callTimeout = 400 * time.Millisecond
	// pollInterval is the pause between two checks of the effect of an order.
	pollInterval = 50 * time.Millisecond
	// reportLag is the maximum age of the counts in a report, with a margin. Engines of the sites in docs/ADAPTER.md state 200 ms.
	reportLag = 250 * time.Millisecond
)

// expectedOrders returns the number of orders that this instance of a server has begun, from the own count or else from a report.
func (con *Conductor) expectedOrders(ctx context.Context, ser registrar.Server) (int64, error) {
	con.mux.Lock()
	num, known := con.orderCounts[ser.Instance()]
	con.mux.Unlock()
	if known {
		return num, nil
	}
	rep, err := con.report(ctx, ser)
	return rep.Orders, err
}

func (con *Conductor) report(ctx context.Context, ser registrar.Server) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rep, err := con.opt.Engines.Report(ctx, ser)
	if err == nil && rep.Started != ser.Started {
		err = errors.WithType(errors.Errorf("conductor: server %s has restarted", ser.ID), ErrServerReplaced)
	}
	return rep, err
}

// send sends an order once and updates the count of orders.
func (con *Conductor) send(ctx context.Context, ser registrar.Server, ord Order) error {
	num, err := con.expectedOrders(ctx, ser)
	if err != nil {
		return err
	}
	return con.sendAfter(ctx, ser, ord, num)
}

// sendAfter sends an order once to a server that has begun num orders. The count was read before the records are checked: an order of a leader that was replaced in between has a count that the next leader's orders change.
func (con *Conductor) sendAfter(ctx context.Context, ser registrar.Server, ord Order, num int64) error {
	if err := con.confirm(ctx); err != nil {
		return err
	}
	ord.ExpectedOrders = num
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := con.opt.Engines.Order(call, ser, ord)
	con.mux.Lock()
	defer con.mux.Unlock()
	if err == nil {
		con.orderCounts[ser.Instance()] = num + 1
		con.orderedAt[ser.Instance()] = con.opt.Clock.Now()
	} else {
		delete(con.orderCounts, ser.Instance())
	}
	return err
}

// isStale reports whether a report may be older than the last order that the server has accepted from this entry. The count of an order that changed nothing is too high: it is dropped once reports must show the order.
func (con *Conductor) isStale(ser registrar.Server, rep Report) bool {
	con.mux.Lock()
	defer con.mux.Unlock()
	ins := ser.Instance()
	if rep.Orders >= con.orderCounts[ins] {
		return false
	}
	if con.opt.Clock.Since(con.orderedAt[ins]) < reportLag {
		return true
	}
	delete(con.orderCounts, ins)
	return false
}

// sendUntilDone repeats an order until the server accepts it or reports its effect. It fails when the server is gone or the context ends.
func (con *Conductor) sendUntilDone(ctx context.Context, ser registrar.Server, ord Order, done func(gro registrar.Membership) bool) error {
	for {
		err := con.send(ctx, ser, ord)
		if err == nil {
			return nil
		}
		if isGone(err) {
			return err
		}
		con.opt.Logger.WithError(err).WithField("server", ser.ID).WithField("order", ord.Kind).WithField("group", ord.Group).Info("order repeated")
		if err := con.sleep(ctx, reportLag); err != nil {
			return err
		}
		if rep, err := con.report(ctx, ser); err == nil && done(rep.Group) {
			return nil
		}
	}
}

func (con *Conductor) sleep(ctx context.Context, dur time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-con.opt.Clock.After(dur):
		return nil
	}
}
