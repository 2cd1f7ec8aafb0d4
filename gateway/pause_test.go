package gateway_test

import (
	"context"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/router"
)

var _ = Describe("Gateway before a backend server that wants a pause", func() {
	cases := []struct {
		name   string
		route  router.Route
		answer answerFunc
		// paused says that the server gets nothing for a second.
		paused bool
	}{
		{"a rejection", safe, plainly("503 Full", "X-Not-Run: 1\r\nX-Pause: 1000\r\n"), true},
		{"a rejection of a request that must not run twice", unsafe, plainly("503 Full", "X-Not-Run: 1\r\nX-Pause: 1000\r\n"), true},
		{"a rejected stream", resumable, plainly("503 Full", "X-Not-Run: 1\r\nX-Pause: 1000\r\n"), true},
		{"a failure that doesn't say that the request has not run", unsafe, signedWith(503, "X-Pause: 1000\r\n"), true},
		{"a failed stream", notResumable, signedWith(503, "X-Pause: 1000\r\n"), true},
		{"an answer without a signature", unsafe, plainly("503 Full", "X-Pause: 1000\r\n"), true},
		{"an answer of another server", unsafe, plainly("503 Full", "X-Not-Run: 1\r\nX-Pause: 1000\r\nX-Server-Id: j\r\n"), false},
		{"a rejection without a pause", unsafe, plainly("503 Full", "X-Not-Run: 1\r\n"), false},
	}
	for _, cas := range cases {
		It("leaves it alone for so long after "+cas.name, func() {
			one := newWorker(cas.answer)
			wor := newWorld(cas.route, one)
			began := time.Now()
			wor.call(context.Background())
			runs := one.runs()
			Expect(runs).To(Equal(1))
			time.Sleep(150 * time.Millisecond)
			asked := time.Now()
			res := wor.call(context.Background())
			if !cas.paused {
				Expect(one.runs()).To(Equal(runs + 1))
				return
			}
			Expect(time.Since(asked)).To(BeNumerically("<", 100*time.Millisecond), "refused at once")
			Expect(one.runs()).To(Equal(runs))
			Expect(res.status).To(Equal(503))
			secs, err := strconv.ParseFloat(res.head.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			rest := time.Until(began.Add(time.Second)).Seconds()
			Expect(secs).To(BeNumerically("~", rest, 0.2))
		})
	}

	// Guards against BUDGET: connections that take long to open while the server asks for the pause.
	It("sends it no request whose connection opens during the pause", func() {
		one := newWorker(plainly("503 Full", "X-Not-Run: 1\r\nX-Pause: 2000\r\n"))
		rou := unsafe
		rou.Timeout = 3 * time.Second
		wor := newWorld(rou, one)
		wor.dialer.delay.Store(int64(700 * time.Millisecond))
		results := make(chan result, 3)
		for num := range cap(results) {
			go func() { results <- wor.call(context.Background(), "X-Id", strconv.Itoa(num)) }()
		}
		time.Sleep(50 * time.Millisecond)
		wor.dialer.delay.Store(0)
		wor.call(context.Background())
		Expect(one.runs()).To(Equal(1))
		for range cap(results) {
			Expect((<-results).status).To(Equal(503))
		}
		Expect(one.runs()).To(Equal(1))
		Expect(wor.det.suspects.Load()).To(BeZero())
	})

	// Guards against a server whose circuit opens because it asks for pauses.
	DescribeTable("sends to it again after the end, however often it has asked",
		func(answer answerFunc) {
			one := newWorker(answer)
			wor := newWorld(unsafe, one)
			for num := range 8 {
				wor.call(context.Background())
				Expect(one.runs()).To(Equal(num + 1))
				time.Sleep(100 * time.Millisecond)
			}
		},
		Entry("with rejections", plainly("503 Full", "X-Not-Run: 1\r\nX-Pause: 20\r\n")),
		Entry("with failures", signedWith(503, "X-Pause: 20\r\n")),
	)

	It("sends to another unit meanwhile", func() {
		one, two := newWorker(plainly("503 Full", "X-Not-Run: 1\r\nX-Pause: 60000\r\n")), newWorker(whole(200, "two"))
		wor := newWorld(safe, one, two)
		for range 5 {
			Expect(wor.call(context.Background()).body).To(Equal("two"))
		}
		Expect(one.runs()).To(Equal(1))
		Expect(two.runs()).To(Equal(5))
	})
})
