package gateway_test

import (
	"context"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/router"
)

var _ = Describe("A stopping entry", func() {
	engine := &router.Engine{Slots: 17, Step: 8 * time.Millisecond, StepPerRequest: 100 * time.Microsecond, PromptTokensPerSecond: 45_000, Models: []router.Model{{Name: "m", Size: 1, TimeFactor: 1}}}
	route := router.Route{Kind: router.Stream, Timeout: 8 * time.Second, Objective: 400 * time.Millisecond, MaxEventGap: 300 * time.Millisecond, Attempts: 2}

	// Guards against streams that are cut because their answer is longer than expected.
	for _, cas := range []struct {
		name   string
		tokens string
		within string
		left   time.Duration
		want   int
	}{
		{"refuses a stream whose longest answer it cannot finish", "1400,600,100", "8000", 4 * time.Second, http.StatusServiceUnavailable},
		{"serves a stream whose longest answer it can finish", "1400,120,100", "8000", 4 * time.Second, http.StatusOK},
		{"serves a stream of any length while there is time", "1400,600,100", "8000", 12 * time.Second, http.StatusOK},
		{"serves a stream whose deadline comes before its end", "1400,600,100", "2500", 4 * time.Second, http.StatusOK},
	} {
		It(cas.name, func() {
			one := newWorker(events(lastEvent, complete))
			wor := newWorld(route, one)
			tab := *wor.tab.Load()
			tab.Services = map[string]router.Service{"s": {Name: "s", Engine: engine}}
			wor.tab.Store(&tab)
			wor.pool = "s/m"
			wor.setUnits(dispatcher.Serving, one)
			ends := time.Now().Add(cas.left)
			wor.ends.Store(&ends)
			res := wor.call(context.Background(), "X-Model", "m", "X-Tokens", cas.tokens, "X-Within", cas.within)
			Expect(res.status).To(Equal(cas.want))
			Expect(one.runs() > 0).To(Equal(cas.want == http.StatusOK))
		})
	}

	// Guards against calls that are cut because their service takes longer than others.
	for _, cas := range []struct {
		work time.Duration
		want int
	}{{20 * time.Millisecond, http.StatusOK}, {700 * time.Millisecond, http.StatusServiceUnavailable}} {
		It("takes on a call only if the slowest ones of its service have time: "+cas.work.String(), func() {
			wor := newWorld(router.Route{Kind: router.Safe, Timeout: 8 * time.Second, Objective: 2 * time.Second, Attempts: 1}, newWorker(func(con net.Conn, req *http.Request, body []byte) bool {
				time.Sleep(cas.work)
				return whole(200, "text")(con, req, body)
			}))
			Expect(wor.call(context.Background()).status).To(Equal(http.StatusOK))
			ends := time.Now().Add(2 * time.Second)
			wor.ends.Store(&ends)
			Expect(wor.call(context.Background()).status).To(Equal(cas.want))
		})
	}
})
