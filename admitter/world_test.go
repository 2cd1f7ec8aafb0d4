package admitter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/queuer"
	"github.com/lovagelever/lovagelever/refuser"
)

const (
	tick      = 20 * time.Millisecond
	lag       = time.Second
	downFor   = 4 * time.Second
	warmAfter = time.Second
	coldLimit = 5
	warmLimit = 20
)

// asked is a request that waits for its answer.
type asked struct {
	wai  *waiter
	home *Admitter
	at   time.Time
}

// job is a request from its ticket to its end on the backend server.
type job struct {
	asked
	tic        Ticket
	dispatchAt time.Time
	endAt      time.Time
	releaseAt  time.Time
	out        limiter.Outcome
	running    bool
}

type sample struct {
	at  time.Time
	rep limiter.Report
}

// world is one backend server with two possible homes on a fake clock.
type world struct {
	rnd       *rand.Rand
	clk       *clockwork.FakeClock
	homes     [2]*Admitter
	home      int
	plan      []func()
	nextPlan  time.Time
	probeAt   [2]time.Time
	requests  int
	waiters   []asked
	jobs      []*job
	granted   int
	refused   int
	lost      int
	answers   []*waiter
	warm      bool
	readyAt   time.Time
	starts    int
	past      []sample
	problem   string
	warmMost  int
	staysCold bool
	longest   int
	term      int64
	late      Handoff
	calm      int
}

func newWorld(seed uint64) *world {
	wor := &world{rnd: rand.New(rand.NewPCG(seed, 1)), clk: clockwork.NewFakeClock()}
	wor.staysCold, wor.longest = seed%2 == 0, 300+1200*int(seed%5)
	wor.calm = 4000
	if !wor.staysCold {
		wor.calm = 20000
	}
	wor.boot(0, Serving)
	wor.boot(1, NotHome)
	return wor
}

// boot replaces a home by a new incarnation, which knows nothing.
func (wor *world) boot(num int, sta State) {
	wor.homes[num] = New(Options{
		Incarnation: fmt.Sprint("e", num),
		ReportLag:   lag,
		Queue:       queuer.Options{Capacity: 12, WorkspaceCapacity: 9},
		Clock:       wor.clk,
	})
	wor.state(num, sta)
	wor.abandoned()
}

func (wor *world) state(num int, sta State) {
	wor.homes[num].Update(Config{Name: "u", Term: wor.term, State: sta, ColdLimit: coldLimit, WarmLimit: warmLimit})
}

func (wor *world) run(dur time.Duration, faults bool) {
	for end := wor.clk.Now().Add(dur); wor.clk.Now().Before(end) && wor.problem == ""; {
		wor.clk.Advance(tick)
		if faults {
			wor.fault()
		}
		wor.arrive()
		wor.answer()
		wor.work()
		wor.probe()
	}
}

// fault takes the next step of a handover or begins a new fault.
func (wor *world) fault() {
	now := wor.clk.Now()
	if now.Before(wor.nextPlan) {
		return
	}
	wor.nextPlan = now.Add(wor.upTo(wor.calm))
	switch wor.rnd.IntN(5) {
	case 0:
		wor.restart()
	case 1:
		wor.evict(fmt.Sprint("h", wor.rnd.IntN(3)))
	}
	if len(wor.plan) == 0 {
		wor.plan = wor.choose()
	}
	step := wor.plan[0]
	wor.plan = wor.plan[1:]
	step()
}

func (wor *world) choose() []func() {
	old, nex := wor.home, 1-wor.home
	move := func() { wor.home = nex }
	to := func(num int, sta State) func() { return func() { wor.state(num, sta) } }
	switch wor.rnd.IntN(5) {
	case 4:
		return []func(){func() { wor.handOver(old, nex) }}
	case 0:
		return []func(){to(old, NotHome), to(nex, Serving), move}
	case 1:
		return []func(){to(old, UncertainOld), to(nex, UncertainNew), move, func() { wor.boot(old, NotHome) }, to(nex, Serving)}
	case 2:
		return []func(){to(old, UncertainOld), to(old, Serving)}
	default:
		return []func(){func() { wor.boot(old, NotHome) }, to(nex, Serving), move}
	}
}

// handOver moves the home at once; the handoff may get lost, and an old one may come late.
func (wor *world) handOver(old, nex int) {
	wor.home = nex
	wor.term++
	han, err := wor.homes[old].HandOver("u", wor.term)
	wor.state(nex, Serving)
	if wor.rnd.IntN(2) == 0 {
		_ = wor.homes[nex].TakeOver(wor.late)
	}
	if err == nil && wor.rnd.IntN(4) > 0 {
		_ = wor.homes[nex].TakeOver(han)
	}
	wor.late = han
}

func (wor *world) restart() {
	now := wor.clk.Now()
	wor.starts++
	wor.warm, wor.readyAt = false, now.Add(downFor)
	for _, jo := range wor.jobs {
		if jo.running {
			jo.running, jo.endAt, jo.out = false, now, limiter.Outcome{Broken: true}
			jo.releaseAt = now.Add(wor.upTo(200))
		}
	}
}

// evict forgets a holder, whose requests go on and whose releases are lost.
func (wor *world) evict(holder string) {
	for _, hom := range wor.homes {
		hom.Forget(holder)
	}
	for _, jo := range wor.jobs {
		if jo.wai.req.Holder == holder {
			jo.releaseAt = time.Time{}
		}
	}
}

