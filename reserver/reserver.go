package reserver

import "sync/atomic"

const (
	// defaultBudgetBytes suits a process with 160 MB of memory.
	defaultBudgetBytes = 32 << 20
	// defaultRefuseShare is the share of the budget above which new requests are refused; the rest is for those that were accepted.
	defaultRefuseShare = 0.75
	// processShare is the share of the process's memory above which new requests are refused; the Go runtime collects garbage harder well before.
	processShare = 0.8
	// largeShare is the share of the budget up to which large bodies and further events of a stream find room, so that they cause no refusals of others.
	largeShare = 0.5
	// defaultStreamBytes is the maximum number of bytes that one stream may hold.
	defaultStreamBytes = 512 << 10
)

// Options configure a Reserver: Budget is the number of bytes that may be held in all, StreamBytes the most for one stream, and RefuseShare the share of Budget above which new requests are refused. ProcessUse returns the memory of the process in bytes, of which it has ProcessLimit; without both it is not considered.
type Options struct {
	Budget       int64
	RefuseShare  float64
	StreamBytes  int64
	ProcessLimit int64
	ProcessUse   func() int64
}

// Reserver counts the bytes that an entry holds within one budget; it is safe for concurrent use.
type Reserver struct {
	opt Options
	// large is the number of bytes in all up to which there is room for large bodies and further events.
	large       int64
	total       atomic.Int64
	held        [3]atomic.Int64
	processFull atomic.Bool
	refused     map[Refusal]*atomic.Int64
}

// New returns a reserver that holds nothing; zero values of Budget, RefuseShare and StreamBytes mean the defaults.
func New(opt Options) *Reserver {
	if opt.Budget <= 0 {
		opt.Budget = defaultBudgetBytes
	}
	if opt.RefuseShare <= 0 {
		opt.RefuseShare = defaultRefuseShare
	}
	if opt.StreamBytes <= 0 {
		opt.StreamBytes = defaultStreamBytes
	}
	return &Reserver{opt: opt, large: int64(largeShare * float64(opt.Budget)), refused: map[Refusal]*atomic.Int64{HeldBytes: {}, ProcessMemory: {}}}
}

// Hold counts bytes that are held in any case.
func (res *Reserver) Hold(cau Cause, num int64) {
	res.total.Add(num)
	res.held[cau].Add(num)
}

// TryHold counts bytes of a large body if the budget has room for them, and reports whether it has.
func (res *Reserver) TryHold(cau Cause, num int64) bool {
	if res.total.Add(num) > res.large {
		res.total.Add(-num)
		return false
	}
	res.held[cau].Add(num)
	return true
}

// TryHoldEvent counts the bytes of one more event of a stream that holds some already, and reports whether there is room. A stream may hold no more than what is free, so that those that hold most are stopped first; one that holds nothing always has room.
func (res *Reserver) TryHoldEvent(holds, num int64) bool {
	if holds > 0 && holds+num > min(res.opt.StreamBytes, res.large-res.total.Load()) {
		return false
	}
	res.Hold(Events, num)
	return true
}

// Release counts bytes that are no longer held.
func (res *Reserver) Release(cau Cause, num int64) {
	res.total.Add(-num)
	res.held[cau].Add(-num)
}

// Held returns the number of bytes that are held for a cause.
func (res *Reserver) Held(cau Cause) int64 {
	return res.held[cau].Load()
}

// Update looks at the memory of the process.
func (res *Reserver) Update() {
	if res.opt.ProcessUse == nil || res.opt.ProcessLimit <= 0 {
		return
	}
	res.processFull.Store(float64(res.opt.ProcessUse()) > processShare*float64(res.opt.ProcessLimit))
}

// Refusing returns why new requests are refused now, or an empty reason.
func (res *Reserver) Refusing() Refusal {
	switch {
	case res.processFull.Load():
		return ProcessMemory
	case float64(res.total.Load()) > res.opt.RefuseShare*float64(res.opt.Budget):
		return HeldBytes
	}
	return ""
}

// Admit returns why a new request is refused now, or an empty reason, and counts refusals.
func (res *Reserver) Admit() Refusal {
	why := res.Refusing()
	if why != "" {
		res.refused[why].Add(1)
	}
	return why
}

// Refused returns how many requests were refused for a reason.
func (res *Reserver) Refused(why Refusal) int64 {
	return res.refused[why].Load()
}

// Account returns the part of the reserver for one cause.
func (res *Reserver) Account(cau Cause) Account {
	return Account{res: res, cau: cau}
}

// Account counts the bytes that are held for one cause.
type Account struct {
	res *Reserver
	cau Cause
}

// Hold counts bytes that are held in any case.
func (acc Account) Hold(num int64) { acc.res.Hold(acc.cau, num) }

// TryHold counts bytes of a large body if the budget has room for them, and reports whether it has.
func (acc Account) TryHold(num int64) bool { return acc.res.TryHold(acc.cau, num) }

// Release counts bytes that are no longer held.
func (acc Account) Release(num int64) { acc.res.Release(acc.cau, num) }
