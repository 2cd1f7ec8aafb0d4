package gateserver_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/gateserver"
	"github.com/lovagelever/lovagelever/platform/translator"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
	"github.com/lovagelever/lovagelever/tailer"
)

// scripted is an entry before one plain backend server whose responses the test sets.
type scripted struct {
	sto     *store
	address string
	entries string
	// respond sets the status and headers of a response.
	respond atomic.Pointer[func(wtr http.ResponseWriter)]
	got     atomic.Int64
	calls   atomic.Int64
	worker  *httptest.Server
}

func newScripted(change func(pla *gateserver.Platform)) *scripted {
	scr := &scripted{sto: &store{recs: map[string][]tailer.Record{}}}
	scr.answer(http.StatusOK)
	scr.worker = httptest.NewServer(http.HandlerFunc(func(wtr http.ResponseWriter, req *http.Request) {
		scr.got.Add(1)
		wtr.Header().Set("Lovagelever-Request-Id", req.Header.Get("Lovagelever-Request-Id"))
		wtr.Header().Set("Lovagelever-Stamp", "s")
		(*scr.respond.Load())(wtr)
	}))
	DeferCleanup(scr.worker.Close)
	scr.sto.put(topics.Operator, "config", []byte("{}"))
	scr.list(1)
	set := settings("edge")
	scr.address, scr.entries = set.Listen.Callers, set.Listen.Entries
	startWith(set, scr.sto, func(pla *gateserver.Platform) {
		pla.HeaderCodec = translator.Translator{}
		pla.DecodeOperatorRecord = func(tailer.Record) (gateserver.OperatorRecord, error) {
			return gateserver.OperatorRecord{Config: &router.Config{
				Version:  1,
				Routes:   []router.Route{{Name: "r", Host: "h.example", Prefix: "/", Kind: router.Unsafe, Public: true, Timeout: 3 * time.Second, Objective: time.Second, Attempts: 1, Targets: []router.Target{{Service: "s", Weight: 1}}}},
				Services: map[string]router.Service{"s": {Name: "s"}},
			}}, nil
		}
		pla.DecodeServer = func(rec tailer.Record, _ time.Time) (registrar.Server, error) {
			ser := registrar.Server{ID: rec.Key, Service: "s", Zone: "z", Slots: 50, Address: strings.TrimPrefix(scr.worker.URL, "http://")}
			return ser, json.Unmarshal(rec.Value, &ser.Started)
		}
		if change != nil {
			change(pla)
		}
	})
	Eventually(ready(set), "3s").Should(BeTrue())
	Eventually(func() int { return scr.call().StatusCode }, "2s").Should(Equal(http.StatusOK))
	return scr
}

// list writes a record of the backend server that says it is ready.
func (scr *scripted) list(started int64) {
	data, err := json.Marshal(started)
	Expect(err).NotTo(HaveOccurred())
	scr.sto.put(topics.Servers, "w", data)
}

// answer sets the status and headers of the backend server's responses.
func (scr *scripted) answer(status int, headers ...string) {
	respond := func(wtr http.ResponseWriter) {
		for num := 0; num+1 < len(headers); num += 2 {
			wtr.Header().Set(headers[num], headers[num+1])
		}
		wtr.WriteHeader(status)
		_, _ = io.WriteString(wtr, "body")
	}
	scr.respond.Store(&respond)
}

func (scr *scripted) call() *http.Response {
	req, err := http.NewRequest(http.MethodGet, "http://"+scr.address+"/x", nil)
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("Lovagelever-Request-Id", strconv.FormatInt(scr.calls.Add(1), 10))
	res, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, res.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(res.Body.Close()).To(Succeed())
	return res
}

var _ = Describe("Server before a backend server that says that it leaves", func() {
	for _, status := range []int{200, 500} {
		// Guards against DRAIN: the store's record says ready for as long as it can't be written or read.
		It("sends it nothing more, whatever its records say, until it has started again: "+http.StatusText(status), func() {
			scr := newScripted(nil)
			scr.answer(status, "Server-Leaving", "1")
			Expect(scr.call().Header.Get("Server-Leaving")).To(Equal("1"))
			scr.answer(200)
			Eventually(func() int { return scr.call().StatusCode }, "300ms").Should(Equal(http.StatusServiceUnavailable))
			before := scr.got.Load()
			scr.list(1)
			Consistently(func() int { return scr.call().StatusCode }, "700ms", "20ms").Should(Equal(http.StatusServiceUnavailable))
			Expect(scr.got.Load()).To(Equal(before))
			scr.list(2)
			Eventually(func() int { return scr.call().StatusCode }, "3s").Should(Equal(http.StatusOK))
		})
	}

	It("learns it also from what the platform passes on of orders and reports", func() {
		var receive func(ins registrar.Instance)
		scr := newScripted(func(pla *gateserver.Platform) {
			pla.OnLeaving = func(rec func(ins registrar.Instance)) { receive = rec }
		})
		receive(registrar.Instance{ID: "w", Started: 1})
		Eventually(func() int { return scr.call().StatusCode }, "300ms").Should(Equal(http.StatusServiceUnavailable))
	})
})
