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

// world is a log, the entries that fold it, and the record of what truly ran.
type world struct {
	mu      sync.Mutex
	rng     *rand.Rand
	clk     *clockwork.FakeClock
	log     []recorder.Entry
	late    []recorder.Record
	out     bool
	started int
	nodes   map[string]*node
	current []*node
	runs    map[string][]string
	ranBy   map[int64]string
	tick    atomic.Int64
}

// node is one incarnation with its own fold.
type node struct {
	wor     *world
	inc     string
	name    string
	cla     *Claimer
	mu      sync.Mutex
	sta     *reducer.State
	seen    map[string]int64
	changed chan struct{}
	paused  int
	dead    bool
}

func newWorld(seed uint64, names int) *world {
	wor := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), clk: clockwork.NewFakeClockAt(time.UnixMilli(1_800_000_000_000)),
		nodes: map[string]*node{}, runs: map[string][]string{}, ranBy: map[int64]string{},
	}
	for num := range names {
		wor.current = append(wor.current, wor.join(fmt.Sprintf("e%d", num)))
	}
	wor.foldAll()
	return wor
}

func (wor *world) id() string {
	var uid uuid.UUID
	ms := wor.clk.Now().UnixMilli()
	for pos := range 6 {
		uid[pos] = byte(ms >> (40 - 8*pos))
	}
	for pos := 6; pos < 16; pos++ {
		uid[pos] = byte(wor.rng.Uint32())
	}
	uid[6] = 0x70 | uid[6]&0x0f
	uid[8] = 0x80 | uid[8]&0x3f
	return uid.String()
}

func (wor *world) land(rec recorder.Record) {
	wor.log = append(wor.log, recorder.Entry{Offset: int64(len(wor.log)) + 1, At: wor.clk.Now(), Record: rec})
}

func (wor *world) propose(kind recorder.Kind, writer string, body any) {
	rec, err := recorder.New(wor.clk.Now(), kind, writer, body)
	Expect(err).NotTo(HaveOccurred())
	rec.ID = wor.id()
	wor.land(rec)
}

// join starts a new incarnation of a name; the fold evicts the old one.
func (wor *world) join(name string) *node {
	wor.started++
	inc := fmt.Sprintf("i%d", wor.started)
	nod := &node{wor: wor, inc: inc, name: name, sta: reducer.NewState(), seen: map[string]int64{}, changed: make(chan struct{})}
	set := Settings{Name: name, Incarnation: inc, Window: 2 * time.Second, MaxKeys: 200, ReadBackWait: time.Second}
	nod.cla = New(set, wor.clk, nod, nod, nod)
	wor.nodes[inc] = nod
	wor.propose(recorder.KindJoin, inc, recorder.Member{Name: name, Incarnation: inc})
	return nod
}

func (wor *world) foldAll() {
	for _, nod := range wor.nodes {
		nod.fold(wor.log)
	}
}

