package heartbeater_test

import (
	"fmt"
	"io"
	"net/netip"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/heartbeater"
)

// Guards against memory that grows with the names that anyone sends.
var _ = Describe("Heartbeats of ever new names", func() {
	const names, target = 5000, 390
	It("are dropped beyond some, unless the entry is registered", func() {
		log := logrus.New()
		log.SetOutput(io.Discard)
		dropped, totals := 0, 0
		hea, err := heartbeater.New(heartbeater.Options{
			Address: netip.MustParseAddrPort("127.0.0.1:0"), Clock: clockwork.NewFakeClock(), Logger: log.WithField("test", true),
			Registered: func(name string) uint64 {
				if name == "edge" {
					return 1
				}
				return 0
			},
			OnDrop: func() { dropped++ }, OnTotals: func(heartbeater.Totals) { totals++ },
		})
		Expect(err).NotTo(HaveOccurred())
		taken := 0
		for num := range names {
			if hea.Accept(heartbeater.Heartbeat{Name: fmt.Sprint(num), Incarnation: 1, Seq: 1}) {
				taken++
			}
			hea.ReceiveTotals(heartbeater.Totals{Name: fmt.Sprint(num), Incarnation: 1, Seq: 1})
		}
		Expect(taken).To(And(BeNumerically(">", 2*target), BeNumerically("<", names/2)))
		Expect(totals).To(Equal(taken))
		Expect(dropped).To(Equal(2 * (names - taken)))
		Expect(hea.Accept(heartbeater.Heartbeat{Name: "edge", Incarnation: 1, Seq: 1})).To(BeTrue())
		hea.ReceiveTotals(heartbeater.Totals{Name: "edge", Incarnation: 1, Seq: 1})
		Expect(totals).To(Equal(taken + 1))
	})
})
