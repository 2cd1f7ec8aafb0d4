package gateserver_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/conductor"
	"github.com/lovagelever/lovagelever/gateserver"
	"github.com/lovagelever/lovagelever/heartbeater"
	"github.com/lovagelever/lovagelever/registrar"
)

// reportCounter counts the reports that were requested.
type reportCounter struct {
	stubs
	reports atomic.Int64
}

func (rep *reportCounter) Report(context.Context, registrar.Server) (conductor.Report, error) {
	rep.reports.Add(1)
	return conductor.Report{}, nil
}

func retryAfter(res *http.Response) float64 {
	secs, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	Expect(err).NotTo(HaveOccurred())
	return secs
}

var _ = Describe("Server before a backend server that wants a pause", func() {
	It("sends it nothing for so long, and refuses at once what no other server can run", func() {
		scr := newScripted(nil)
		scr.answer(503, "Lovagelever-Not-Run", "1", "Retry-After", "2")
		sent := time.Now()
		scr.call()
		began, before := time.Now(), scr.got.Load()
		scr.answer(200)
		for time.Since(began) < 1200*time.Millisecond {
			asked := time.Now()
			res := scr.call()
			Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(time.Since(asked)).To(BeNumerically("<", 200*time.Millisecond))
			Expect(retryAfter(res)).To(BeNumerically("~", time.Until(began.Add(2*time.Second)).Seconds(), 0.25))
			Expect(scr.got.Load()).To(Equal(before))
			time.Sleep(20 * time.Millisecond)
		}
		Eventually(func() int { return scr.call().StatusCode }, "2s").Should(Equal(http.StatusOK))
		Expect(time.Since(sent)).To(BeNumerically(">=", 2*time.Second))
	})

	cases := []struct {
		name    string
		stated  string
		atLeast float64
		atMost  float64
	}{
		{"at the limit", "3600", 3590, 3600},
		{"beyond the limit", "1e12", 3590, 3600},
	}
	for _, cas := range cases {
		It("bounds the pause: "+cas.name, func() {
			scr := newScripted(nil)
			scr.answer(503, "Lovagelever-Not-Run", "1", "Retry-After", cas.stated)
			scr.call()
			Expect(retryAfter(scr.call())).To(And(BeNumerically(">", cas.atLeast), BeNumerically("<=", cas.atMost)))
		})
	}

	// Guards against BUDGET: every other entry that suspects the server makes this one probe it.
	for _, paused := range []bool{true, false} {
		It("sends it no health check during the pause: "+strconv.FormatBool(paused), func() {
			rep := &reportCounter{}
			scr := newScripted(func(pla *gateserver.Platform) { pla.Engines = rep })
			if paused {
				scr.answer(503, "Lovagelever-Not-Run", "1", "Retry-After", "60")
				scr.call()
			}
			con, err := net.Dial("udp", scr.entries)
			Expect(err).NotTo(HaveOccurred())
			defer con.Close()
			check := func() int64 {
				_, err := con.Write(heartbeater.Encode(heartbeater.Heartbeat{Name: "other", Incarnation: 1, Seq: uint64(time.Now().UnixNano()), Suspects: []uint64{xxhash.Sum64String("w@1")}}))
				Expect(err).NotTo(HaveOccurred())
				return rep.reports.Load()
			}
			if paused {
				Consistently(check, "500ms", "20ms").Should(BeZero())
			} else {
				Eventually(check, "500ms", "20ms").Should(BeNumerically(">", 0))
			}
		})
	}
})
