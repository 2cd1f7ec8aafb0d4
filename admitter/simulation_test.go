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
	tick            = 20 * time.Millisecond
	maxReportLag    = time.Second
	restartDuration = 4 * time.Second
	warmUpDuration  = time.Second
	coldLimit       = 5
	warmLimit       = 20
)

// pendingRequest is a request without an answer yet.
type pendingRequest struct {
	wai  *waiter
	home *Admitter
	at   time.Time
}

// admittedRequest is a request that got a ticket, until it has ended on the backend server and its ticket is released.
type admittedRequest struct {
	pendingRequest
	ticket     Ticket
	dispatchAt time.Time
	endAt      time.Time
	releaseAt  time.Time
	out        limiter.Outcome
	running    bool
}

// pastReport is a load report that may still be delivered with a lag.
type pastReport struct {
	at  time.Time
	rep limiter.Report
}

// simulation runs one backend server and the two entries that may be its home on a fake clock.
type simulation struct {
	rnd                 *rand.Rand
	clk                 *clockwork.FakeClock
	homes               [2]*Admitter
	home                int
	faultSteps          []func()
	nextFaultAt         time.Time
	probeAt             [2]time.Time
	requests            int
	pending             []pendingRequest
	admitted            []*admittedRequest
	granted             int
	refused             int
	lostWithHome        int
	answered            []*waiter
	warm                bool
	readyAt             time.Time
	serverStarts        int
	reports             []pastReport
	problem             string
	warmPeak            int
	staysCold           bool
	maxRunMillis        int
	term                int64
	staleHandoff        Handoff
	maxFaultPauseMillis int
}

func newSimulation(seed uint64) *simulation {
	sim := &simulation{rnd: rand.New(rand.NewPCG(seed, 1)), clk: clockwork.NewFakeClock()}
	sim.staysCold, sim.maxRunMillis = seed%2 == 0, 300+1200*int(seed%5)
	sim.maxFaultPauseMillis = 4000
	if !sim.staysCold {
		sim.maxFaultPauseMillis = 20000
	}
	sim.startHome(0, Serving)
	sim.startHome(1, NotHome)
	return sim
}

// startHome replaces a home with a new incarnation, which starts without any state.
func (sim *simulation) startHome(num int, sta State) {
	sim.homes[num] = New(Options{
		Incarnation: fmt.Sprint("e", num),
		ReportLag:   maxReportLag,
		Queue:       queuer.Options{Capacity: 12, WorkspaceCapacity: 9},
		Clock:       sim.clk,
	})
	sim.updateState(num, sta)
	sim.dropLostRequests()
}

func (sim *simulation) updateState(num int, sta State) {
	sim.homes[num].Update(Config{Name: "u", Term: sim.term, State: sta, ColdLimit: coldLimit, WarmLimit: warmLimit})
}

func (sim *simulation) run(dur time.Duration, faults bool) {
	for end := sim.clk.Now().Add(dur); sim.clk.Now().Before(end) && sim.problem == ""; {
		sim.clk.Advance(tick)
		if faults {
			sim.injectFault()
		}
		sim.submitRequest()
		sim.collectAnswers()
		sim.advanceRequests()
		sim.sendReports()
	}
}

// injectFault runs the next step of the current fault, or starts a new one.
func (sim *simulation) injectFault() {
	now := sim.clk.Now()
	if now.Before(sim.nextFaultAt) {
		return
	}
	sim.nextFaultAt = now.Add(sim.randomDuration(sim.maxFaultPauseMillis))
	switch sim.rnd.IntN(5) {
	case 0:
		sim.restartServer()
	case 1:
		sim.evictHolder(fmt.Sprint("h", sim.rnd.IntN(3)))
	}
	if len(sim.faultSteps) == 0 {
		sim.faultSteps = sim.chooseFault()
	}
	step := sim.faultSteps[0]
	sim.faultSteps = sim.faultSteps[1:]
	step()
}

