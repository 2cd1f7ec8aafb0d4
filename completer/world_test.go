package completer

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/balancer"
	"github.com/lovagelever/lovagelever/breaker"
	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/prober"
	"github.com/lovagelever/lovagelever/quarantiner"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
	"github.com/lovagelever/lovagelever/refuser"
	"github.com/lovagelever/lovagelever/retrier"
	"github.com/lovagelever/lovagelever/streamer"
	"github.com/lovagelever/lovagelever/ticketer"
)

const (
	unitCount      = 5
	ticketValidity = 2 * time.Second
	maxQueueTime   = time.Second
)

// engine is a replica group; starts counts its restarts, and crashed is closed when the current process crashes.
type engine struct {
	starts  int
	crashed chan struct{}
}

// engineRequest records what an engine did with one request.
type engineRequest struct {
	sentAt  time.Time
	refused bool
	ran     bool
}

// issuedTicket records a granted ticket and how often it was released.
type issuedTicket struct {
	id             string
	suspect        bool
	requestsBefore int
	released       int
	start          string
}

// world simulates the engines and homes and records the requests and tickets that they handled.
type world struct {
	mtx            sync.Mutex
	seed           uint64
	script         []fault
	vie            *reducer.View
	engines        map[string]*engine
	engineRequests map[string][]engineRequest
	tickets        map[time.Time]*issuedTicket
	suspects       map[string]int
	condemned      map[string]bool
	faults         map[string]int
	com            *Completer
	bre            *breaker.Breaker
}

func newWorld(seed uint64) *world {
	wor := &world{
		seed: seed, engines: map[string]*engine{}, engineRequests: map[string][]engineRequest{}, tickets: map[time.Time]*issuedTicket{},
		suspects: map[string]int{}, condemned: map[string]bool{}, faults: map[string]int{},
		vie: &reducer.View{Groups: map[string]reducer.Group{}, Catalog: cataloger.Catalog{Inventory: cataloger.Inventory{VMs: map[string]cataloger.VM{}}}},
	}
	for num := range unitCount {
		name := "g" + strconv.Itoa(num)
		wor.engines[name] = &engine{crashed: make(chan struct{})}
		wor.vie.Groups[name] = reducer.Group{Name: name, VMs: []string{name}, Fence: int64(num + 1)}
		wor.vie.Catalog.Inventory.VMs[name] = cataloger.VM{Address: name}
	}
	clk := clockwork.NewRealClock()
	log := logrus.New()
	log.SetOutput(io.Discard)
	wor.bre = breaker.New(breaker.Options{Clock: clk})
	wor.com = New(Options{
		View:         func() *reducer.View { return wor.vie },
		Candidates:   wor.candidates,
		Tickets:      wor,
		Engines:      streamer.New(&http.Client{Transport: wor}),
		Checker:      wor,
		Balancer:     balancer.New(wor.bre, seed),
		Breaker:      wor.bre,
		Budget:       retrier.New(retrier.Options{Burst: 1000, Seed: seed}),
		Quarantine:   quarantiner.New(quarantiner.Settings{}, clk, wor, wor),
		Clock:        clk,
		Logger:       log,
		MaxQueueTime: maxQueueTime,
	})
	return wor
}

func (wor *world) candidates(*reducer.View, string) []balancer.Candidate {
	var out []balancer.Candidate
	for num := range unitCount {
		out = append(out, balancer.Candidate{Unit: "g" + strconv.Itoa(num), Limit: 100, Fresh: true})
	}
	return out
}

func (wor *world) Condemned(fpr string) bool {
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	return wor.condemned[fpr]
}

func (wor *world) Propose(con recorder.Condemn) {
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	wor.condemned[con.Fingerprint] = true
}

// random returns a generator seeded by the simulation's seed and the given parts, so that an attempt draws the same values in every run.
func (wor *world) random(parts ...any) *rand.Rand {
	sum := fnv.New64a()
	_, _ = fmt.Fprint(sum, parts...)
	return rand.New(rand.NewPCG(wor.seed, sum.Sum64()))
}

