package server

import (
	"context"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/forwarder"
	"github.com/lovagelever/lovagelever/keeper"
	"github.com/lovagelever/lovagelever/messenger"
	"github.com/lovagelever/lovagelever/ticketer"
)

// remote calls the request path of other entries.
type remote struct {
	srv *Server
}

// Forward passes a call on to the entry that holds its key.
func (rem remote) Forward(ctx context.Context, address string, cal forwarder.Call) (forwarder.Answer, error) {
	return messenger.Call[forwarder.Call, forwarder.Answer](ctx, rem.srv.mes, address, "Forward", cal)
}

// Admit asks a home for a ticket.
func (rem remote) Admit(ctx context.Context, address string, req admitter.Request) (keeper.Admission, error) {
	return messenger.Call[admitter.Request, keeper.Admission](ctx, rem.srv.mes, address, "Admit", req)
}

// Release releases a ticket at its home.
func (rem remote) Release(ctx context.Context, address string, req ticketer.ReleaseRequest) error {
	_, err := messenger.Call[ticketer.ReleaseRequest, bool](ctx, rem.srv.mes, address, "Release", req)
	return err
}

// Withdraw takes a request for a ticket back.
func (rem remote) Withdraw(ctx context.Context, address string, req ticketer.WithdrawRequest) error {
	_, err := messenger.Call[ticketer.WithdrawRequest, bool](ctx, rem.srv.mes, address, "Withdraw", req)
	return err
}
