package heartbeater_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/heartbeater"
	"github.com/lovagelever/lovagelever/ratelimiter"
	"github.com/lovagelever/lovagelever/registrar"
)

var _ = Describe("Datagrams about rate limits", func() {
	It("carry limits, questions and permits, in several packets if one is too small", func() {
		msg := ratelimiter.Message{From: "e1"}
		for num := range 60 {
			ins := registrar.Instance{ID: fmt.Sprint("server-", num), Started: 1772258720445}
			msg.Notices = append(msg.Notices, ratelimiter.Notice{Server: ins, Limited: num%3 > 0, PerSecond: 0.25 * float64(num%3), Age: time.Duration(num) * time.Millisecond})
			msg.Asks = append(msg.Asks, ratelimiter.Ask{Server: ins, Count: num, Within: 300 * time.Millisecond})
			msg.Grants = append(msg.Grants, ratelimiter.Grant{Server: ins, Count: num, Wait: time.Second, Interval: 250 * time.Millisecond})
		}
		list := heartbeater.EncodeLimits(msg)
		Expect(len(list)).To(BeNumerically(">", 1))
		got := ratelimiter.Message{From: msg.From}
		for _, data := range list {
			Expect(len(data)).To(BeNumerically("<=", 1400))
			one, err := heartbeater.DecodeLimits(data)
			Expect(err).NotTo(HaveOccurred())
			Expect(one.From).To(Equal(msg.From))
			got.Notices, got.Asks, got.Grants = append(got.Notices, one.Notices...), append(got.Asks, one.Asks...), append(got.Grants, one.Grants...)
		}
		Expect(got).To(Equal(msg))
	})

	It("leave out servers whose IDs are too long, and fail on damaged ones", func() {
		long := registrar.Instance{ID: strings.Repeat("x", 201)}
		Expect(heartbeater.EncodeLimits(ratelimiter.Message{From: "e", Asks: []ratelimiter.Ask{{Server: long}}})).To(BeEmpty())
		whole := heartbeater.EncodeLimits(ratelimiter.Message{From: "e", Grants: []ratelimiter.Grant{{Server: registrar.Instance{ID: "w"}, Count: 3}}})[0]
		for num := 1; num < len(whole); num++ {
			got, err := heartbeater.DecodeLimits(whole[:num])
			Expect(err != nil || len(got.Grants) == 0).To(BeTrue())
		}
		_, err := heartbeater.DecodeLimits(append(whole, 9))
		Expect(err).To(HaveOccurred())
	})
})
