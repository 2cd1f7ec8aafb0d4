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

// world is a log, the entries that fold it, and what truly ran at the service.
type world struct {
	mtx     sync.Mutex
	rnd     *rand.Rand
	log     []recorder.Entry
	late    []recorder.Record
	out     bool
	joined  int
	entries []*node
	ran     map[string]string
	tickets map[time.Time]int
}

// node is one entry; dead ends its process, and paused stops its fold.
type node struct {
	wor     *world
	name    string
	fwd     *Forwarder
	mtx     sync.Mutex
	inc     string
	cla     *claimer.Claimer
	sta     *reducer.State
	seen    map[string]int64
	changed chan struct{}
	paused  int
	dead    bool
}

func newWorld(seed uint64) *world {
	wor := &world{rnd: rand.New(rand.NewPCG(seed, 2)), ran: map[string]string{}, tickets: map[time.Time]int{}}
	for num := range 4 {
		wor.entries = append(wor.entries, wor.start(fmt.Sprintf("e%d", num)))
	}
	for _, nod := range wor.entries {
		nod.fold(wor.log)
	}
	return wor
}

func (wor *world) start(name string) *node {
	nod := &node{wor: wor, name: name, sta: reducer.NewState(), seen: map[string]int64{}, changed: make(chan struct{})}
	nod.join()
	nod.fwd = New(Options{
		View: nod.view, Candidates: candidates, Claimer: nod.claimer, Tickets: nod, Services: nod,
		Balancer: balancer.New(nil, wor.rnd.Uint64()), Entries: nod, Clock: clockwork.NewRealClock(), Queue: time.Second,
	})
	return nod
}

// join takes a new incarnation, at the start and after an eviction; the caller holds the world's lock, or is alone.
func (nod *node) join() {
	wor := nod.wor
	wor.joined++
	nod.inc = fmt.Sprintf("i%d", wor.joined)
	nod.cla = claimer.New(claimer.Settings{Name: nod.name, Incarnation: nod.inc, Window: 2 * time.Second}, clockwork.NewRealClock(), nod, nod, nod)
	wor.propose(recorder.KindJoin, nod.inc, recorder.Member{Name: nod.name, Incarnation: nod.inc, RPCAddress: nod.name})
}

func candidates(*reducer.View, string) []balancer.Candidate {
	return []balancer.Candidate{{Unit: "w1", Limit: 9, Fresh: true}, {Unit: "w2", Limit: 9, Fresh: true}, {Unit: "w3", Limit: 9, Fresh: true}}
}

func (wor *world) land(rec recorder.Record) {
	wor.log = append(wor.log, recorder.Entry{Offset: int64(len(wor.log)) + 1, At: time.Now(), Record: rec})
}