// Acquire simulates the homes: they refuse, lose their answers, answer late, and admit one suspect request per unit at a time.
func (wor *world) Acquire(ctx context.Context, req admitter.Request) (ticketer.HeldTicket, error) {
	rnd := wor.random("take", req.ID)
	asked := time.Now()
	wait := time.Duration(rnd.IntN(100)) * time.Millisecond
	roll := rnd.IntN(100)
	if roll < 5 {
		wait = req.Within + time.Second
	}
	if !sleep(ctx, wait) || roll < 15 {
		return ticketer.HeldTicket{}, refuser.NotRun("refused by the home", 3*time.Second)
	}
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	if req.Suspect && wor.suspects[req.Unit] > 0 {
		return ticketer.HeldTicket{}, refuser.NotRun("another suspect request is running", time.Second)
	}
	until := asked.Add(ticketValidity)
	if roll < 20 {
		until = asked.Add(wait)
	}
	for wor.tickets[until] != nil {
		until = until.Add(-time.Nanosecond)
	}
	id, _, _ := strings.Cut(req.ID, ".")
	started := strconv.Itoa(wor.engines[req.Unit].starts)
	wor.tickets[until] = &issuedTicket{id: id, suspect: req.Suspect, requestsBefore: len(wor.engineRequests[id]), start: started}
	if req.Suspect {
		wor.suspects[req.Unit]++
	}
	return ticketer.HeldTicket{Unit: req.Unit, Fence: req.Fence, Started: started, DispatchBefore: until}, nil
}

// Release records the release of a ticket and checks that the reported outcome is correct.
func (wor *world) Release(hel ticketer.HeldTicket, out limiter.Outcome) {
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	tkt := wor.tickets[hel.DispatchBefore]
	tkt.released++
	if tkt.suspect {
		wor.suspects[hel.Unit]--
	}
	var erq engineRequest
	if all := wor.engineRequests[tkt.id]; len(all) > tkt.requestsBefore {
		erq = all[len(all)-1]
		Expect(all).To(HaveLen(tkt.requestsBefore+1), "dispatches for one ticket")
		Expect(erq.sentAt.Before(hel.DispatchBefore)).To(BeTrue(), "%s was sent with an expired ticket", tkt.id)
	}
	crashed := strconv.Itoa(wor.engines[hel.Unit].starts) != tkt.start
	Expect(out.Undispatched).To(Equal(!erq.ran && !erq.refused), "undispatched of %s: %+v", tkt.id, erq)
	Expect(out.Refused).To(Equal(erq.refused), "refused of %s", tkt.id)
	Expect(out.Broken && !crashed).To(BeFalse(), "broken of %s", tkt.id)
	Expect(out.Broken && out.MayRun).To(BeFalse(), "may run of %s", tkt.id)
}

// Status returns the current start of an engine after a delay.
func (wor *world) Status(ctx context.Context, vm, _ string) (prober.Status, error) {
	if !sleep(ctx, 20*time.Millisecond) {
		return prober.Status{}, ctx.Err()
	}
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	return prober.Status{Group: vm, Fence: wor.vie.Groups[vm].Fence, Started: strconv.Itoa(wor.engines[vm].starts)}, nil
}

// RoundTrip simulates the engines.
func (wor *world) RoundTrip(req *http.Request) (*http.Response, error) {
	body, _ := io.ReadAll(req.Body)
	id, unit := req.Header.Get("X-Request-Id"), req.Header.Get("X-Group")
	from, _ := strconv.Atoi(req.Header.Get("X-Resume-From"))
	wor.mtx.Lock()
	eng := wor.engines[unit]
	rnd := wor.random("engine", id, len(wor.engineRequests[id]))
	fau := wor.drawFault(rnd)
	wor.engineRequests[id] = append(wor.engineRequests[id], engineRequest{sentAt: time.Now(), ran: fau.status == 0 || fau.status == 500, refused: fau.reason == "cold" || fau.reason == "overloaded"})
	crashed := eng.crashed
	wor.mtx.Unlock()
	if fau.name == "dial" {
		return nil, errors.NotFoundf("engine")
	}
	httptrace.ContextClientTrace(req.Context()).GotConn(httptrace.GotConnInfo{})
	if fau.name == "reset" {
		return nil, errors.Timeoutf("connection")
	}
	if fau.status > 0 {
		text := `{"reason":"` + fau.reason + `"}`
		return &http.Response{StatusCode: fau.status, Body: io.NopCloser(strings.NewReader(text))}, nil
	}
	rea, wri := io.Pipe()
	ans := answerStream{wor: wor, ctx: req.Context(), wri: wri, rnd: rnd, fau: fau, id: id, unit: unit, name: string(body), next: from, crashed: crashed}
	go ans.write()
	return &http.Response{StatusCode: http.StatusOK, Body: rea}, nil
}

