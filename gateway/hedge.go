package gateway

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/sender"
)

// attempt is one request for a stream to one unit; exc is nil until the request was sent.
type attempt struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc
	placement *dispatcher.Placement
	sentAt    time.Time
	// after is the ID of the event after which the stream was requested; empty means the whole stream.
	after string
	exc   *sender.Exchange
	// unproven says that the request was sent on a kept connection on which nothing has come since.
	unproven atomic.Bool
	// events reads the response; first is its first event if that was read already.
	events *bufio.Reader
	first  *event
	// sawEvent says that the unit has sent an event.
	sawEvent bool
}

func newAttempt(ctx context.Context, pla *dispatcher.Placement) *attempt {
	att := &attempt{placement: pla}
	att.ctx, att.cancel = context.WithCancelCause(ctx)
	return att
}

// release frees the slot and the connection of an attempt that is not continued.
func (att *attempt) release(res dispatcher.Result) {
	if att.exc != nil {
		att.exc.End(false)
	}
	att.cancel(nil)
	att.placement.Release(dispatcher.Outcome{Result: res})
}

// readEvent returns the next event; it returns io.EOF only between two events, and not before the first one unless the unit has marked the end.
func (att *attempt) readEvent() (event, error) {
	if eve := att.first; eve != nil {
		att.first = nil
		return *eve, nil
	}
	if att.events == nil {
		att.events = att.exc.BodyReader()
	}
	eve, err := readEvent(att.events)
	att.sawEvent = att.sawEvent || err == nil && eve.hasData
	if errors.Is(err, io.EOF) && !att.sawEvent && att.exc.EndsWithConnection() {
		return eve, io.ErrUnexpectedEOF
	}
	return eve, err
}

// hedge requests a silent stream from a second unit while the first one may still continue it. Whichever sends an event first goes on.
type hedge struct {
	rel   *relay
	first *attempt
	// ctx is that of the request, which outlives the first attempt.
	ctx context.Context
	// mayRun and sends count the attempts up to and including the first one.
	mayRun int
	sends  int

	mux     sync.Mutex
	running sync.WaitGroup
	busy    bool
	closed  bool
	cancel  context.CancelCauseFunc
	// second is the attempt that takes over.
	second *attempt
	// moreSends, moreRuns and tried are what the hedge adds to the counts of the request.
	moreSends int
	moreRuns  int
	tried     []string
	// lastEventID is the ID of the last event that was read for the caller.
	lastEventID string
}

func (rel *relay) newHedge(ctx context.Context, first *attempt) *hedge {
	return &hedge{rel: rel, first: first, ctx: ctx, mayRun: rel.mayHaveRun + 1, sends: rel.sends + 1, tried: slices.Clone(rel.tried), lastEventID: rel.lastEventID}
}

// start begins to request the stream from another unit, unless it is being done or not allowed.
func (hed *hedge) start() {
	hed.mux.Lock()
	defer hed.mux.Unlock()
	if hed.busy || hed.closed || hed.second != nil || !hed.allowed() {
		return
	}
	ctx, cancel := context.WithCancelCause(hed.ctx)
	hed.busy, hed.cancel = true, cancel
	hed.running.Go(func() { hed.run(ctx, cancel) })
}

// allowed reports whether one more unit may get the request. Another entry that has it requests a silent stream from a second unit itself.
func (hed *hedge) allowed() bool {
	job := hed.rel.job
	if entry := hed.first.placement.Unit.Entry; entry != "" && job.gat.opt.Peers.Usable(job.ser.Name, entry) {
		return false
	}
	return job.rou.Repeatable() && hed.mayRun+hed.moreRuns < job.rou.Attempts && hed.sends+hed.moreSends < maxSends &&
		job.gat.opt.Clock.Until(job.deadline) > 0
}

// abandon cancels a request to another unit, since the first one goes on.
func (hed *hedge) abandon() {
	hed.mux.Lock()
	defer hed.mux.Unlock()
	if hed.cancel != nil && hed.second == nil {
		hed.cancel(errUnitContinues)
	}
}

// accepted records the last event that was read for the caller.
func (hed *hedge) accepted(eventID string) {
	hed.mux.Lock()
	defer hed.mux.Unlock()
	hed.lastEventID = eventID
}

func (hed *hedge) run(ctx context.Context, cancel context.CancelCauseFunc) {
	att := hed.request(ctx, cancel)
	hed.mux.Lock()
	defer hed.mux.Unlock()
	hed.busy, hed.cancel = false, nil
	if att == nil {
		cancel(nil)
		return
	}
	if hed.closed || ctx.Err() != nil {
		att.release(dispatcher.Neutral)
		return
	}
	hed.second = att
	hed.first.cancel(errUnitSilent)
}

