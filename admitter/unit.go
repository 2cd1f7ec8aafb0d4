package admitter

import (
	"fmt"
	"time"

	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/queuer"
	"github.com/lovagelever/lovagelever/refuser"
)

// State says whether a unit admits requests.
type State int

// The states of a unit.
const (
	NotHome State = iota
	Serving
	Quiesced
	ZoneOut
	// UncertainOld is the state at a home that cannot prove that it is still home.
	UncertainOld
	// UncertainNew is the state at a successor whose predecessor may still admit.
	UncertainNew
)

func (sta State) admits() bool {
	return sta == Serving || sta == UncertainOld || sta == UncertainNew
}

func (sta State) mode() limiter.Mode {
	switch sta {
	case NotHome:
		return limiter.Blind
	case UncertainOld:
		return limiter.UncertainOld
	case UncertainNew:
		return limiter.UncertainNew
	default:
		return limiter.Sole
	}
}

func (sta State) refusal() string {
	switch sta {
	case Quiesced:
		return "the unit is quiesced"
	case ZoneOut:
		return "the availability zone of the unit is out"
	default:
		return "the unit is not at home here"
	}
}

// Config is what the control state says of a unit; Term is the offset of the record that made this entry its home, and Untouched says that no other home has ever admitted a request to it.
type Config struct {
	Name      string
	Fence     int64
	Term      int64
	State     State
	ColdLimit int
	WarmLimit int
	Untouched bool
}

// Handoff is what the home of a unit tells its successor.
type Handoff struct {
	Unit  string
	Fence int64
	Term  int64
	Load  limiter.Handoff
}

// Status is the load of a unit at its home.
type Status struct {
	Name    string
	Fence   int64
	State   State
	Running int
	Foreign int
	Waiting int
	Limit   int
	Warm    bool
}

const suspectRuns = "a request that may crash the unit may still run there"

type unit struct {
	cfg         Config
	state       State
	limiter     Limiter
	queue       *queuer.Queue
	waiting     map[string]*waiter
	running     map[string]*grant
	suspects    int
	suspectLost bool
}

type waiter struct {
	req      Request
	unit     *unit
	answered chan answer
}

type answer struct {
	ticket Ticket
	err    error
}

type grant struct {
	ticket Ticket
	req    Request
	unit   *unit
	permit limiter.Permit
	at     time.Time
}

func (ans answer) result() (Ticket, error) {
	return ans.ticket, ans.err
}

func (wai *waiter) item(now time.Time) queuer.Item {
	req := wai.req
	itm := queuer.Item{ID: req.ID, Workspace: req.Workspace, Priority: req.Priority, Weight: req.Weight, Cost: req.Cost}
	if req.Within > 0 {
		itm.StartBy = now.Add(req.Within)
	}
	if req.Finish > 0 {
		itm.Deadline = now.Add(req.Finish)
	}
	if req.Suspect {
		itm.Lane = suspectLane
	}
	return itm
}

// check refuses what the unit does not take in its state.
func (uni *unit) check(req Request) error {
	if !uni.state.admits() {
		return refuser.NotRun(uni.state.refusal(), refuser.DefaultRetryAfter)
	}
	if req.Fence != 0 && req.Fence != uni.cfg.Fence {
		return refuser.NotRun("the unit has another fencing token", 0)
	}
	if req.Suspect && uni.suspectLost {
		return refuser.NotRun(suspectRuns, refuser.DefaultRetryAfter)
	}
	if uni.running[req.ID] != nil {
		return refuser.Conflict("request " + req.ID + " has a ticket already")
	}
	return nil
}

// mayRun keeps a second suspect request off the unit.
func (uni *unit) mayRun(itm queuer.Item) bool {
	return itm.Lane != suspectLane || uni.suspects == 0
}

func (uni *unit) assertSuspects() {
	if uni.suspects > 1 {
		panic(fmt.Sprintf("admitter: %d suspect requests run on unit %s", uni.suspects, uni.cfg.Name))
	}
}

func (uni *unit) refuse(id string, ref refuser.Refusal) {
	wai := uni.waiting[id]
	delete(uni.waiting, id)
	wai.answered <- answer{err: ref.WithRequestID(id)}
}

func (uni *unit) refuseAll(ref refuser.Refusal) {
	for _, itm := range uni.queue.Drain() {
		uni.refuse(itm.ID, ref)
	}
}

func (uni *unit) abandon(gra *grant) {
	delete(uni.running, gra.req.ID)
	uni.limiter.Abandon(gra.permit)
	if gra.req.Suspect {
		uni.endSuspect(true)
	}
}

func (uni *unit) refuseWhere(match func(Request) bool, ref refuser.Refusal) {
	for id, wai := range uni.waiting {
		if match(wai.req) && uni.queue.Remove(id) {
			uni.refuse(id, ref)
		}
	}
}

// endSuspect sends waiting suspects elsewhere when the one that ended may still run.
func (uni *unit) endSuspect(mayRun bool) {
	uni.suspects--
	if !mayRun {
		return
	}
	uni.suspectLost = true
	uni.refuseWhere(func(req Request) bool { return req.Suspect }, refuser.NotRun(suspectRuns, refuser.DefaultRetryAfter))
}