func (sim *simulation) chooseFault() []func() {
	old, nex := sim.home, 1-sim.home
	move := func() { sim.home = nex }
	to := func(num int, sta State) func() { return func() { sim.updateState(num, sta) } }
	switch sim.rnd.IntN(5) {
	case 4:
		return []func(){func() { sim.handOver(old, nex) }}
	case 0:
		return []func(){to(old, NotHome), to(nex, Serving), move}
	case 1:
		return []func(){to(old, UncertainPredecessor), to(nex, UncertainSuccessor), move, func() { sim.startHome(old, NotHome) }, to(nex, Serving)}
	case 2:
		return []func(){to(old, UncertainPredecessor), to(old, Serving)}
	default:
		return []func(){func() { sim.startHome(old, NotHome) }, to(nex, Serving), move}
	}
}

// handOver moves the home in one step; the handoff may be lost, and a stale one may arrive.
func (sim *simulation) handOver(old, nex int) {
	sim.home = nex
	sim.term++
	han, err := sim.homes[old].HandOver("u", sim.term)
	sim.updateState(nex, Serving)
	if sim.rnd.IntN(2) == 0 {
		_ = sim.homes[nex].TakeOver(sim.staleHandoff)
	}
	if err == nil && sim.rnd.IntN(4) > 0 {
		_ = sim.homes[nex].TakeOver(han)
	}
	sim.staleHandoff = han
}

func (sim *simulation) restartServer() {
	now := sim.clk.Now()
	sim.serverStarts++
	sim.warm, sim.readyAt = false, now.Add(restartDuration)
	for _, adm := range sim.admitted {
		if adm.running {
			adm.running, adm.endAt, adm.out = false, now, limiter.Outcome{Broken: true}
			adm.releaseAt = now.Add(sim.randomDuration(200))
		}
	}
}

// evictHolder evicts a holder; its requests continue to run, and their releases are lost.
func (sim *simulation) evictHolder(holder string) {
	for _, hom := range sim.homes {
		hom.DropHolder(holder)
	}
	for _, adm := range sim.admitted {
		if adm.wai.req.Holder == holder {
			adm.releaseAt = time.Time{}
		}
	}
}

func (sim *simulation) submitRequest() {
	if sim.rnd.IntN(3) != 0 {
		return
	}
	sim.requests++
	num := sim.home
	if sim.rnd.IntN(4) == 0 {
		num = 1 - num
	}
	req := Request{
		ID:        fmt.Sprint("r", sim.requests),
		Holder:    fmt.Sprint("h", sim.rnd.IntN(3)),
		Unit:      "u",
		Workspace: fmt.Sprint("w", sim.rnd.IntN(3)),
		Priority:  sim.rnd.IntN(2),
		Cost:      100,
		Within:    time.Duration(sim.rnd.IntN(10)) * time.Second,
		Suspect:   sim.rnd.IntN(10) == 0,
	}
	wai, err := sim.homes[num].enqueue(req)
	if err != nil {
		sim.refused++
		return
	}
	sim.pending = append(sim.pending, pendingRequest{wai, sim.homes[num], sim.clk.Now()})
}

// collectAnswers receives answers and cancels the queued requests that are past their deadlines.
func (sim *simulation) collectAnswers() {
	var remaining []pendingRequest
	for _, pen := range sim.pending {
		if late := pen.wai.req.Within; late > 0 && sim.clk.Since(pen.at) >= late {
			pen.home.cancelWaiting(pen.wai, refuser.NotRun("late", 0))
		}
		select {
		case ans := <-pen.wai.answers:
			sim.receiveAnswer(pen, ans)
		default:
			remaining = append(remaining, pen)
		}
	}
	sim.pending = remaining
}

// dropLostRequests drops and counts the requests that were queued at a replaced incarnation of a home.
func (sim *simulation) dropLostRequests() {
	var left []pendingRequest
	for _, pen := range sim.pending {
		if pen.home == sim.homes[0] || pen.home == sim.homes[1] {
			left = append(left, pen)
		}
	}
	sim.lostWithHome += len(sim.pending) - len(left)
	sim.pending = left
}