// request sends the request to another unit, and returns the attempt if that unit sends an event or the end of the stream.
func (hed *hedge) request(ctx context.Context, cancel context.CancelCauseFunc) *attempt {
	job := hed.rel.job
	if job.isQuarantined() || !job.gat.opt.Budget.Allow(job.ser.Name) {
		return nil
	}
	pla, err := job.placeElsewhere(ctx, placeOptions{exclude: hed.tried, resumed: true}, hed.first.placement.Unit, hed.first.unproven.Load())
	if err != nil {
		job.gat.opt.Budget.Return(job.ser.Name)
		return nil
	}
	att := &attempt{ctx: ctx, cancel: cancel, placement: pla, sentAt: job.gat.opt.Clock.Now()}
	go func() {
		select {
		case <-pla.Broken:
			cancel(errUnitBroken)
		case <-ctx.Done():
		}
	}()
	hed.mux.Lock()
	hed.tried = append(hed.tried, pla.Unit.ID)
	after, sends, runs := hed.lastEventID, hed.sends+hed.moreSends, hed.mayRun+hed.moreRuns
	hed.mux.Unlock()
	att.after = after
	job.log.WithFields(logrus.Fields{"unit": hed.first.placement.Unit.ID, "second_unit": pla.Unit.ID, "after": after}).Info("stream is silent, requesting it from a second unit")
	exc, err := job.send(ctx, pla, job.buildRequest(pla, after, sends, runs))
	if errors.Is(err, sender.ErrNotSent) {
		job.gat.opt.Budget.Return(job.ser.Name)
		job.noteNotSent(pla.Unit, err)
		att.release(hed.resultOf(ctx, pla.Unit, err))
		return nil
	}
	if err != nil {
		hed.count(runsOf(pla.Unit, job.rou.Attempts-runs))
		att.release(hed.noteBreak(att))
		return nil
	}
	att.exc = exc
	if res := hed.awaitEvent(att); res != dispatcher.Served {
		att.release(res)
		return nil
	}
	return att
}

// awaitEvent waits for the first event of the second unit, or for the end of its stream; any other result than Served means that the unit did not take over.
func (hed *hedge) awaitEvent(att *attempt) dispatcher.Result {
	job := hed.rel.job
	ver := job.parseResponse(att.placement, att.exc.Response, att.sentAt)
	if ver.NotRun {
		if att.placement.Unit.Entry == "" || ver.Sent {
			hed.count(0)
		}
		return dispatcher.Rejected
	}
	hed.count(runsOf(att.placement.Unit, job.rou.Attempts-hed.mayRun))
	if att.exc.Response.StatusCode != http.StatusOK || !ver.Verified || !isEventStream(att.exc.Response) {
		return dispatcher.Fault
	}
	eve, err := att.readEvent()
	if err != nil && !errors.Is(err, io.EOF) {
		return hed.noteBreak(att)
	}
	if err == nil && !hed.accepts(eve) {
		return dispatcher.Fault
	}
	if err == nil {
		att.first = &eve
		att.placement.FirstEvent()
	}
	return dispatcher.Served
}

// accepts reports whether an event can continue what was read for the caller.
func (hed *hedge) accepts(eve event) bool {
	hed.mux.Lock()
	defer hed.mux.Unlock()
	return hed.lastEventID == "" || eve.continues(hed.lastEventID)
}

// resultOf returns the result of a failed send: a fault of the unit unless the hedge was abandoned.
func (hed *hedge) resultOf(ctx context.Context, uni dispatcher.Unit, err error) dispatcher.Result {
	if ctx.Err() != nil {
		return dispatcher.Neutral
	}
	return hed.rel.faultOf(uni, err)
}

// noteBreak records that the stream broke off at the second unit before an event, unless the hedge was abandoned, and returns the result for the unit.
func (hed *hedge) noteBreak(att *attempt) dispatcher.Result {
	res := hed.resultOf(att.ctx, att.placement.Unit, nil)
	if res == dispatcher.Fault {
		hed.rel.gat.opt.Quarantine.RecordBreak(att.placement.Unit, hed.rel.subjects)
	}
	return res
}

func (hed *hedge) count(runs int) {
	hed.mux.Lock()
	defer hed.mux.Unlock()
	hed.moreSends++
	hed.moreRuns += runs
}

// close ends the hedge with the first attempt, adds its counts to those of the request, and returns the attempt that takes over, if any. A hedge that is still being requested is waited for if the first attempt has failed.
func (hed *hedge) close(failed bool) *attempt {
	hed.mux.Lock()
	if !failed {
		hed.closed = true
		if hed.cancel != nil && hed.second == nil {
			hed.cancel(errUnitContinues)
		}
	}
	hed.mux.Unlock()
	hed.running.Wait()
	hed.rel.sends += hed.moreSends
	hed.rel.mayHaveRun += hed.moreRuns
	hed.rel.tried = hed.tried
	if !failed && hed.second != nil {
		hed.second.release(dispatcher.Neutral)
		return nil
	}
	return hed.second
}
