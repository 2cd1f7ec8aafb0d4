package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/router"
)

const lastEvent = 20

var (
	resumable = router.Route{Kind: router.Stream, Resumable: true, Timeout: 5 * time.Second, Objective: 300 * time.Millisecond, LongestPause: 200 * time.Millisecond, Attempts: 2}
	once      = router.Route{Kind: router.Stream, Timeout: 5 * time.Second, Objective: 300 * time.Millisecond, LongestPause: 200 * time.Millisecond, Attempts: 2}
)

// pieces are the events from one to the last, as they come.
func pieces(first int) string {
	var out strings.Builder
	for num := first; num <= lastEvent; num++ {
		fmt.Fprintf(&out, "id: %d\ndata: piece %d\n\n", num, num)
	}
	return out.String()
}

// hang stays silent with the connection open.
func hang(net.Conn) { time.Sleep(4 * time.Second) }

func closing(net.Conn) {}

func half(con net.Conn) { chunk(con, "id: 8\nda") }

var _ = Describe("Gateway with streams", func() {
	DescribeTable("passes each event on once, over broken units",
		func(rou router.Route, first answering, wantWhole bool, secondRuns int) {
			one, two := newWorker(first), newWorker(events(lastEvent, complete))
			res := newWorld(rou, one, two).call(context.Background())
			if wantWhole {
				Expect(res.err).NotTo(HaveOccurred())
				Expect(res.status).To(Equal(200))
				Expect(res.body).To(Equal(pieces(1)))
			} else {
				Expect(res.err != nil || res.status >= 500).To(BeTrue(), "an answer that ends early must not look complete")
			}
			Expect(two.runs()).To(Equal(secondRuns))
		},
		Entry("whole at once", resumable, events(lastEvent, complete), true, 0),
		Entry("reset in the middle", resumable, events(7, reset), true, 1),
		Entry("closed in the middle", resumable, events(7, closing), true, 1),
		Entry("closed within an event", resumable, events(7, half), true, 1),
		Entry("silent in the middle", resumable, events(7, hang), true, 1),
		Entry("silent before the first event", resumable, silent, true, 1),
		Entry("not run", resumable, full, true, 1),
		Entry("failed before the first event", resumable, whole(500, "bad"), true, 1),
		Entry("unsigned", resumable, unsigned, true, 1),
		Entry("not run, not resumable", once, full, true, 1),
		Entry("reset in the middle, not resumable", once, events(7, reset), false, 0),
		Entry("reset before the first event, not resumable", once, resets, false, 0),
	)

	It("goes on after the event that the caller has", func() {
		one, two := newWorker(events(7, reset)), newWorker(events(lastEvent, complete))
		res := newWorld(resumable, one, two).call(context.Background(), "X-After", "5")
		Expect(res.body).To(Equal(pieces(6)))
	})

	It("skips events that the caller has when a unit repeats them", func() {
		two := newWorker(func(con net.Conn, req *http.Request, body []byte) bool {
			req.Header.Del("X-After")
			return events(lastEvent, complete)(con, req, body)
		})
		res := newWorld(resumable, newWorker(events(7, reset)), two).call(context.Background())
		Expect(res.body).To(Equal(pieces(1)))
	})

	It("resumes at once when the unit is found broken", func() {
		one, two := newWorker(events(7, hang)), newWorker(events(lastEvent, complete))
		wor := newWorld(resumable, one, two)
		began := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			wor.setUnits(dispatcher.Broken, one, two)
		}()
		res := wor.call(context.Background())
		Expect(res.status).To(Equal(200))
		Expect(res.body).To(Equal(pieces(1)))
		Expect(time.Since(began)).To(BeNumerically("<", 700*time.Millisecond))
	})

	It("lets a stream end at a unit that takes no more requests", func() {
		begun := make(chan struct{})
		one := newWorker(func(con net.Conn, req *http.Request, body []byte) bool {
			return events(3, func(con net.Conn) {
				close(begun)
				time.Sleep(150 * time.Millisecond)
				chunk(con, pieces(4))
				complete(con)
			})(con, req, body)
		})
		wor := newWorld(resumable, one)
		go func() {
			<-begun
			wor.dis.SetUnits(nil)
		}()
		Expect(wor.call(context.Background()).body).To(Equal(pieces(1)))
		Expect(one.runs()).To(Equal(1))
	})

	It("passes events on as they come", func() {
		one := newWorker(func(con net.Conn, req *http.Request, body []byte) bool {
			return events(1, func(con net.Conn) {
				time.Sleep(300 * time.Millisecond)
				complete(con)
			})(con, req, body)
		})
		wor := newWorld(resumable, one)
		req, err := http.NewRequest(http.MethodPost, wor.web.URL+"/p/x", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Host = "h.example"
		req.Header.Set("X-Id", "1")
		req.Header.Set("X-Key", "key")
		began := time.Now()
		res, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer res.Body.Close()
		_, err = io.ReadFull(res.Body, make([]byte, 10))
		Expect(err).NotTo(HaveOccurred())
		Expect(time.Since(began)).To(BeNumerically("<", 200*time.Millisecond))
	})

	It("gives the final answer at the route's timeout", func() {
		rou := once
		rou.Timeout = 400 * time.Millisecond
		began := time.Now()
		res := newWorld(rou, newWorker(silent)).call(context.Background())
		Expect(res.status).To(Equal(504))
		Expect(time.Since(began)).To(BeNumerically("<", 800*time.Millisecond))
	})
})
