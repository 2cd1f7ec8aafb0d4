package forwarder

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/balancer"
	"github.com/lovagelever/lovagelever/claimer"
	"github.com/lovagelever/lovagelever/invoker"
	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/ticketer"
)

const tick = 10 * time.Millisecond

// world simulates a log, the entries that apply it, and the service; ran holds the answer of each call that the service ran, by request ID.
type world struct {
	mtx          sync.Mutex
	rnd          *rand.Rand
	log          []recorder.Entry
	delayed      []recorder.Record
	logDown      bool
	incarnations int
	entries      []*node
	ran          map[string]string
	tickets      map[time.Time]int
}

// node is one entry; dead marks its process as crashed, and paused is the number of steps in which it applies no records.
type node struct {
	wor            *world
	name           string
	fwd            *Forwarder
	mtx            sync.Mutex
	inc            string
	cla            *claimer.Claimer
	sta            *reducer.State
	appliedOffsets map[string]int64
	changed        chan struct{}
	paused         int
	dead           bool
}

func newWorld(seed uint64) *world {
	wor := &world{rnd: rand.New(rand.NewPCG(seed, 2)), ran: map[string]string{}, tickets: map[time.Time]int{}}
	for num := range 4 {
		wor.entries = append(wor.entries, wor.start(fmt.Sprintf("e%d", num)))
	}
	for _, nod := range wor.entries {
		nod.applyLog(wor.log)
	}
	return wor
}

func (wor *world) start(name string) *node {
	nod := &node{wor: wor, name: name, sta: reducer.NewState(), appliedOffsets: map[string]int64{}, changed: make(chan struct{})}
	nod.join()
	nod.fwd = New(Options{
		View: nod.view, Candidates: candidates, Claimer: nod.claimer, Tickets: nod, Services: nod,
		Balancer: balancer.New(nil, wor.rnd.Uint64()), Entries: nod, Clock: clockwork.NewRealClock(), MaxQueueTime: time.Second,
	})
	return nod
}

// join takes a new incarnation, at the start and after an eviction; the caller must hold world.mtx or have exclusive access.
func (nod *node) join() {
	wor := nod.wor
	wor.incarnations++
	nod.inc = fmt.Sprintf("i%d", wor.incarnations)
	nod.cla = claimer.New(claimer.Settings{Name: nod.name, Incarnation: nod.inc, Window: 2 * time.Second}, clockwork.NewRealClock(), nod, nod, nod)
	wor.propose(recorder.KindJoin, nod.inc, recorder.Member{Name: nod.name, Incarnation: nod.inc, RPCAddress: nod.name})
}

func candidates(*reducer.View, string) []balancer.Candidate {
	return []balancer.Candidate{{Unit: "w1", Limit: 9, Fresh: true}, {Unit: "w2", Limit: 9, Fresh: true}, {Unit: "w3", Limit: 9, Fresh: true}}
}

func (wor *world) appendLog(rec recorder.Record) {
	wor.log = append(wor.log, recorder.Entry{Offset: int64(len(wor.log)) + 1, At: time.Now(), Record: rec})
}

func (wor *world) propose(kind recorder.Kind, writer string, body any) {
	rec, err := recorder.New(time.Now(), kind, writer, body)
	Expect(err).NotTo(HaveOccurred())
	wor.appendLog(rec)
}

func (nod *node) view() *reducer.View {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	return nod.sta.View()
}

func (nod *node) claimer() *claimer.Claimer {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	return nod.cla
}

func (nod *node) applyLog(log []recorder.Entry) {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	for _, ent := range log[nod.sta.Offset:] {
		nod.sta.Apply(ent)
		nod.appliedOffsets[ent.Record.ID] = ent.Offset
	}
	if _, gone := nod.sta.Departed[nod.inc]; gone && !nod.dead {
		nod.join()
	}
	close(nod.changed)
	nod.changed = make(chan struct{})
}

// Live, Successor, Claim, Claimable and WaitFolded give the claimer access to the applied state.
func (nod *node) Live(inc string) bool {
	_, live := nod.view().Members[inc]
	return live
}

func (nod *node) Successor(inc string) (string, bool) {
	dep, left := nod.view().Departed[inc]
	return dep.Successor, left
}

func (nod *node) Claim(key string) (reducer.Claim, bool) {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	cla, claimed := nod.sta.Claims[key]
	return cla, claimed
}

func (nod *node) Claimable(issuedMS int64) bool {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	return nod.sta.Claimable(issuedMS)
}

