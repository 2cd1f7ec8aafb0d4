package claimer

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

// simulation holds a log, the nodes that apply it, and the runs that the backend server has seen.
type simulation struct {
	mu           sync.Mutex
	rng          *rand.Rand
	clk          *clockwork.FakeClock
	log          []recorder.Entry
	delayed      []recorder.Record
	logDown      bool
	nodesStarted int
	nodes        map[string]*node
	liveNodes    []*node
	runs         map[string][]string
	ranBy        map[int64]string
	logicalClock atomic.Int64
}

// node is one incarnation with its own state applied from the log.
type node struct {
	sim     *simulation
	inc     string
	name    string
	cla     *Claimer
	mu      sync.Mutex
	sta     *reducer.State
	offsets map[string]int64
	changed chan struct{}
	paused  int
	dead    bool
}

func newSimulation(seed uint64, names int) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), clk: clockwork.NewFakeClockAt(time.UnixMilli(1_800_000_000_000)),
		nodes: map[string]*node{}, runs: map[string][]string{}, ranBy: map[int64]string{},
	}
	for num := range names {
		sim.liveNodes = append(sim.liveNodes, sim.startNode(fmt.Sprintf("e%d", num)))
	}
	sim.applyAll()
	return sim
}

func (sim *simulation) newUUID() string {
	var uid uuid.UUID
	ms := sim.clk.Now().UnixMilli()
	for pos := range 6 {
		uid[pos] = byte(ms >> (40 - 8*pos))
	}
	for pos := 6; pos < 16; pos++ {
		uid[pos] = byte(sim.rng.Uint32())
	}
	uid[6] = 0x70 | uid[6]&0x0f
	uid[8] = 0x80 | uid[8]&0x3f
	return uid.String()
}

func (sim *simulation) appendToLog(rec recorder.Record) {
	sim.log = append(sim.log, recorder.Entry{Offset: int64(len(sim.log)) + 1, At: sim.clk.Now(), Record: rec})
}

func (sim *simulation) appendNew(kind recorder.Kind, writer string, body any) {
	rec, err := recorder.New(sim.clk.Now(), kind, writer, body)
	Expect(err).NotTo(HaveOccurred())
	rec.ID = sim.newUUID()
	sim.appendToLog(rec)
}

// startNode starts a new incarnation of a name; applying its join record evicts the old one.
func (sim *simulation) startNode(name string) *node {
	sim.nodesStarted++
	inc := fmt.Sprintf("i%d", sim.nodesStarted)
	nod := &node{sim: sim, inc: inc, name: name, sta: reducer.NewState(), offsets: map[string]int64{}, changed: make(chan struct{})}
	set := Settings{Name: name, Incarnation: inc, Window: 2 * time.Second, MaxKeys: 200, ReadBackWait: time.Second}
	nod.cla = New(set, sim.clk, nod, nod, nod)
	sim.nodes[inc] = nod
	sim.appendNew(recorder.KindJoin, inc, recorder.Member{Name: name, Incarnation: inc})
	return nod
}

func (sim *simulation) applyAll() {
	for _, nod := range sim.nodes {
		nod.applyLog(sim.log)
	}
}

func (nod *node) applyLog(log []recorder.Entry) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	for _, ent := range log[nod.sta.Offset:] {
		nod.sta.Apply(ent)
		nod.offsets[ent.Record.ID] = ent.Offset
	}
	close(nod.changed)
	nod.changed = make(chan struct{})
}

func (nod *node) Live(inc string) bool {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	_, live := nod.sta.Members[inc]
	return live
}

func (nod *node) Successor(inc string) (string, bool) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	dep, departed := nod.sta.Departed[inc]
	return dep.Successor, departed
}

func (nod *node) Claim(key string) (reducer.Claim, bool) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	cla, claimed := nod.sta.Claims[key]
	return cla, claimed
}

func (nod *node) Claimable(issuedMS int64) bool {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	return nod.sta.Claimable(issuedMS)
}

