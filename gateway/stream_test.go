package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/router"
)

const lastEvent = 20

var (
	resumable    = router.Route{Kind: router.Stream, Resumable: true, Timeout: 5 * time.Second, Objective: 300 * time.Millisecond, MaxEventGap: 200 * time.Millisecond, Attempts: 2}
	notResumable = router.Route{Kind: router.Stream, Timeout: 5 * time.Second, Objective: 300 * time.Millisecond, MaxEventGap: 200 * time.Millisecond, Attempts: 2}
)

// eventsFrom returns the bytes of the events from the first to lastEvent.
func eventsFrom(first int) string {
	var out strings.Builder
	for num := first; num <= lastEvent; num++ {
		fmt.Fprintf(&out, "id: %d\ndata: piece %d\n\n", num, num)
	}
	return out.String()
}

// staySilent sends nothing and keeps the connection open.
func staySilent(net.Conn) { time.Sleep(4 * time.Second) }

func closeConn(net.Conn) {}

func cutInEvent(con net.Conn) { chunk(con, "id: 8\nda") }

var _ = Describe("Gateway with streams", func() {
	DescribeTable("relays each event exactly once when a unit fails",
		func(rou router.Route, first answerFunc, wantWhole bool, secondRuns int) {
			one, two := newWorker(first), newWorker(events(lastEvent, complete))
			res := newWorld(rou, one, two).call(context.Background())
			if wantWhole {
				Expect(res.err).NotTo(HaveOccurred())
				Expect(res.status).To(Equal(200))
				Expect(res.body).To(Equal(eventsFrom(1)))
			} else {
				Expect(res.err != nil || res.status >= 500).To(BeTrue(), "an incomplete response must not look complete")
			}
			Expect(two.runs()).To(Equal(secondRuns))
		},
		Entry("complete on the first unit", resumable, events(lastEvent, complete), true, 0),
		Entry("reset in the middle", resumable, events(7, reset), true, 1),
		Entry("closed in the middle", resumable, events(7, closeConn), true, 1),
		Entry("closed within an event", resumable, events(7, cutInEvent), true, 1),
		Entry("silent in the middle", resumable, events(7, staySilent), true, 1),
		Entry("silent before the first event", resumable, silent, true, 1),
		Entry("not run", resumable, full, true, 1),
		Entry("failed before the first event", resumable, whole(500, "bad"), true, 1),
		Entry("unsigned", resumable, unsigned, true, 1),
		Entry("not run, not resumable", notResumable, full, true, 1),
		Entry("reset in the middle, not resumable", notResumable, events(7, reset), false, 0),
		Entry("reset before the first event, not resumable", notResumable, resets, false, 0),
	)

	It("starts after the last event that the caller has received", func() {
		one, two := newWorker(events(7, reset)), newWorker(events(lastEvent, complete))
		res := newWorld(resumable, one, two).call(context.Background(), "X-After", "5")
		Expect(res.body).To(Equal(eventsFrom(6)))
	})

	It("skips events that the second unit sends again", func() {
		two := newWorker(func(con net.Conn, req *http.Request, body []byte) bool {
			req.Header.Del("X-After")
			return events(lastEvent, complete)(con, req, body)
		})
		res := newWorld(resumable, newWorker(events(7, reset)), two).call(context.Background())
		Expect(res.body).To(Equal(eventsFrom(1)))
	})

	It("resumes at once when the unit is found broken", func() {
		one, two := newWorker(events(7, staySilent)), newWorker(events(lastEvent, complete))
		wor := newWorld(resumable, one, two)
		began := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			wor.setUnits(dispatcher.Broken, one, two)
		}()
		res := wor.call(context.Background())
		Expect(res.status).To(Equal(200))
		Expect(res.body).To(Equal(eventsFrom(1)))
		Expect(time.Since(began)).To(BeNumerically("<", 700*time.Millisecond))
	})

	It("finishes a stream on a unit that accepts no more requests", func() {
		begun := make(chan struct{})
		one := newWorker(func(con net.Conn, req *http.Request, body []byte) bool {
			return events(3, func(con net.Conn) {
				close(begun)
				time.Sleep(150 * time.Millisecond)
				chunk(con, eventsFrom(4))
				complete(con)
			})(con, req, body)
		})
		wor := newWorld(resumable, one)
		go func() {
			<-begun
			wor.dis.SetUnits(nil)
		}()
		Expect(wor.call(context.Background()).body).To(Equal(eventsFrom(1)))
		Expect(one.runs()).To(Equal(1))
	})

	It("relays events without buffering", func() {
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

	It("records how long a late first event waited for a slot and for its unit", func() {
		const delay = 350 * time.Millisecond
		slow := newWorker(func(con net.Conn, req *http.Request, body []byte) bool {
			time.Sleep(delay)
			return events(lastEvent, complete)(con, req, body)
		})
		wor := newWorld(resumable, slow)
		Expect(wor.call(context.Background()).status).To(Equal(200))
		Expect(wor.mtr.firstEvents).To(HaveLen(1))
		Expect(wor.mtr.firstEvents[0].unit).To(BeNumerically(">=", delay))
		Expect(wor.mtr.firstEvents[0].queued).To(BeNumerically("<", delay))
		late := slices.IndexFunc(wor.log.AllEntries(), func(ent *logrus.Entry) bool { return ent.Message == "first event late" })
		Expect(late).To(BeNumerically(">=", 0))
		Expect(wor.log.AllEntries()[late].Data).To(HaveKeyWithValue("unit_in_use", 1))
	})

	It("responds when the route's timeout expires", func() {
		rou := notResumable
		rou.Timeout = 400 * time.Millisecond
		began := time.Now()
		res := newWorld(rou, newWorker(silent)).call(context.Background())
		Expect(res.status).To(Equal(504))
		Expect(time.Since(began)).To(BeNumerically("<", 800*time.Millisecond))
	})
})
