package heartbeater_test

import (
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/heartbeater"
)

// Guards against entries that count as silent for up to 26 s after a restart with the clock set back.
var _ = Describe("Heartbeats of an entry that was started again with its clock set back", func() {
	const before, after, other = 20, 10, 5
	for _, entries := range []int{7, 195, 390} {
		Describe(fmt.Sprintf("among %d entries", entries), func() {
			var hea *heartbeater.Heartbeater
			var clk *clockwork.FakeClock
			var registered, totals uint64
			seq := uint64(0)
			accept := func(incarnation uint64) bool {
				seq++
				return hea.Accept(heartbeater.Heartbeat{Name: "edge", Incarnation: incarnation, Seq: seq})
			}
			receivesTotals := func(incarnation uint64) bool {
				seq++
				hea.ReceiveTotals(heartbeater.Totals{Name: "edge", Incarnation: incarnation, Seq: seq})
				return totals == incarnation
			}
			// refusedFor returns for how long the messages of the process that was started again are not taken.
			refusedFor := func(takes func(incarnation uint64) bool) time.Duration {
				began := clk.Now()
				for !takes(after) {
					clk.Advance(heartbeater.MinInterval)
					hea.Expire()
				}
				return clk.Since(began)
			}
			BeforeEach(func() {
				log := logrus.New()
				log.SetOutput(io.Discard)
				clk, registered = clockwork.NewFakeClock(), before
				var err error
				hea, err = heartbeater.New(heartbeater.Options{
					Address: netip.MustParseAddrPort("127.0.0.1:0"), Clock: clk, Logger: log.WithField("test", true),
					Registered: func(string) uint64 { return registered }, OnSilent: func(string) {}, OnTotals: func(tot heartbeater.Totals) { totals = tot.Incarnation },
				})
				Expect(err).NotTo(HaveOccurred())
				for num := range entries - 2 {
					Expect(hea.Accept(heartbeater.Heartbeat{Name: fmt.Sprint(num), Incarnation: other, Seq: 1})).To(BeTrue())
				}
				Expect(accept(before)).To(BeTrue())
				Expect(receivesTotals(before)).To(BeTrue())
			})

			It("are taken once its registration is known", func() {
				registered = after
				Expect(refusedFor(accept)).To(BeZero())
				Expect(refusedFor(receivesTotals)).To(BeZero())
			})

			It("are taken again after a late one of the process before", func() {
				registered = after
				Expect(accept(after)).To(BeTrue())
				accept(before)
				Expect(refusedFor(accept)).To(BeZero())
			})

			It("are refused until the process before is silent while only that one is registered", func() {
				Expect(refusedFor(accept)).To(BeNumerically("~", heartbeater.SilentAfterIntervals*heartbeater.Interval(entries-1), heartbeater.MinInterval))
			})

			It("are taken only in their order", func() {
				registered = after
				Expect(accept(after)).To(BeTrue())
				Expect(hea.Accept(heartbeater.Heartbeat{Name: "edge", Incarnation: after, Seq: seq})).To(BeFalse())
				Expect(hea.Accept(heartbeater.Heartbeat{Name: "edge", Incarnation: other, Seq: seq + 1})).To(BeFalse())
			})
		})
	}
})