func (nod *node) fold(log []recorder.Entry) {
	nod.mu.Lock()
	defer nod.mu.Unlock()
	for _, ent := range log[nod.sta.Offset:] {
		nod.sta.Apply(ent)
		nod.seen[ent.Record.ID] = ent.Offset
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
	dep, left := nod.sta.Departed[inc]
	return dep.Successor, left
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

func (nod *node) WaitFolded(ctx context.Context, id string) (int64, error) {
	for {
		nod.mu.Lock()
		off, folded := nod.seen[id]
		changed := nod.changed
		nod.mu.Unlock()
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

// Append fails while the log is out, and otherwise at times lands late, lands twice or loses its answer.
func (nod *node) Append(_ context.Context, rec recorder.Record) error {
	wor := nod.wor
	wor.mu.Lock()
	defer wor.mu.Unlock()
	lot := wor.rng.IntN(100)
	switch {
	case nod.dead || wor.out && lot < 60:
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

// step lets time pass, folds at the entries that are not paused, and brings about one fault at times.
func (wor *world) step() {
	wor.mu.Lock()
	defer wor.mu.Unlock()
	passed := time.Duration(wor.rng.IntN(40)) * time.Millisecond
	if wor.rng.IntN(200) == 0 {
		passed = time.Duration(wor.rng.IntN(300)) * time.Second
	}
	wor.clk.Advance(passed)
	for len(wor.late) > 0 && !wor.out && wor.rng.IntN(3) == 0 {
		wor.land(wor.late[0])
		wor.late = wor.late[1:]
	}
	for _, nod := range wor.current {
		if nod.paused > 0 {
			nod.paused--
		} else if !wor.out && wor.rng.IntN(3) > 0 {
			nod.fold(wor.log)
		}
	}
	wor.fault()
}

func (wor *world) fault() {
	pos := wor.rng.IntN(len(wor.current))
	nod := wor.current[pos]
	next := wor.current[(pos+1)%len(wor.current)]
	lot := wor.rng.IntN(150)
	switch {
	case wor.out && lot < 40:
		wor.out = false
	case lot < 5:
		wor.out = true
	case lot < 20:
		nod.paused = wor.rng.IntN(60)
	case wor.out:
	case lot < 24:
		nod.dead = true
		wor.current[pos] = wor.join(nod.name)
	case lot < 28:
		wor.stop(nod, next)
		wor.current[pos] = wor.join(nod.name)
	case lot < 31:
		wor.propose(recorder.KindEvict, next.inc, recorder.Departure{Incarnation: nod.inc})
	}
}

// stop hands the table over, as bytes; the old incarnation lives on and still ends what it began.
func (wor *world) stop(nod, next *node) {
	var buf bytes.Buffer
	Expect(gob.NewEncoder(&buf).Encode(nod.cla.Handover())).To(Succeed())
	var tab Table
	Expect(gob.NewDecoder(&buf).Decode(&tab)).To(Succeed())
	Expect(next.cla.Adopt(tab)).To(Succeed())
	wor.propose(recorder.KindLeave, nod.inc, recorder.Departure{Incarnation: nod.inc, Successor: next.inc})
}

func (wor *world) pick() *node {
	wor.mu.Lock()
	defer wor.mu.Unlock()
	return wor.current[wor.rng.IntN(len(wor.current))]
}

func (wor *world) lot(limit int) int {
	wor.mu.Lock()
	defer wor.mu.Unlock()
	return wor.rng.IntN(limit)
}

func (wor *world) newKey() string {
	nod := wor.pick()
	wor.mu.Lock()
	defer wor.mu.Unlock()
	id := wor.id()
	if wor.rng.IntN(2) == 0 {
		return id
	}
	return nod.cla.Prefix() + "/" + id
}

// handOver is the backend server: it runs a call of a live incarnation.
func (wor *world) handOver(nod *node, key string, send int64) (string, bool) {
	wor.mu.Lock()
	defer wor.mu.Unlock()
	if nod.dead {
		return "", false
	}
	run := fmt.Sprintf("run%d", send)
	wor.runs[key] = append(wor.runs[key], run)
	wor.ranBy[send] = run
	return run, true
}

// answer is what one send came to.
type answer struct {
	kind         Kind
	run          string
	thisSendOnly bool
	reason       string
}

const kindDone Kind = "done"

func (wor *world) send(ctx context.Context, nod *node, key string, send int64, hops int) answer {
	wor.mu.Lock()
	dead := nod.dead
	wor.mu.Unlock()
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
		wor.mu.Lock()
		next := wor.nodes[dec.Incarnation]
		wor.mu.Unlock()
		return wor.send(ctx, next, key, send, hops+1)
	default:
		return wor.dispatch(nod, key, send)
	}
}

func (wor *world) dispatch(nod *node, key string, send int64) answer {
	time.Sleep(time.Duration(wor.lot(1000)) * time.Microsecond)
	lot := wor.lot(10)
	if lot == 0 {
		nod.cla.Finish(key, Outcome{State: StateNotRun})
		return answer{kind: KindNotRun, reason: nod.inc}
	}
	run, ran := wor.handOver(nod, key, send)
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
