package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/lovagelever/lovagelever/acceptor"
	"github.com/lovagelever/lovagelever/breaker"
	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/gateway"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
	"github.com/lovagelever/lovagelever/sender"
)

// codecStub is a minimal mapping to headers for the tests.
type codecStub struct{}

func (codecStub) ParseCall(req *http.Request) gateway.Call {
	ms, _ := strconv.Atoi(req.Header.Get("X-Within"))
	parts := strings.Split(req.Header.Get("X-Parts"), ",")
	parts = parts[:len(parts)-1]
	tokens := make([]int, 3)
	for num, text := range strings.SplitN(req.Header.Get("X-Tokens"), ",", len(tokens)) {
		tokens[num], _ = strconv.Atoi(text)
	}
	return gateway.Call{
		PromptTokens: tokens[0], AnswerTokens: tokens[1], LengthHint: tokens[2],
		ID: req.Header.Get("X-Id"), Key: req.Header.Get("X-Key"), Timeout: time.Duration(ms) * time.Millisecond,
		Model: req.Header.Get("X-Model"), LastEventID: req.Header.Get("X-After"), PromptParts: parts,
	}
}

func (codecStub) RequestHeader(in http.Header, cal gateway.Call, hop gateway.Hop) http.Header {
	out := in.Clone()
	gateway.StripConnection(out)
	out.Del("X-Key")
	out.Set("X-Server", hop.ServerID)
	out.Set("X-Within", strconv.FormatInt(hop.Timeout.Milliseconds(), 10))
	if hop.LastEventID != "" {
		out.Set("X-After", hop.LastEventID)
	}
	return out
}

func (codecStub) EntryHeader(in http.Header, _ gateway.Call, hop gateway.Hop) http.Header {
	out := in.Clone()
	gateway.StripConnection(out)
	out.Set("X-Within", strconv.FormatInt(hop.Timeout.Milliseconds(), 10))
	if hop.LastEventID != "" {
		out.Set("X-After", hop.LastEventID)
	}
	return out
}

func (codecStub) ParseResponse(cal gateway.Call, res *http.Response) gateway.ResponseInfo {
	pause, _ := strconv.Atoi(res.Header.Get("X-Pause"))
	return gateway.ResponseInfo{
		PauseFor: time.Duration(pause) * time.Millisecond,
		NotRun:   res.Header.Get("X-Not-Run") != "", Verified: res.Header.Get("X-Signed") != "" && res.Header.Get("X-Id") == cal.ID,
		Misdirected: res.StatusCode == http.StatusMisdirectedRequest, Leaving: res.Header.Get("X-Leaving") != "", ServerID: res.Header.Get("X-Server-Id"),
	}
}

// worker is a backend server with a scripted response to each request.
type worker struct {
	lis net.Listener
	mux sync.Mutex
	ran []string
	// answer responds to one request and reports whether the connection stays open.
	answer func(con net.Conn, req *http.Request, body []byte) bool
}

func newWorker(answer func(con net.Conn, req *http.Request, body []byte) bool) *worker {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	wor := &worker{lis: lis, answer: answer}
	// The test may already have closed the listener.
	DeferCleanup(func() { _ = lis.Close() })
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go wor.serve(con)
		}
	}()
	return wor
}

func (wor *worker) serve(con net.Conn) {
	defer con.Close()
	buf := bufio.NewReader(con)
	for {
		req, err := http.ReadRequest(buf)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		wor.mux.Lock()
		wor.ran = append(wor.ran, req.Header.Get("X-Id"))
		wor.mux.Unlock()
		if !wor.answer(con, req, body) {
			return
		}
	}
}

func (wor *worker) runs() int {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	return len(wor.ran)
}

// head writes the header of a signed response.
func head(con net.Conn, req *http.Request, status int, more string) {
	_, _ = fmt.Fprintf(con, "HTTP/1.1 %d Status\r\nX-Signed: s\r\nX-Id: %s\r\n%s\r\n", status, req.Header.Get("X-Id"), more)
}

func whole(status int, text string) func(net.Conn, *http.Request, []byte) bool {
	return func(con net.Conn, req *http.Request, _ []byte) bool {
		head(con, req, status, fmt.Sprintf("Content-Length: %d\r\n", len(text)))
		_, _ = io.WriteString(con, text)
		return true
	}
}