func (nod *node) WaitApplied(ctx context.Context, id string) (int64, error) {
	for {
		nod.mtx.Lock()
		off, applied := nod.appliedOffsets[id]
		changed := nod.changed
		nod.mtx.Unlock()
		if applied {
			return off, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// Append fails while the log is down; at random it appends late, appends twice or loses its answer.
func (nod *node) Append(_ context.Context, rec recorder.Record) error {
	wor := nod.wor
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	roll := wor.rnd.IntN(100)
	switch {
	case nod.dead:
		return errors.Timeoutf("log")
	case wor.logDown || roll < 10:
		wor.delayed = append(wor.delayed, rec)
		return errors.Timeoutf("log")
	case roll < 20:
		wor.appendLog(rec)
		return errors.Timeoutf("log")
	case roll < 25:
		wor.appendLog(rec)
	}
	wor.appendLog(rec)
	return nil
}

// Acquire grants tickets; at random it refuses or grants one that has already expired.
func (nod *node) Acquire(_ context.Context, req admitter.Request) (ticketer.HeldTicket, error) {
	roll := nod.wor.randInt(10)
	if roll == 0 {
		return ticketer.HeldTicket{}, refuser.NotRun("full", time.Second)
	}
	nod.wor.mtx.Lock()
	defer nod.wor.mtx.Unlock()
	until := time.Now().Add(time.Second)
	if roll == 1 {
		until = time.Now()
	}
	for _, taken := nod.wor.tickets[until]; taken; _, taken = nod.wor.tickets[until] {
		until = until.Add(-time.Nanosecond)
	}
	nod.wor.tickets[until] = 0
	return ticketer.HeldTicket{Unit: req.Unit, DispatchBefore: until}, nil
}

func (nod *node) Release(hel ticketer.HeldTicket, _ limiter.Outcome) {
	nod.wor.mtx.Lock()
	defer nod.wor.mtx.Unlock()
	nod.wor.tickets[hel.DispatchBefore]++
}

// Invoke simulates the service: it refuses, runs and answers, runs and loses the answer, or loses the call.
func (nod *node) Invoke(_ context.Context, cal invoker.Call) (invoker.Response, error) {
	roll := nod.wor.randInt(20)
	if roll < 4 {
		return invoker.Response{}, &invoker.NotRunError{Cause: errors.QuotaLimitExceededf("calls")}
	}
	time.Sleep(time.Duration(nod.wor.randInt(80)) * time.Millisecond)
	nod.wor.mtx.Lock()
	defer nod.wor.mtx.Unlock()
	if roll < 6 || nod.dead {
		return invoker.Response{}, &invoker.MayHaveRunError{Cause: errors.Timeoutf("service")}
	}
	Expect(nod.wor.ran).NotTo(HaveKey(cal.RequestID), "one send ran twice")
	nod.wor.ran[cal.RequestID] = "run of " + cal.RequestID
	if roll < 8 {
		return invoker.Response{}, &invoker.MayHaveRunError{Cause: errors.Timeoutf("service")}
	}
	return invoker.Response{Status: 200, Body: []byte("run of " + cal.RequestID)}, nil
}

// Forward calls the current entry at an address; at random it loses the request or the answer.
func (nod *node) Forward(ctx context.Context, address string, cal Call) (Answer, error) {
	roll := nod.wor.randInt(20)
	oth := nod.wor.byAddress(address)
	if roll == 0 || oth.isDead() || nod.isDead() {
		return Answer{}, errors.Timeoutf("entry")
	}
	ans := oth.fwd.Forward(ctx, cal)
	if roll == 1 || oth.isDead() {
		return Answer{}, errors.Timeoutf("entry")
	}
	return ans, nil
}

func (nod *node) isDead() bool {
	nod.wor.mtx.Lock()
	defer nod.wor.mtx.Unlock()
	return nod.dead
}

func (wor *world) byAddress(address string) *node {
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	for _, nod := range wor.entries {
		if nod.name == address {
			return nod
		}
	}
	return wor.entries[0]
}

func (wor *world) randInt(limit int) int {
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	return wor.rnd.IntN(limit)
}

// step applies the log at random entries that are not paused, and injects a fault at random unless faultFree.
func (wor *world) step(faultFree bool) {
	time.Sleep(tick)
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	for len(wor.delayed) > 0 && !wor.logDown && wor.rnd.IntN(3) == 0 {
		wor.appendLog(wor.delayed[0])
		wor.delayed = wor.delayed[1:]
	}
	for _, nod := range wor.entries {
		if nod.paused > 0 {
			nod.paused--
		} else if !wor.logDown && wor.rnd.IntN(3) > 0 {
			nod.applyLog(wor.log)
		}
	}
	if faultFree {
		wor.logDown = false
		return
	}
	wor.injectFault()
}

func (wor *world) injectFault() {
	pos := wor.rnd.IntN(len(wor.entries))
	nod, next := wor.entries[pos], wor.entries[(pos+1)%len(wor.entries)]
	roll := wor.rnd.IntN(300)
	switch {
	case wor.logDown && roll < 40:
		wor.logDown = false
	case wor.logDown:
	case roll < 4:
		wor.logDown = true
	case roll < 20:
		nod.paused = wor.rnd.IntN(60)
	case roll < 25:
		nod.dead = true
		wor.entries[pos] = wor.start(nod.name)
	case roll < 30:
		wor.stop(nod, next)
		wor.entries[pos] = wor.start(nod.name)
	case roll < 34:
		wor.propose(recorder.KindEvict, next.inc, recorder.Departure{Incarnation: nod.inc})
	}
}

// stop hands over the outcomes, encoded with gob, and records the departure; the stopped entry still finishes the calls that it started.
func (wor *world) stop(nod, next *node) {
	var buf bytes.Buffer
	Expect(gob.NewEncoder(&buf).Encode(nod.cla.Handover())).To(Succeed())
	var tab claimer.Table
	Expect(gob.NewDecoder(&buf).Decode(&tab)).To(Succeed())
	Expect(next.cla.Adopt(tab)).To(Succeed())
	wor.propose(recorder.KindLeave, nod.inc, recorder.Departure{Incarnation: nod.inc, Successor: next.inc})
}

func (wor *world) pick() *node {
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	return wor.entries[wor.rnd.IntN(len(wor.entries))]
}

func (wor *world) newKey() string {
	switch id := uuid.Must(uuid.NewV7()).String(); wor.randInt(5) {
	case 0:
		return ""
	case 1, 2:
		return id
	default:
		return wor.pick().claimer().Prefix() + "/" + id
	}
}
