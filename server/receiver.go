package server

import (
	"context"
	"time"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/claimer"
	"github.com/lovagelever/lovagelever/forwarder"
	"github.com/lovagelever/lovagelever/gossiper"
	"github.com/lovagelever/lovagelever/keeper"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/requester"
	"github.com/lovagelever/lovagelever/ticketer"
)

// receiver has the methods that other entries call by net/rpc.
type receiver struct {
	srv *Server
}

// PingRequest names the entry that is to be pinged.
type PingRequest struct {
	Address     string
	Incarnation string
}

// Exchange answers a pull of facts.
func (rec *receiver) Exchange(req gossiper.Request, ans *gossiper.Answer) error {
	*ans = rec.srv.gos.Exchange(req)
	return nil
}

// Snapshot gives the folded state.
func (rec *receiver) Snapshot(_ string, ans *recorder.Snapshot) error {
	sna, err := rec.srv.fol.Snapshot()
	*ans = sna
	return err
}

// Ping answers with the incarnation.
func (rec *receiver) Ping(_ string, ans *string) error {
	*ans = rec.srv.self()
	return nil
}

// Reach reports whether this entry reaches another.
func (rec *receiver) Reach(req PingRequest, ans *bool) error {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	inc, err := messenger.Call[string, string](ctx, rec.srv.mes, req.Address, "Ping", rec.srv.self())
	*ans = err == nil && inc == req.Incarnation
	return nil
}

// Yield gives the home of a unit up.
func (rec *receiver) Yield(req keeper.YieldRequest, ans *keeper.YieldAnswer) error {
	*ans = rec.srv.kee.Yield(context.Background(), req)
	return nil
}

// Admit asks for a ticket.
func (rec *receiver) Admit(req admitter.Request, ans *keeper.Admission) error {
	*ans = rec.srv.kee.Admit(context.Background(), req)
	return nil
}

// Release releases a ticket.
func (rec *receiver) Release(req ticketer.ReleaseRequest, ans *bool) error {
	rec.srv.kee.Release(req.TicketID, req.Outcome)
	*ans = true
	return nil
}

// Withdraw takes a request for a ticket back.
func (rec *receiver) Withdraw(req ticketer.WithdrawRequest, ans *bool) error {
	rec.srv.kee.Withdraw(req.Unit, req.RequestID)
	*ans = true
	return nil
}

// Forward runs a call whose key this entry holds.
func (rec *receiver) Forward(req forwarder.Call, ans *forwarder.Answer) error {
	rec.srv.running.Add(1)
	defer rec.srv.running.Done()
	*ans = rec.srv.fwd.Forward(context.Background(), req)
	return nil
}

// Adopt takes the outcomes of an entry that stops.
func (rec *receiver) Adopt(tab claimer.Table, ans *bool) error {
	err := rec.srv.cla.Load().Adopt(tab)
	*ans = err == nil
	return err
}

// Self describes this entry.
func (rec *receiver) Self(_ string, ans *requester.Entry) error {
	*ans = rec.srv.describe()
	return nil
}
