package server

import (
	"context"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/forwarder"
	"github.com/lovagelever/lovagelever/keeper"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/ticketer"
)

// entryClient calls the request path of other entries by RPC.
type entryClient struct {
	srv *Server
}

// Forward sends a call to the entry that holds its idempotency key.
func (ent entryClient) Forward(ctx context.Context, address string, cal forwarder.Call) (forwarder.Answer, error) {
	return messenger.Call[forwarder.Call, forwarder.Answer](ctx, ent.srv.messenger, address, "Forward", cal)
}

// Admit requests a ticket from the home of a unit.
func (ent entryClient) Admit(ctx context.Context, address string, req admitter.Request) (keeper.Admission, error) {
	return messenger.Call[admitter.Request, keeper.Admission](ctx, ent.srv.messenger, address, "Admit", req)
}

// Release returns a ticket to the home that issued it.
func (ent entryClient) Release(ctx context.Context, address string, req ticketer.ReleaseRequest) error {
	_, err := messenger.Call[ticketer.ReleaseRequest, bool](ctx, ent.srv.messenger, address, "Release", req)
	return err
}

// Withdraw cancels a request for a ticket.
func (ent entryClient) Withdraw(ctx context.Context, address string, req ticketer.WithdrawRequest) error {
	_, err := messenger.Call[ticketer.WithdrawRequest, bool](ctx, ent.srv.messenger, address, "Withdraw", req)
	return err
}
