package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/router"
)

// after waits before it answers.
func after(wait time.Duration, answer answerFunc) answerFunc {
	return func(con net.Conn, req *http.Request, body []byte) bool {
		time.Sleep(wait)
		return answer(con, req, body)
	}
}

// headOnly sends the head of a stream, waits, and resets the connection.
func headOnly(wait time.Duration) answerFunc {
	return func(con net.Conn, req *http.Request, _ []byte) bool {
		head(con, req, http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
		time.Sleep(wait)
		reset(con)
		return false
	}
}

// setReadiness sets the readiness of each worker's unit; coldUntil applies to the second.
func (wor *world) setReadiness(coldUntil time.Time, readiness []dispatcher.Readiness, workers ...*worker) {
	var units []dispatcher.Unit
	for num, one := range workers {
		units = append(units, dispatcher.Unit{
			ID: fmt.Sprint("u", num), Pool: wor.pool, ServerID: fmt.Sprint("i", num), Address: one.lis.Addr().String(),
			Zone: fmt.Sprint("z", num), Slots: 4, Readiness: readiness[num],
		})
	}
	units[1].ColdUntil, units[1].ColdPerSecond = coldUntil, 2
	wor.dis.SetUnits(units)
}

var _ = Describe("Hedge of a silent stream", func() {
	slowStart := after(500*time.Millisecond, events(lastEvent, complete))

	// Guards against streams that are ended although one of their two units answers.
	for _, cas := range []struct {
		name          string
		first, second answerFunc
		// changes are states of the first unit, 150 ms apart, from a time on.
		from    time.Duration
		changes []dispatcher.Readiness
	}{
		{"when the first unit is reset before the second has begun", events(7, func(con net.Conn) { time.Sleep(1500 * time.Millisecond); reset(con) }), slowStart, 0, nil},
		{"when the first unit breaks before the second has begun", events(7, staySilent), slowStart, 1500 * time.Millisecond, []dispatcher.Readiness{dispatcher.Broken}},
		{"when the first unit is suspected without an event, and then breaks", silent, slowStart, 300 * time.Millisecond, []dispatcher.Readiness{dispatcher.Suspected, dispatcher.Broken}},
		{"when the first unit fails before the second has begun", after(1500*time.Millisecond, whole(500, "bad")), slowStart, 0, nil},
		{"when the second unit stalls after its head", pausing(7, 1700*time.Millisecond), headOnly(4 * time.Second), 0, nil},
		{"when the second unit is reset after its head", pausing(7, 1700*time.Millisecond), headOnly(0), 0, nil},
	} {
		It("keeps the stream whole "+cas.name, func() {
			one, two := newWorker(cas.first), newWorker(cas.second)
			wor := newWorld(resumable, one, two)
			go func() {
				time.Sleep(cas.from)
				for _, rea := range cas.changes {
					wor.setUnits(rea, one, two)
					time.Sleep(150 * time.Millisecond)
				}
			}()
			res := wor.call(context.Background())
			Expect(res.err).NotTo(HaveOccurred())
			Expect(res.status).To(Equal(200))
			Expect(res.body).To(Equal(eventsFrom(1)))
			Eventually(wor.dis.Running).Should(BeEmpty())
		})
	}

	// Guards against requests that wait until their deadline since the connections to both units have gone silent.
	for _, rou := range []router.Route{resumable, {Kind: router.Safe, Timeout: 5 * time.Second, Objective: 200 * time.Millisecond, Attempts: 2}} {
		answer, want := events(lastEvent, complete), eventsFrom(1)
		if rou.Kind == router.Safe {
			answer, want = whole(200, "text"), "text"
		}
		silentIfKept := func() answerFunc {
			var used sync.Map
			return func(con net.Conn, req *http.Request, body []byte) bool {
				if _, kept := used.LoadOrStore(con, true); kept {
					return silent(con, req, body)
				}
				_ = answer(con, req, body)
				return true
			}
		}

		It("is sent to the only unit once more: "+string(rou.Kind), func() {
			one := newWorker(silentIfKept())
			wor := newWorld(rou, one)
			Expect(wor.call(context.Background()).status).To(Equal(200))
			began := time.Now()
			res := wor.call(context.Background())
			Expect(res.status).To(Equal(200))
			Expect(res.body).To(Equal(want))
			Expect(one.runs()).To(Equal(3))
			Expect(time.Since(began)).To(BeNumerically("<", 2800*time.Millisecond))
		})

		It("is sent on a new connection: "+string(rou.Kind), func() {
			one, two := newWorker(silent), newWorker(silentIfKept())
			wor := newWorld(rou, one, two)
			wor.setReadiness(time.Time{}, []dispatcher.Readiness{dispatcher.Broken, dispatcher.Serving}, one, two)
			Expect(wor.call(context.Background()).status).To(Equal(200))
			wor.setReadiness(time.Time{}, []dispatcher.Readiness{dispatcher.Serving, dispatcher.Serving}, one, two)
			began := time.Now()
			res := wor.call(context.Background())
			Expect(res.status).To(Equal(200))
			Expect(res.body).To(Equal(want))
			Expect(one.runs()).To(Equal(1))
			Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
		})
	}

	It("ends at once when the first unit is reset and the second one breaks", func() {
		one, two := newWorker(events(7, func(con net.Conn) { time.Sleep(1500 * time.Millisecond); reset(con) })), newWorker(silent)
		wor := newWorld(resumable, one, two)
		go func() {
			time.Sleep(1700 * time.Millisecond)
			wor.setReadiness(time.Time{}, []dispatcher.Readiness{dispatcher.Serving, dispatcher.Broken}, one, two)
		}()
		began := time.Now()
		Expect(wor.call(context.Background()).err).To(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", 2500*time.Millisecond))
	})

	It("frees the slot of the second unit when the first one answers finally after all", func() {
		wor := newWorld(resumable, newWorker(after(1250*time.Millisecond, whole(404, "no"))), newWorker(events(lastEvent, complete)))
		req, err := http.NewRequest(http.MethodPost, "http://h.example/p/x", nil)
		Expect(err).NotTo(HaveOccurred())
		req.RequestURI, req.Host = "/p/x", "h.example"
		req.Header.Set("X-Id", "one")
		req.Header.Set("X-Key", "key")
		wtr := &slowWriter{head: http.Header{}}
		wor.web.Config.Handler.ServeHTTP(wtr, req)
		Expect(wtr.status).To(Equal(404))
		Eventually(wor.dis.Running).Should(BeEmpty())
	})

	It("is requested in time on routes with long pauses", func() {
		rou := resumable
		rou.Timeout, rou.MaxEventGap = 12*time.Second, 1100*time.Millisecond
		began := time.Now()
		res := newWorld(rou, newWorker(events(7, func(net.Conn) { time.Sleep(12 * time.Second) })), newWorker(events(lastEvent, complete))).call(context.Background())
		Expect(res.body).To(Equal(eventsFrom(1)))
		Expect(time.Since(began)).To(BeNumerically("<", 8*rou.MaxEventGap-500*time.Millisecond))
	})

	It("takes no starts of a cold unit without a retry in the budget", func() {
		one, two := newWorker(events(7, func(net.Conn) { time.Sleep(6 * time.Second) })), newWorker(events(lastEvent, complete))
		wor := newWorld(resumable, one, two)
		wor.setReadiness(time.Time{}, []dispatcher.Readiness{dispatcher.Serving, dispatcher.Stopping}, one, two)
		var calls sync.WaitGroup
		for num := range 4 {
			calls.Go(func() { wor.call(context.Background(), "X-Id", fmt.Sprint("silent", num)) })
		}
		Eventually(one.runs).Should(Equal(4))
		wor.bud.left.Store(0)
		wor.setReadiness(time.Now().Add(time.Minute), []dispatcher.Readiness{dispatcher.Serving, dispatcher.Serving}, one, two)
		time.Sleep(1500 * time.Millisecond)
		for num := range 4 {
			Expect(wor.call(context.Background(), "X-Id", fmt.Sprint("new", num)).status).To(Equal(200))
			time.Sleep(500 * time.Millisecond)
		}
		calls.Wait()
	})
})

var _ = Describe("A stream that is cut", func() {
	It("waits for units that are suspected for a moment", func() {
		one := newWorker(events(7, func(con net.Conn) { time.Sleep(300 * time.Millisecond); reset(con) }))
		two := newWorker(events(lastEvent, complete))
		wor := newWorld(resumable, one, two)
		go func() {
			time.Sleep(100 * time.Millisecond)
			wor.setReadiness(time.Time{}, []dispatcher.Readiness{dispatcher.Serving, dispatcher.Suspected}, one, two)
			time.Sleep(500 * time.Millisecond)
			wor.setReadiness(time.Time{}, []dispatcher.Readiness{dispatcher.Serving, dispatcher.Serving}, one, two)
		}()
		Expect(wor.call(context.Background()).body).To(Equal(eventsFrom(1)))
	})
})

// slowWriter is a caller that takes long to read the head of a response.
type slowWriter struct {
	head   http.Header
	status int
}

func (wtr *slowWriter) Header() http.Header { return wtr.head }

func (wtr *slowWriter) WriteHeader(status int) {
	wtr.status = status
	time.Sleep(600 * time.Millisecond)
}

func (wtr *slowWriter) Write(buf []byte) (int, error) { return len(buf), nil }
