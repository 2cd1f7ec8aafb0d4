package dispatcher

import (
	"context"

	"github.com/lovagelever/lovagelever/sharer"
)

// plainWork is the work of a plain call, about as much as that of a generation in tokens.
const plainWork = 1000

// Shares divides the room of pools among workspaces while there is too little.
type Shares interface {
	// Admit fails with a refuser.Refusal for a request of a workspace that is over its share.
	Admit(req sharer.Request) error
	RecordStarted(req sharer.Request)
	RecordRefused(req sharer.Request)
}

// noShares divides nothing.
type noShares struct{}

func (noShares) Admit(sharer.Request) error   { return nil }
func (noShares) RecordStarted(sharer.Request) {}
func (noShares) RecordRefused(sharer.Request) {}

// Acquire allocates a slot, waiting for one until StartBy; it fails at once with a refuser.Refusal when none can become free in time, or when the workspace is over its share. A request that was sent before counts once.
func (dis *Dispatcher) Acquire(ctx context.Context, req Request) (*Placement, error) {
	if req.Workspace == "" || req.Resumed || len(req.Exclude) > 0 {
		return dis.acquire(ctx, req)
	}
	sha := sharer.Request{Pool: req.Pool, Priority: req.Priority, Workspace: req.Workspace, Work: float64(req.Size.PromptTokens + req.Size.AnswerTokens)}
	if sha.Work <= 0 {
		sha.Work = plainWork
	}
	if err := dis.opt.Shares.Admit(sha); err != nil {
		return nil, err
	}
	pla, err := dis.acquire(ctx, req)
	switch {
	case err == nil:
		dis.opt.Shares.RecordStarted(sha)
	case ctx.Err() == nil && dis.serves(req.Pool):
		dis.opt.Shares.RecordRefused(sha)
	}
	return pla, err
}

// serves reports whether a unit of a pool takes requests, so that one is refused for lack of room only.
func (dis *Dispatcher) serves(name string) bool {
	dis.mux.Lock()
	defer dis.mux.Unlock()
	poo := dis.pools[name]
	return poo != nil && dis.load(poo).Slots > 0
}
