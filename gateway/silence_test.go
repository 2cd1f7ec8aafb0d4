package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/router"
)

// pausing streams events up to the last one, and pauses after the event with the given number.
func pausing(after int, pause time.Duration) answerFunc {
	return func(con net.Conn, req *http.Request, body []byte) bool {
		if after == 0 {
			time.Sleep(pause)
		}
		return events(max(1, after), func(con net.Conn) {
			if after > 0 {
				time.Sleep(pause)
			}
			chunk(con, eventsFrom(max(1, after)+1))
			complete(con)
		})(con, req, body)
	}
}

var _ = Describe("Silence of a sound unit", func() {
	const longPause = 1700 * time.Millisecond

	// Guards against streams that are broken off although their unit would have finished them.
	for _, cas := range []struct {
		name    string
		rou     router.Route
		workers []answerFunc
		runs    []int
	}{
		{"when no other unit can take the stream", resumable, []answerFunc{pausing(7, longPause)}, []int{1}},
		{"when the stream cannot be resumed", notResumable, []answerFunc{pausing(7, longPause), events(lastEvent, complete)}, []int{1, 0}},
		{"before the first event of a stream that cannot be resumed", notResumable, []answerFunc{pausing(0, longPause), events(lastEvent, complete)}, []int{1, 0}},
		{"when all attempts are used", resumable, []answerFunc{events(7, staySilent), pausing(9, longPause)}, []int{1, 1}},
		{"when every other unit rejects the stream", resumable, []answerFunc{pausing(7, longPause), full}, []int{1, 1}},
		{"shorter than callers wait", resumable, []answerFunc{pausing(7, 1100*time.Millisecond), events(lastEvent, complete)}, []int{1, 0}},
	} {
		It("does not end a stream "+cas.name, func() {
			var workers []*worker
			for _, answer := range cas.workers {
				workers = append(workers, newWorker(answer))
			}
			res := newWorld(cas.rou, workers...).call(context.Background())
			Expect(res.err).NotTo(HaveOccurred())
			Expect(res.status).To(Equal(200))
			Expect(res.body).To(Equal(eventsFrom(1)))
			for num, wor := range workers {
				Expect(wor.runs()).To(Equal(cas.runs[num]))
			}
		})
	}

	It("does not request a stream elsewhere that goes on while its unit is suspected", func() {
		one := newWorker(events(3, func(con net.Conn) {
			for num := 4; num <= lastEvent; num++ {
				time.Sleep(30 * time.Millisecond)
				chunk(con, fmt.Sprintf("id: %d\ndata: piece %d\n\n", num, num))
			}
			complete(con)
		}))
		two := newWorker(events(lastEvent, complete))
		wor := newWorld(resumable, one, two)
		go func() {
			time.Sleep(100 * time.Millisecond)
			wor.setUnits(dispatcher.Suspected, one, two)
		}()
		Expect(wor.call(context.Background()).body).To(Equal(eventsFrom(1)))
		Expect(two.runs()).To(BeZero())
	})

	It("moves a stream without events off a suspected unit at once", func() {
		one, two := newWorker(silent), newWorker(events(lastEvent, complete))
		wor := newWorld(resumable, one, two)
		began := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			wor.setUnits(dispatcher.Suspected, one, two)
		}()
		res := wor.call(context.Background())
		Expect(res.body).To(Equal(eventsFrom(1)))
		Expect(time.Since(began)).To(BeNumerically("<", 700*time.Millisecond))
	})

	// Guards against plain calls that are given up before another server has taken them.
	for _, cas := range []struct {
		name   string
		second answerFunc
		budget int64
	}{
		{"when its second server is as slow", slowly, 10},
		{"when its second server rejects it", full, 10},
		{"when the budget for retries is used up", whole(200, "other"), 0},
	} {
		It("does not end a plain call "+cas.name, func() {
			wor := newWorld(safe, newWorker(slowly), newWorker(cas.second))
			wor.bud.left.Store(cas.budget)
			res := wor.call(context.Background())
			Expect(res.status).To(Equal(200))
			Expect(res.body).To(Equal("slow"))
		})
	}
})

// slowly answers long after the objective of plain calls.
func slowly(con net.Conn, req *http.Request, body []byte) bool {
	time.Sleep(1200 * time.Millisecond)
	return whole(200, "slow")(con, req, body)
}