// fault is the fault of one attempt; it occurs at the token index at.
type fault struct {
	name   string
	status int
	reason string
	at     int
}

var faults = []fault{
	{name: "dial", status: -1},
	{name: "reset"},
	{name: "fence", status: 409},
	{name: "cold", status: 503, reason: "cold"},
	{name: "overloaded", status: 503, reason: "overloaded"},
	{name: "not ready", status: 503, reason: "not_ready"},
	{name: "error", status: 500},
	{name: "break"},
	{name: "end"},
	{name: "crossed"},
	{name: "repeated"},
	{name: "gap"},
	{name: "garbled"},
	{name: "usage"},
	{name: "stall"},
	{name: "late"},
}

func (wor *world) drawFault(rnd *rand.Rand) fault {
	if len(wor.script) > 0 {
		fau := wor.script[0]
		wor.script = wor.script[1:]
		return fau
	}
	if rnd.IntN(100) < 45 {
		return fault{}
	}
	fau := faults[rnd.IntN(len(faults))]
	fau.at = rnd.IntN(12)
	wor.faults[fau.name]++
	return fau
}

// answerStream writes one streamed answer of an engine.
type answerStream struct {
	wor     *world
	ctx     context.Context
	wri     *io.PipeWriter
	rnd     *rand.Rand
	fau     fault
	id      string
	unit    string
	name    string
	next    int
	crashed chan struct{}
}

func (ans *answerStream) write() {
	if ans.fau.name == "late" && !ans.pause(2500*time.Millisecond) {
		return
	}
	whole := length(ans.name)
	for ; ans.next < whole; ans.next++ {
		if !ans.pause(time.Duration(1+ans.rnd.IntN(60)) * time.Millisecond) {
			return
		}
		if isPoison(ans.name) && ans.next >= 2 {
			ans.wor.crash(ans.unit)
			_ = ans.wri.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		id, name, index := ans.id, ans.name, ans.next
		if ans.next >= ans.fau.at {
			switch ans.fau.name {
			case "break":
				_ = ans.wri.CloseWithError(io.ErrUnexpectedEOF)
				return
			case "end":
				_ = ans.wri.Close()
				return
			case "crossed":
				id, name = "another", "another"
			case "repeated":
				index--
			case "gap":
				index++
			case "garbled":
				id = `"`
			case "usage":
				whole, ans.next = 0, ans.next-1
				continue
			case "stall":
				ans.pause(time.Hour)
				return
			}
		}
		ans.line(id, index, `{"content":"`+token(name, index)+`"}`, `null`, "")
	}
	count := length(ans.name)
	usage := fmt.Sprintf(`,"usage":{"prompt_tokens":1,"completion_tokens":%d,"total_tokens":%d}`, count, count+1)
	ans.line(ans.id, ans.next, `{}`, `"stop"`, usage)
	_, _ = io.WriteString(ans.wri, "data: [DONE]\n\n")
	_ = ans.wri.Close()
}

func (ans *answerStream) line(id string, index int, delta, finish, usage string) {
	_, _ = fmt.Fprintf(ans.wri, `data: {"id":"%s","index":%d,"choices":[{"index":0,"delta":%s,"finish_reason":%s}]%s}`+"\n\n", id, index, delta, finish, usage)
}

// pause waits, and closes the stream if the engine crashes or the request is cancelled.
func (ans *answerStream) pause(wait time.Duration) bool {
	select {
	case <-ans.crashed:
		_ = ans.wri.CloseWithError(io.ErrUnexpectedEOF)
		return false
	case <-ans.ctx.Done():
		_ = ans.wri.CloseWithError(ans.ctx.Err())
		return false
	case <-time.After(wait):
		return true
	}
}

// crash restarts an engine and breaks all its streams.
func (wor *world) crash(unit string) {
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	eng := wor.engines[unit]
	close(eng.crashed)
	eng.crashed = make(chan struct{})
	eng.starts++
}

func (wor *world) crashes() int {
	wor.mtx.Lock()
	defer wor.mtx.Unlock()
	sum := 0
	for _, eng := range wor.engines {
		sum += eng.starts
	}
	return sum
}

func sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

func isPoison(name string) bool { return strings.HasPrefix(name, "poison") }

func length(name string) int { return 4 + len(name)%7*5 }

func token(name string, index int) string { return fmt.Sprintf("%s-%d ", name, index) }
