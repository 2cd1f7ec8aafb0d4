package admitter

import (
	"fmt"
	"time"

	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/queuer"
	"github.com/lovagelever/lovagelever/refuser"
)

// State tells whether an entry admits requests to a unit.
type State int

// The states of a unit at an entry; NotHome, Quiesced and ZoneDisabled admit no requests.
const (
	NotHome State = iota
	Serving
	Quiesced
	ZoneDisabled
	// UncertainPredecessor is the state at a home that cannot verify that it is still the home.
	UncertainPredecessor
	// UncertainSuccessor is the state at a new home whose predecessor may still admit requests.
	UncertainSuccessor
)

func (sta State) admits() bool {
	return sta == Serving || sta == UncertainPredecessor || sta == UncertainSuccessor
}

func (sta State) mode() limiter.Mode {
	switch sta {
	case NotHome:
		return limiter.NoAdmission
	case UncertainPredecessor:
		return limiter.UncertainPredecessor
	case UncertainSuccessor:
		return limiter.UncertainSuccessor
	default: // a unit that is quiesced or whose zone is disabled still has this sole home
		return limiter.SoleHome
	}
}

func (sta State) refusal() string {
	switch sta {
	case Quiesced:
		return "the unit is quiesced"
	case ZoneDisabled:
		return "the availability zone of the unit is out"
	default:
		return "this entry is not the home of the unit"
	}
}

// Config is the configuration of a unit, taken from the control state.
type Config struct {
	Name  string
	Fence int64
	// Term is the log offset of the record that made this entry the home of the unit.
	Term  int64
	State State
	// ColdLimit and WarmLimit are the most requests that run at once before and after the unit is warm.
	ColdLimit int
	WarmLimit int
	// NoPriorAdmissions is set if no other home has ever admitted a request to the unit.
	NoPriorAdmissions bool
}

// Handoff is the load of a unit that its home passes to the next home; Term is the term of the next home.
type Handoff struct {
	Unit  string
	Fence int64
	Term  int64
	Load  limiter.Handoff
}

// Status is the state and load of a unit as its home counts them; ForeignLoad is the most requests that the unit may run without a ticket from this home.
type Status struct {
	Name        string
	Fence       int64
	State       State
	Running     int
	ForeignLoad int
	Waiting     int
	Limit       int
	Warm        bool
}

const suspectMayRun = "a request that may crash the unit may still run there"

type unit struct {
	cfg                Config
	state              State
	limiter            Limiter
	queue              *queuer.Queue
	waiting            map[string]*waiter
	running            map[string]*grant
	runningSuspects    int
	suspectMayStillRun bool // set if a suspect request may run on although its ticket ended
}

type waiter struct {
	req     Request
	unit    *unit
	answers chan answer
}

type answer struct {
	ticket Ticket
	err    error
}

type grant struct {
	ticket    Ticket
	req       Request
	unit      *unit
	permit    limiter.Permit
	grantedAt time.Time
}

func (ans answer) result() (Ticket, error) {
	return ans.ticket, ans.err
}

func (wai *waiter) item(now time.Time) queuer.Item {
	req := wai.req // its Within and Finish count from now
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

// checkRequest returns a refusal if the unit cannot accept the request in its current state.
func (uni *unit) checkRequest(req Request) error {
	if !uni.state.admits() {
		return refuser.NotRun(uni.state.refusal(), refuser.DefaultRetryAfter)
	}
	if req.Fence != 0 && req.Fence != uni.cfg.Fence {
		return refuser.NotRun("the fencing token of the request is not that of the unit", 0)
	}
	if req.Suspect && uni.suspectMayStillRun {
		return refuser.NotRun(suspectMayRun, refuser.DefaultRetryAfter)
	}
	if uni.running[req.ID] != nil {
		return refuser.Conflict("request " + req.ID + " already has a ticket")
	}
	return nil
}

// eligible reports whether a queued request may start; at most one suspect request runs on a unit at a time.
func (uni *unit) eligible(itm queuer.Item) bool {
	return itm.Lane != suspectLane || uni.runningSuspects == 0
}

func (uni *unit) assertOneSuspect() {
	if uni.runningSuspects > 1 {
		panic(fmt.Sprintf("admitter: %d suspect requests run on unit %s", uni.runningSuspects, uni.cfg.Name))
	}
}

func (uni *unit) refuse(id string, ref refuser.Refusal) {
	wai := uni.waiting[id]
	delete(uni.waiting, id)
	wai.answers <- answer{err: ref.WithRequestID(id)}
}

func (uni *unit) refuseWaiting(ref refuser.Refusal) {
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

func (uni *unit) refuseMatching(match func(Request) bool, ref refuser.Refusal) {
	for id, wai := range uni.waiting {
		if match(wai.req) && uni.queue.Remove(id) {
			uni.refuse(id, ref)
		}
	}
}

// endSuspect counts down the running suspect requests. If the backend server may still run the one whose ticket ended, it also refuses the queued ones, which then go to other units.
func (uni *unit) endSuspect(mayRun bool) {
	uni.runningSuspects--
	if !mayRun {
		return
	}
	uni.suspectMayStillRun = true
	uni.refuseMatching(func(req Request) bool { return req.Suspect }, refuser.NotRun(suspectMayRun, refuser.DefaultRetryAfter))
}