func (wor *world) propose(kind recorder.Kind, writer string, body any) {
	rec, err := recorder.New(time.Now(), kind, writer, body)
	Expect(err).NotTo(HaveOccurred())
	wor.land(rec)
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

func (nod *node) fold(log []recorder.Entry) {
	nod.mtx.Lock()
	defer nod.mtx.Unlock()
	for _, ent := range log[nod.sta.Offset:] {
		nod.sta.Apply(ent)
		nod.seen[ent.Record.ID] = ent.Offset
	}
	if _, gone := nod.sta.Departed[nod.inc]; gone && !nod.dead {
		nod.join()
	}
	close(nod.changed)
	nod.changed = make(chan struct{})
}

// Live, Successor, Claim, Claimable and WaitFolded are the fold as the claimer asks it.
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
		off, folded := nod.seen[id]
		changed := nod.changed
		nod.mtx.Unlock()
		if folded {
			return off, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// Append fails while the log is out, and at times lands late, lands twice or loses its answer.
func (nod *node) Append(_ context.Context, rec recorder.Record) error {
	wor := nod.wor
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	lot := wor.rnd.IntN(100)
	switch {
	case nod.dead:
		return errors.Timeoutf("log")
	case wor.out || lot < 10:
		wor.late = append(wor.late, rec)
		return errors.Timeoutf("log")
	case lot < 20:
		wor.land(rec)
		return errors.Timeoutf("log")
	case lot < 25:
		wor.land(rec)
	}
	wor.land(rec)
	return nil
}

// Acquire grants tickets; it refuses some requests, and some tickets have already expired.
func (nod *node) Acquire(_ context.Context, req admitter.Request) (ticketer.HeldTicket, error) {
	lot := nod.wor.lot(10)
	if lot == 0 {
		return ticketer.HeldTicket{}, refuser.NotRun("full", time.Second)
	}
	nod.wor.mtx.Lock()
	defer nod.wor.mtx.Unlock()
	until := time.Now().Add(time.Second)
	if lot == 1 {
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

// Invoke is the service: it refuses, runs and answers, runs and loses the answer, or loses the call.
func (nod *node) Invoke(_ context.Context, cal invoker.Call) (invoker.Response, error) {
	lot := nod.wor.lot(20)
	if lot < 4 {
		return invoker.Response{}, &invoker.NotRunError{Cause: errors.QuotaLimitExceededf("calls")}
	}
	time.Sleep(time.Duration(nod.wor.lot(80)) * time.Millisecond)
	nod.wor.mtx.Lock()
	defer nod.wor.mtx.Unlock()
	if lot < 6 || nod.dead {
		return invoker.Response{}, &invoker.MayHaveRunError{Cause: errors.Timeoutf("service")}
	}
	Expect(nod.wor.ran).NotTo(HaveKey(cal.RequestID), "one send ran twice")
	nod.wor.ran[cal.RequestID] = "run of " + cal.RequestID
	if lot < 8 {
		return invoker.Response{}, &invoker.MayHaveRunError{Cause: errors.Timeoutf("service")}
	}
	return invoker.Response{Status: 200, Body: []byte("run of " + cal.RequestID)}, nil
}

// Forward calls the entry that now has an address; requests and answers get lost.
func (nod *node) Forward(ctx context.Context, address string, cal Call) (Answer, error) {
	lot := nod.wor.lot(20)
	oth := nod.wor.at(address)
	if lot == 0 || oth.gone() || nod.gone() {
		return Answer{}, errors.Timeoutf("entry")
	}
	ans := oth.fwd.Forward(ctx, cal)
	if lot == 1 || oth.gone() {
		return Answer{}, errors.Timeoutf("entry")
	}
	return ans, nil
}

func (nod *node) gone() bool {
	nod.wor.mtx.Lock()
	defer nod.wor.mtx.Unlock()
	return nod.dead
}

func (wor *world) at(address string) *node {
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	for _, nod := range wor.entries {
		if nod.name == address {
			return nod
		}
	}
	return wor.entries[0]
}

func (wor *world) lot(limit int) int {
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	return wor.rnd.IntN(limit)
}

// step folds at the entries that are not paused, and brings about one fault at times.
func (wor *world) step(calm bool) {
	time.Sleep(tick)
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	for len(wor.late) > 0 && !wor.out && wor.rnd.IntN(3) == 0 {
		wor.land(wor.late[0])
		wor.late = wor.late[1:]
	}
	for _, nod := range wor.entries {
		if nod.paused > 0 {
			nod.paused--
		} else if !wor.out && wor.rnd.IntN(3) > 0 {
			nod.fold(wor.log)
		}
	}
	if calm {
		wor.out = false
		return
	}
	wor.fault()
}

func (wor *world) fault() {
	pos := wor.rnd.IntN(len(wor.entries))
	nod, next := wor.entries[pos], wor.entries[(pos+1)%len(wor.entries)]
	lot := wor.rnd.IntN(300)
	switch {
	case wor.out && lot < 40:
		wor.out = false
	case wor.out:
	case lot < 4:
		wor.out = true
	case lot < 20:
		nod.paused = wor.rnd.IntN(60)
	case lot < 25:
		nod.dead = true
		wor.entries[pos] = wor.start(nod.name)
	case lot < 30:
		wor.stop(nod, next)
		wor.entries[pos] = wor.start(nod.name)
	case lot < 34:
		wor.propose(recorder.KindEvict, next.inc, recorder.Departure{Incarnation: nod.inc})
	}
}

// stop hands the outcomes over, as bytes; the stopped entry still ends what it began.
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
	switch id := uuid.Must(uuid.NewV7()).String(); wor.lot(5) {
	case 0:
		return ""
	case 1, 2:
		return id
	default:
		return wor.pick().claimer().Prefix() + "/" + id
	}
}
