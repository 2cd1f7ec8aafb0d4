package conductor

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// confirmInterval is the minimum time between two checks of the records, so that the orders of many groups share one call to the store.
const confirmInterval = 50 * time.Millisecond

// errTermEnded means that the decisions that an order rests on must be loaded again first.
const errTermEnded = errors.ConstError("decisions are not loaded")

// confirmation is a check of the records that several orders share.
type confirmation struct {
	done chan struct{}
	err  error
}

// confirm checks, once it is called, that the records are of the era and end at the offset up to which this leader has read them. Otherwise another leader may have decided, or the store has lost decisions: it fails with ErrConflict.
func (con *Conductor) confirm(ctx context.Context) error {
	con.mux.Lock()
	cfm := con.nextCheck
	if cfm == nil {
		cfm = &confirmation{done: make(chan struct{})}
		con.nextCheck = cfm
		go con.checkRecords(context.WithoutCancel(ctx), cfm, con.lastCheck.Add(confirmInterval).Sub(con.opt.Clock.Now()))
	}
	con.mux.Unlock()
	select {
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-cfm.done:
	}
	if err := ctx.Err(); err != nil {
		return errors.Trace(err)
	}
	return cfm.err
}

// checkRecords checks the records after wait, while no append is in progress, on behalf of all calls of confirm until then.
func (con *Conductor) checkRecords(ctx context.Context, cfm *confirmation, wait time.Duration) {
	defer close(cfm.done)
	if wait > 0 {
		if cfm.err = con.sleep(ctx, wait); cfm.err != nil {
			return
		}
	}
	con.recordsMux.Lock()
	defer con.recordsMux.Unlock()
	con.mux.Lock()
	if con.nextCheck == cfm {
		con.nextCheck = nil
	}
	con.lastCheck = con.opt.Clock.Now()
	at, loaded := con.end, con.loaded
	con.mux.Unlock()
	if !loaded {
		cfm.err = errors.Annotate(errTermEnded, "conductor: order not sent")
		return
	}
	err := con.opt.Records.Check(ctx, at)
	if errors.Is(err, ErrConflict) {
		con.endTerm()
	}
	cfm.err = errors.Annotate(err, "conductor: check decisions")
}

// endTerm has Run load the decisions in a new term, in which nothing of this one goes on.
func (con *Conductor) endTerm() {
	con.mux.Lock()
	defer con.mux.Unlock()
	con.loaded, con.outdated = false, true
}

func (con *Conductor) isOutdated() bool {
	con.mux.Lock()
	defer con.mux.Unlock()
	return con.outdated
}