// chunk writes one chunk of a response in chunked encoding.
func chunk(con net.Conn, text string) {
	_, _ = fmt.Fprintf(con, "%x\r\n%s\r\n", len(text), text)
}

// events streams the events after the one in X-After up to the last one, and then calls end.
func events(last int, end func(con net.Conn)) func(net.Conn, *http.Request, []byte) bool {
	return func(con net.Conn, req *http.Request, _ []byte) bool {
		head(con, req, http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
		after, _ := strconv.Atoi(req.Header.Get("X-After"))
		for num := after + 1; num <= last; num++ {
			chunk(con, fmt.Sprintf("id: %d\ndata: piece %d\n\n", num, num))
		}
		end(con)
		return false
	}
}

func complete(con net.Conn) { _, _ = io.WriteString(con, "0\r\n\r\n") }

func reset(con net.Conn) {
	_ = con.(*net.TCPConn).SetLinger(0)
	_ = con.Close()
}

// detectorStub counts the checks that were requested.
type detectorStub struct {
	suspects atomic.Int64
}

func (det *detectorStub) CheckUnit(string)      { det.suspects.Add(1) }
func (det *detectorStub) RecordActivity(string) {}

// budgetStub allows a fixed number of retries.
type budgetStub struct{ left atomic.Int64 }

func (bud *budgetStub) RecordRequest(string) {}
func (bud *budgetStub) Allow(string) bool    { return bud.left.Add(-1) >= 0 }
func (bud *budgetStub) Return(string)        { bud.left.Add(1) }

// meterStub counts requests by outcome and keeps the parts of the time to first events.
type meterStub struct {
	mux         sync.Mutex
	seen        map[string]int
	firstEvents []firstEvent
}

type firstEvent struct {
	queued time.Duration
	unit   time.Duration
}

func (mtr *meterStub) RecordRequest(_ router.Kind, outcome string, _ time.Duration) {
	mtr.mux.Lock()
	defer mtr.mux.Unlock()
	mtr.seen[outcome]++
}

func (mtr *meterStub) RecordForwarded() {}
func (mtr *meterStub) RecordFromEntry() {}

func (mtr *meterStub) RecordFirstEvent(_ string, queued, unit time.Duration) {
	mtr.mux.Lock()
	defer mtr.mux.Unlock()
	mtr.firstEvents = append(mtr.firstEvents, firstEvent{queued: queued, unit: unit})
}

// slowDialer opens connections after a delay.
type slowDialer struct {
	net.Dialer
	delay atomic.Int64
}

func (dia *slowDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case <-time.After(time.Duration(dia.delay.Load())):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return dia.Dialer.DialContext(ctx, network, address)
}

// world is a gateway with a listener for callers and workers as backend servers.
type world struct {
	gat  *gateway.Gateway
	dis  *dispatcher.Dispatcher
	bud  *budgetStub
	det  *detectorStub
	mtr  *meterStub
	tab  atomic.Pointer[router.Table]
	stop atomic.Pointer[gateway.Stop]
	// started is closed when the configuration and units are known.
	started  chan struct{}
	isolated atomic.Bool
	web      *httptest.Server
	pool     string
	log      *logtest.Hook
	links    *linksStub
	peers    *peersStub
	// dialer opens the connections to the backend servers.
	dialer *slowDialer
	// forwarded listens for the requests of other entries.
	forwarded *httptest.Server
	// leaving receives the backend servers that say that they leave.
	leaving chan registrar.Instance
}

func newWorld(rou router.Route, workers ...*worker) *world {
	return newWorldWith(rou, func(*gateway.Options) {}, workers...)
}

// newWorldWith changes the options of the gateway.
func newWorldWith(rou router.Route, change func(opt *gateway.Options), workers ...*worker) *world {
	wor := &world{bud: &budgetStub{}, det: &detectorStub{}, mtr: &meterStub{seen: map[string]int{}}, pool: "s", leaving: make(chan registrar.Instance, 100), started: make(chan struct{}), links: &linksStub{}, peers: &peersStub{}, dialer: &slowDialer{}}
	wor.bud.left.Store(10)
	clk := clockwork.NewRealClock()
	wor.dis = dispatcher.New(dispatcher.Options{Zone: "z0", Clock: clk, Breaker: breaker.New(breaker.Options{Clock: clk})})
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	wor.log = logtest.NewLocal(log)
	rou.Name, rou.Host, rou.Prefix, rou.Targets = "r", "h.example", "/p/", []router.Target{{Service: "s", Weight: 1}}
	wor.table(router.Config{Routes: []router.Route{rou}, Workspaces: []router.Workspace{{Name: "w", Keys: []string{"key"}}}})
	wor.setUnits(dispatcher.Serving, workers...)
	opt := gateway.Options{
		Table: wor.tab.Load, Dispatcher: wor.dis, Sender: sender.New(wor.dialer, clk, time.Second), PeerSender: sender.New(&net.Dialer{}, clk, time.Second), Links: wor.links, Peers: wor.peers, Budget: wor.bud, Detector: wor.det, Quarantine: newInvestigator(clk, log),
		HeaderCodec: codecStub{}, Meter: wor.mtr, OnLeaving: func(ins registrar.Instance) { wor.leaving <- ins },
		OnRateLimit: func(registrar.Instance, bool, float64, time.Time) {}, OnPause: func(ins registrar.Instance, dur time.Duration) { wor.dis.Pause(ins, dur) }, Clock: clk, Logger: log.WithField("test", true), Started: wor.started, Isolated: wor.isolated.Load,
		Stopping: func() (gateway.Stop, bool) {
			if sto := wor.stop.Load(); sto != nil {
				return *sto, true
			}
			return gateway.Stop{}, false
		},
	}
	change(&opt)
	gat := gateway.New(opt)
	wor.gat = gat
	wor.web, wor.forwarded = httptest.NewUnstartedServer(gat), httptest.NewServer(gat.Forwarded())
	wor.web.Config.ConnContext = gateway.ConnContext
	// Connections are wrapped, as those of an entry.
	acc := acceptor.New(acceptor.Options{Memory: 64 << 20, DescriptorShare: 0.5, Clock: clockwork.NewRealClock(), Logger: logrus.NewEntry(logrus.New())})
	acc.Watch(wor.web.Config)
	wor.web.Listener = acc.ListenRequests(wor.web.Listener, func() acceptor.Limits {
		return acceptor.Limits{HeaderBytes: 64 << 10, HeaderTimeout: 5 * time.Second}
	})
	wor.web.Start()
	DeferCleanup(wor.web.Close)
	DeferCleanup(wor.forwarded.Close)
	return wor
}

func (wor *world) table(cfg router.Config) {
	cfg.Services = map[string]router.Service{"s": {Name: "s"}}
	tab, err := router.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	wor.tab.Store(tab)
}

// setUnits makes each worker a unit; the first has the given readiness and is preferred, since it is in the entry's availability zone.
func (wor *world) setUnits(first dispatcher.Readiness, workers ...*worker) {
	var units []dispatcher.Unit
	for num, one := range workers {
		units = append(units, dispatcher.Unit{
			ID: fmt.Sprint("u", num), Pool: wor.pool, ServerID: fmt.Sprint("i", num), Started: 7, Address: one.lis.Addr().String(),
			Zone: fmt.Sprint("z", num), Slots: 4,
		})
	}
	if len(units) > 0 {
		units[0].Readiness = first
	}
	wor.dis.SetUnits(units)
}

// endIn has the entry stop and end after a time, and callers learn of it after another.
func (wor *world) endIn(left, redirected time.Duration) {
	now := time.Now()
	wor.stop.Store(&gateway.Stop{Ends: now.Add(left), RedirectedAt: now.Add(redirected)})
}

// result is the response that a caller receives.
type result struct {
	status int
	head   http.Header
	body   string
	err    error
}

func (wor *world) call(ctx context.Context, heads ...string) result {
	body := "body"
	if num := slices.Index(heads, "X-Parts"); num >= 0 {
		body += heads[num+1]
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, wor.web.URL+"/p/x?q=1", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("X-Id", "one")
	req.Header.Set("X-Key", "key")
	for num := 0; num+1 < len(heads); num += 2 {
		req.Header.Set(heads[num], heads[num+1])
	}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return result{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return result{status: res.StatusCode, head: res.Header, body: string(data), err: err}
}