func (sim *simulation) receiveAnswer(pen pendingRequest, ans answer) {
	sim.answered = append(sim.answered, pen.wai)
	if ans.err != nil {
		sim.refused++
		return
	}
	sim.granted++
	now := sim.clk.Now()
	adm := &admittedRequest{pendingRequest: pen, ticket: ans.ticket}
	adm.dispatchAt = now.Add(sim.randomDuration(980))
	adm.endAt = adm.dispatchAt.Add(100*time.Millisecond + sim.randomDuration(sim.maxRunMillis))
	adm.releaseAt = adm.endAt.Add(tick + sim.randomDuration(100))
	switch sim.rnd.IntN(12) {
	case 0:
		adm.releaseAt = adm.dispatchAt.Add(tick)
		adm.endAt = adm.releaseAt.Add(sim.randomDuration(900))
		adm.out.MayRun = true
	case 1:
		adm.dispatchAt, adm.endAt, adm.out.Undispatched = time.Time{}, time.Time{}, true
	}
	sim.admitted = append(sim.admitted, adm)
}

func (sim *simulation) advanceRequests() {
	now := sim.clk.Now()
	var left []*admittedRequest
	for _, adm := range sim.admitted {
		if !adm.running && !adm.dispatchAt.IsZero() && !now.Before(adm.dispatchAt) && now.Before(adm.endAt) {
			sim.dispatchRequest(adm)
		}
		adm.running = adm.running && now.Before(adm.endAt)
		if !adm.releaseAt.IsZero() && !now.Before(adm.releaseAt) {
			_ = adm.home.Release(adm.ticket.ID, adm.out)
			adm.releaseAt = time.Time{}
		}
		if adm.running || !adm.releaseAt.IsZero() || now.Before(adm.endAt) {
			left = append(left, adm)
		}
	}
	sim.admitted = left
	sim.checkColdLimit()
}

// dispatchRequest starts the request on the backend server, which refuses it while it restarts.
func (sim *simulation) dispatchRequest(adm *admittedRequest) {
	now := sim.clk.Now()
	adm.dispatchAt = time.Time{}
	if now.Before(sim.readyAt) {
		adm.endAt, adm.releaseAt, adm.out = now, now.Add(tick), limiter.Outcome{Refused: true}
		return
	}
	adm.running = true
}

func (sim *simulation) countRunning() int {
	sum := 0
	for _, adm := range sim.admitted {
		if adm.running {
			sum++
		}
	}
	return sum
}

func (sim *simulation) checkColdLimit() {
	now, num := sim.clk.Now(), sim.countRunning()
	if !sim.warm && num > coldLimit {
		sim.problem = fmt.Sprintf("%d requests run on a cold backend server", num)
	}
	if sim.warm {
		sim.warmPeak = max(sim.warmPeak, num)
	}
	if !sim.staysCold && now.Sub(sim.readyAt) > warmUpDuration && num > 0 {
		sim.warm = true
	}
	rep := limiter.Report{Running: num, Warm: sim.warm, Started: fmt.Sprint(sim.serverStarts)}
	sim.reports = append(sim.reports, pastReport{now, rep})
	for now.Sub(sim.reports[0].at) > maxReportLag {
		sim.reports = sim.reports[1:]
	}
}

// sendReports sends each home a load report that is up to maxReportLag old.
func (sim *simulation) sendReports() {
	now := sim.clk.Now()
	for num, hom := range sim.homes {
		if now.Before(sim.probeAt[num]) {
			continue
		}
		sim.probeAt[num] = now.Add(300*time.Millisecond + sim.randomDuration(700))
		rep := sim.reports[sim.rnd.IntN(len(sim.reports))].rep
		rep.At = now
		hom.Report("u", rep)
	}
}

func (sim *simulation) randomDuration(millis int) time.Duration {
	return time.Duration(sim.rnd.IntN(millis)) * time.Millisecond
}