func (wor *world) arrive() {
	if wor.rnd.IntN(3) != 0 {
		return
	}
	wor.requests++
	num := wor.home
	if wor.rnd.IntN(4) == 0 {
		num = 1 - num
	}
	req := Request{
		ID:        fmt.Sprint("r", wor.requests),
		Holder:    fmt.Sprint("h", wor.rnd.IntN(3)),
		Unit:      "u",
		Workspace: fmt.Sprint("w", wor.rnd.IntN(3)),
		Priority:  wor.rnd.IntN(2),
		Cost:      100,
		Within:    time.Duration(wor.rnd.IntN(10)) * time.Second,
		Suspect:   wor.rnd.IntN(10) == 0,
	}
	wai, err := wor.homes[num].enqueue(req)
	if err != nil {
		wor.refused++
		return
	}
	wor.waiters = append(wor.waiters, asked{wai, wor.homes[num], wor.clk.Now()})
}

// answer takes answers, and gives up for those past their deadlines.
func (wor *world) answer() {
	var left []asked
	for _, ask := range wor.waiters {
		if late := ask.wai.req.Within; late > 0 && wor.clk.Since(ask.at) >= late {
			ask.home.giveUp(ask.wai, refuser.NotRun("late", 0))
		}
		select {
		case ans := <-ask.wai.answered:
			wor.take(ask, ans)
		default:
			left = append(left, ask)
		}
	}
	wor.waiters = left
}

// abandoned counts the requests that wait at an incarnation which is gone.
func (wor *world) abandoned() {
	var left []asked
	for _, ask := range wor.waiters {
		if ask.home == wor.homes[0] || ask.home == wor.homes[1] {
			left = append(left, ask)
		}
	}
	wor.lost += len(wor.waiters) - len(left)
	wor.waiters = left
}

func (wor *world) take(ask asked, ans answer) {
	wor.answers = append(wor.answers, ask.wai)
	if ans.err != nil {
		wor.refused++
		return
	}
	wor.granted++
	now := wor.clk.Now()
	jo := &job{asked: ask, tic: ans.ticket}
	jo.dispatchAt = now.Add(wor.upTo(980))
	jo.endAt = jo.dispatchAt.Add(100*time.Millisecond + wor.upTo(wor.longest))
	jo.releaseAt = jo.endAt.Add(tick + wor.upTo(100))
	switch wor.rnd.IntN(12) {
	case 0:
		jo.releaseAt = jo.dispatchAt.Add(tick)
		jo.endAt = jo.releaseAt.Add(wor.upTo(900))
		jo.out.MayRun = true
	case 1:
		jo.dispatchAt, jo.endAt, jo.out.Undispatched = time.Time{}, time.Time{}, true
	}
	wor.jobs = append(wor.jobs, jo)
}

func (wor *world) work() {
	now := wor.clk.Now()
	var left []*job
	for _, jo := range wor.jobs {
		if !jo.running && !jo.dispatchAt.IsZero() && !now.Before(jo.dispatchAt) && now.Before(jo.endAt) {
			wor.dispatch(jo)
		}
		jo.running = jo.running && now.Before(jo.endAt)
		if !jo.releaseAt.IsZero() && !now.Before(jo.releaseAt) {
			_ = jo.home.Release(jo.tic.ID, jo.out)
			jo.releaseAt = time.Time{}
		}
		if jo.running || !jo.releaseAt.IsZero() || now.Before(jo.endAt) {
			left = append(left, jo)
		}
	}
	wor.jobs = left
	wor.check()
}

// dispatch starts the job, or refuses it on a backend server that is down.
func (wor *world) dispatch(jo *job) {
	now := wor.clk.Now()
	jo.dispatchAt = time.Time{}
	if now.Before(wor.readyAt) {
		jo.endAt, jo.releaseAt, jo.out = now, now.Add(tick), limiter.Outcome{Refused: true}
		return
	}
	jo.running = true
}

func (wor *world) count() int {
	sum := 0
	for _, jo := range wor.jobs {
		if jo.running {
			sum++
		}
	}
	return sum
}

func (wor *world) check() {
	now, num := wor.clk.Now(), wor.count()
	if !wor.warm && num > coldLimit {
		wor.problem = fmt.Sprintf("%d requests run on a cold backend server", num)
	}
	if wor.warm {
		wor.warmMost = max(wor.warmMost, num)
	}
	if !wor.staysCold && now.Sub(wor.readyAt) > warmAfter && num > 0 {
		wor.warm = true
	}
	rep := limiter.Report{Running: num, Warm: wor.warm, Started: fmt.Sprint(wor.starts)}
	wor.past = append(wor.past, sample{now, rep})
	for now.Sub(wor.past[0].at) > lag {
		wor.past = wor.past[1:]
	}
}

// probe hands each home a report that lags by up to lag.
func (wor *world) probe() {
	now := wor.clk.Now()
	for num, hom := range wor.homes {
		if now.Before(wor.probeAt[num]) {
			continue
		}
		wor.probeAt[num] = now.Add(300*time.Millisecond + wor.upTo(700))
		rep := wor.past[wor.rnd.IntN(len(wor.past))].rep
		rep.At = now
		hom.Report("u", rep)
	}
}

func (wor *world) upTo(millis int) time.Duration {
	return time.Duration(wor.rnd.IntN(millis)) * time.Millisecond
}
