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

// receiver implements the methods that other entries call by net/rpc.
type receiver struct {
	srv *Server
}

// PingRequest identifies the entry to ping for Reach.
type PingRequest struct {
	Address     string
	Incarnation string
}

// Exchange answers a gossip pull.
func (rec *receiver) Exchange(req gossiper.Request, ans *gossiper.Answer) error {
	*ans = rec.srv.gossiper.Exchange(req)
	return nil
}

// Snapshot returns a snapshot of the control state.
func (rec *receiver) Snapshot(_ string, ans *recorder.Snapshot) error {
	sna, err := rec.srv.follower.Snapshot()
	*ans = sna
	return err
}

// Ping returns the incarnation of this entry.
func (rec *receiver) Ping(_ string, ans *string) error {
	*ans = rec.srv.self()
	return nil
}

// Reach reports whether this entry can reach another entry of the given incarnation.
func (rec *receiver) Reach(req PingRequest, ans *bool) error {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	inc, err := messenger.Call[string, string](ctx, rec.srv.messenger, req.Address, "Ping", rec.srv.self())
	*ans = err == nil && inc == req.Incarnation
	return nil
}

// Yield gives up the role of home for a unit.
func (rec *receiver) Yield(req keeper.YieldRequest, ans *keeper.YieldAnswer) error {
	*ans = rec.srv.keeper.Yield(context.Background(), req)
	return nil
}

// Admit requests a ticket from this entry, the home of the unit.
func (rec *receiver) Admit(req admitter.Request, ans *keeper.Admission) error {
	*ans = rec.srv.keeper.Admit(context.Background(), req)
	return nil
}

// Release returns a ticket with the outcome of its request.
func (rec *receiver) Release(req ticketer.ReleaseRequest, ans *bool) error {
	rec.srv.keeper.Release(req.TicketID, req.Outcome)
	*ans = true
	return nil
}

// Withdraw cancels a request for a ticket.
func (rec *receiver) Withdraw(req ticketer.WithdrawRequest, ans *bool) error {
	rec.srv.keeper.Withdraw(req.Unit, req.RequestID)
	*ans = true
	return nil
}

// Forward runs a call whose idempotency key this entry holds.
func (rec *receiver) Forward(req forwarder.Call, ans *forwarder.Answer) error {
	rec.srv.inFlight.Add(1)
	defer rec.srv.inFlight.Done()
	*ans = rec.srv.forwarder.Forward(context.Background(), req)
	return nil
}

// Adopt takes over the idempotency-key outcomes of an entry that is stopping.
func (rec *receiver) Adopt(tab claimer.Table, ans *bool) error {
	err := rec.srv.claimer.Load().Adopt(tab)
	*ans = err == nil
	return err
}

// Self returns the status of this entry.
func (rec *receiver) Self(_ string, ans *requester.Entry) error {
	*ans = rec.srv.describe()
	return nil
}