func (nod *node) WaitApplied(ctx context.Context, id string) (int64, error) {
	for {
		nod.mu.Lock()
		off, applied := nod.offsets[id]
		changed := nod.changed
		nod.mu.Unlock()
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

// Append fails or delays the record while the log is down; otherwise it sometimes appends late, appends twice or loses the answer.
func (nod *node) Append(_ context.Context, rec recorder.Record) error {
	sim := nod.sim
	sim.mu.Lock()
	defer sim.mu.Unlock()
	lot := sim.rng.IntN(100)
	switch {
	case nod.dead || sim.logDown && lot < 60:
		return errors.Timeoutf("log")
	case sim.logDown || lot < 10:
		sim.delayed = append(sim.delayed, rec)
		return errors.Timeoutf("log")
	case lot < 20:
		sim.appendToLog(rec)
		return errors.Timeoutf("log")
	case lot < 25:
		sim.appendToLog(rec)
	}
	sim.appendToLog(rec)
	return nil
}

// step advances the clock, applies the log on nodes that are not paused, and injects at most one random fault.
func (sim *simulation) step() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	elapsed := time.Duration(sim.rng.IntN(40)) * time.Millisecond
	if sim.rng.IntN(200) == 0 {
		elapsed = time.Duration(sim.rng.IntN(300)) * time.Second
	}
	sim.clk.Advance(elapsed)
	for len(sim.delayed) > 0 && !sim.logDown && sim.rng.IntN(3) == 0 {
		sim.appendToLog(sim.delayed[0])
		sim.delayed = sim.delayed[1:]
	}
	for _, nod := range sim.liveNodes {
		if nod.paused > 0 {
			nod.paused--
		} else if !sim.logDown && sim.rng.IntN(3) > 0 {
			nod.applyLog(sim.log)
		}
	}
	sim.injectFault()
}

func (sim *simulation) injectFault() {
	pos := sim.rng.IntN(len(sim.liveNodes))
	nod := sim.liveNodes[pos]
	next := sim.liveNodes[(pos+1)%len(sim.liveNodes)]
	lot := sim.rng.IntN(150)
	switch {
	case sim.logDown && lot < 40:
		sim.logDown = false
	case lot < 5:
		sim.logDown = true
	case lot < 20:
		nod.paused = sim.rng.IntN(60)
	case sim.logDown:
	case lot < 24:
		nod.dead = true
		sim.liveNodes[pos] = sim.startNode(nod.name)
	case lot < 28:
		sim.stopNode(nod, next)
		sim.liveNodes[pos] = sim.startNode(nod.name)
	case lot < 31:
		sim.appendNew(recorder.KindEvict, next.inc, recorder.Departure{Incarnation: nod.inc})
	}
}

// stopNode hands the table over in encoded form; the old incarnation keeps running and finishes the calls that it began.
func (sim *simulation) stopNode(nod, next *node) {
	var buf bytes.Buffer
	Expect(gob.NewEncoder(&buf).Encode(nod.cla.Handover())).To(Succeed())
	var tab Table
	Expect(gob.NewDecoder(&buf).Decode(&tab)).To(Succeed())
	Expect(next.cla.Adopt(tab)).To(Succeed())
	sim.appendNew(recorder.KindLeave, nod.inc, recorder.Departure{Incarnation: nod.inc, Successor: next.inc})
}

func (sim *simulation) randomNode() *node {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.liveNodes[sim.rng.IntN(len(sim.liveNodes))]
}

func (sim *simulation) randomInt(limit int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rng.IntN(limit)
}

func (sim *simulation) newRandomKey() string {
	nod := sim.randomNode()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	id := sim.newUUID()
	if sim.rng.IntN(2) == 0 {
		return id
	}
	return nod.cla.Prefix() + "/" + id
}

// runOnBackend stands in for the backend server; it runs a call unless the calling incarnation has crashed.
func (sim *simulation) runOnBackend(nod *node, key string, send int64) (string, bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if nod.dead {
		return "", false
	}
	run := fmt.Sprintf("run%d", send)
	sim.runs[key] = append(sim.runs[key], run)
	sim.ranBy[send] = run
	return run, true
}

// answer is the result of one send.
type answer struct {
	kind         Kind
	run          string
	thisSendOnly bool
	reason       string
}

const kindDone Kind = "done"

func (sim *simulation) send(ctx context.Context, nod *node, key string, send int64, hops int) answer {
	sim.mu.Lock()
	dead := nod.dead
	sim.mu.Unlock()
	if dead || hops > 4 {
		return answer{kind: KindOutcomeUnknown}
	}
	dec, err := nod.cla.Begin(ctx, key, "print")
	var ref *Refusal
	if errors.As(err, &ref) {
		return answer{kind: ref.Kind, thisSendOnly: ref.ThisSendOnly, reason: nod.inc + ": " + ref.Reason}
	}
	switch dec.Verdict {
	case VerdictReplay:
		return answer{kind: kindDone, run: string(dec.Outcome.Body)}
	case VerdictForward:
		sim.mu.Lock()
		next := sim.nodes[dec.Incarnation]
		sim.mu.Unlock()
		return sim.send(ctx, next, key, send, hops+1)
	default:
		return sim.dispatch(nod, key, send)
	}
}

func (sim *simulation) dispatch(nod *node, key string, send int64) answer {
	time.Sleep(time.Duration(sim.randomInt(1000)) * time.Microsecond)
	lot := sim.randomInt(10)
	if lot == 0 {
		nod.cla.Finish(key, Outcome{State: StateNotRun})
		return answer{kind: KindNotRun, reason: nod.inc}
	}
	run, ran := sim.runOnBackend(nod, key, send)
	if !ran {
		return answer{kind: KindOutcomeUnknown}
	}
	if lot == 1 {
		nod.cla.Finish(key, Outcome{State: StateUnknown})
		return answer{kind: KindOutcomeUnknown}
	}
	nod.cla.Finish(key, Outcome{State: StateDone, Status: 200, Body: []byte(run)})
	return answer{kind: kindDone, run: run}
}
