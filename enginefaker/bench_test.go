package enginefaker

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/cataloger"
)

// bench simulates the engines of two fabric domains on a fake clock: d1 with a1 and a2, and d2 with b1; a1 and b1 check fences.
type bench struct {
	clk *clockwork.FakeClock
	one *Simulator
	two *Simulator
}

// reply is what a caller has received at the end of a stream.
type reply struct {
	status int
	body   string
	chunks []chunk
	done   bool
	broken bool
}

func newBench(opt Options) *bench {
	ben := &bench{clk: clockwork.NewFakeClock()}
	opt.Clock = ben.clk
	opt.Inventory = cataloger.Inventory{VMs: map[string]cataloger.VM{
		"a1": {WorkerKind: cataloger.WorkerEngine, Domain: "d1", Address: "127.0.0.1:0", ChecksFence: true},
		"a2": {WorkerKind: cataloger.WorkerEngine, Domain: "d1", Address: "127.0.0.1:0"},
		"b1": {WorkerKind: cataloger.WorkerEngine, Domain: "d2", Address: "127.0.0.1:0", ChecksFence: true},
	}}
	opt.Domain = "d1"
	ben.one = New(opt)
	opt.Domain = "d2"
	ben.two = New(opt)
	for _, sim := range []*Simulator{ben.one, ben.two} {
		Expect(sim.Start()).To(Succeed())
		DeferCleanup(sim.Close)
	}
	return ben
}

// advanceClock advances the clock whenever something waits on it, until the end of the spec.
func (ben *bench) advanceClock() {
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go func() {
		for ben.clk.BlockUntilContext(ctx, 1) == nil {
			ben.clk.Advance(time.Millisecond)
		}
	}()
}

func (ben *bench) engine(vm string) *engine {
	if eng := ben.one.engines[vm]; eng != nil {
		return eng
	}
	return ben.two.engines[vm]
}

func (ben *bench) url(vm string) string {
	return "http://" + ben.engine(vm).sim.Address(vm)
}

func (ben *bench) count(vm string) vmCounts {
	return ben.engine(vm).sim.counts().(counts).VMs[vm]
}

func (ben *bench) state(vm string) string {
	eng := ben.engine(vm)
	eng.sim.mut.Lock()
	defer eng.sim.mut.Unlock()
	return eng.state
}

func (ben *bench) makeWarm(vm string) {
	eng := ben.engine(vm)
	eng.sim.mut.Lock()
	defer eng.sim.mut.Unlock()
	eng.busyTime = time.Hour
}

func (ben *bench) order(vm string, ord order) int {
	body, err := json.Marshal(ord)
	Expect(err).NotTo(HaveOccurred())
	rsp, err := http.Post(ben.url(vm)+"/v1/order", "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	defer rsp.Body.Close()
	return rsp.StatusCode
}

// load sends load orders to the VMs and waits until each is ready.
func (ben *bench) load(group string, fence int64, vms ...string) {
	var mems []member
	for _, vm := range vms {
		mems = append(mems, member{VM: vm, Address: ben.engine(vm).sim.Address(vm)})
	}
	for rank, vm := range vms {
		ord := order{Order: orderLoad, Group: group, Fence: fence, Model: "m", Version: "1", Members: mems, Rank: rank}
		Expect(ben.order(vm, ord)).To(Equal(200))
		Eventually(func() string { return ben.state(vm) }).Should(Equal(stateReady))
	}
}

func (ben *bench) faults(body string) {
	rec := httptest.NewRecorder()
	ben.one.ControlHandler().ServeHTTP(rec, httptest.NewRequest(http.MethodPost, "/v1/faults", strings.NewReader(body)))
	Expect(rec.Code).To(Equal(200), rec.Body.String())
}

func messages(text string) []ChatMessage {
	return []ChatMessage{{Role: "user", Content: text}}
}

// chat sends a request to a VM for the group g with fence 5.
func (ben *bench) chat(vm, id, text string, resume int) reply {
	return ben.chatWithin(0, vm, id, text, resume)
}

// chatWithin sends a request with the header X-Cold-Limit, under which a cold engine runs at most limit requests at once.
func (ben *bench) chatWithin(limit int, vm, id, text string, resume int) reply {
	body, err := json.Marshal(chatRequest{Model: "m", Messages: messages(text), Stream: true})
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPost, ben.url(vm)+"/v1/chat/completions", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Group", "g")
	req.Header.Set("X-Fence", "5")
	req.Header.Set("X-Resume-From", strconv.Itoa(resume))
	req.Header.Set("X-Cold-Limit", strconv.Itoa(limit))
	rsp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return reply{broken: true}
	}
	defer rsp.Body.Close()
	return parse(rsp)
}

// chatAsync sends a request to a1 in the background.
func (ben *bench) chatAsync(id, text string) chan reply {
	out := make(chan reply, 1)
	go func() { out <- ben.chat("a1", id, text, 0) }()
	return out
}

func parse(rsp *http.Response) reply {
	rep := reply{status: rsp.StatusCode}
	if rsp.StatusCode != http.StatusOK {
		data, err := io.ReadAll(rsp.Body)
		rep.body, rep.broken = strings.TrimSpace(string(data)), err != nil
		return rep
	}
	scn := bufio.NewScanner(rsp.Body)
	for scn.Scan() {
		data, found := strings.CutPrefix(scn.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			rep.done = true
			continue
		}
		var chk chunk
		if json.Unmarshal([]byte(data), &chk) == nil {
			rep.chunks = append(rep.chunks, chk)
		}
	}
	rep.broken = scn.Err() != nil
	return rep
}

func (rep reply) text() string {
	text := ""
	for _, chk := range rep.chunks {
		text += chk.Choices[0].Delta.Content
	}
	return text
}

func answerText(text string, from int) string {
	return strings.Join(AnswerTokens(messages(text), 0)[from:], "")
}
