package heartbeater_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/heartbeater"
	"github.com/lovagelever/lovagelever/sharer"
)

var full = heartbeater.Heartbeat{
	Name: "edge-1", Incarnation: 1 << 60, Seq: 300, Stopping: true, Fresh: true, Leads: true, Silent: []uint64{77, 1 << 62}, TopicEnds: []int64{5, 0, 700},
	Running: map[uint64]estimator.Work{1: {Requests: 3, Unread: 1472, Committed: 5120}, 1 << 63: {Requests: 20}}, Alive: map[uint64]bool{1: true}, Suspects: []uint64{9, 8},
	ExchangesWork: true, Demand: []heartbeater.Demand{{Pool: 1 << 63, Demand: estimator.Demand{Requests: 1.25, PromptTokens: 900, AnswerTokens: 30}}},
	Uses: []sharer.Use{{Key: sharer.Key{Class: 1 << 31, Workspace: 2}, Started: 800, Refused: 40, Limited: 3}},
}

var _ = Describe("Heartbeat", func() {
	It("is unchanged by encoding and decoding", func() {
		bea, err := heartbeater.Decode(heartbeater.Encode(full))
		Expect(err).NotTo(HaveOccurred())
		Expect(bea).To(Equal(full))
	})

	It("is rejected when truncated at any byte", func() {
		data := heartbeater.Encode(full)
		for end := range data {
			_, err := heartbeater.Decode(data[:end])
			Expect(err).To(HaveOccurred())
		}
	})

	It("fits into one packet", func() {
		big := heartbeater.Heartbeat{Name: "n", ExchangesWork: true, Running: map[uint64]estimator.Work{}}
		for num := range uint64(1000) {
			big.Running[num<<50] = estimator.Work{Requests: 20, Unread: 1_000_000, Committed: 2_470_000}
			big.Demand = append(big.Demand, heartbeater.Demand{Pool: 1<<63 + num, Demand: estimator.Demand{Requests: 1e9, PromptTokens: 1e9, AnswerTokens: 1e9}})
			big.Suspects = append(big.Suspects, num)
		}
		data := heartbeater.Encode(big)
		Expect(len(data)).To(BeNumerically("<=", 1400))
		bea, err := heartbeater.Decode(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(bea.Running)).To(BeNumerically(">", 40))
	})
})

var _ = Describe("Totals", func() {
	It("are unchanged by encoding and decoding, and rejected when truncated at any byte", func() {
		want := heartbeater.Totals{Name: "edge-1", Incarnation: 1 << 60, Seq: 7, Running: map[uint32]int{1: 3, 1 << 31: 700}, Silent: []uint32{5, 1 << 31}}
		want.Work = map[uint32]estimator.Work{1: {Requests: 3, Unread: 640, Committed: 2560}, 1 << 31: {Requests: 700}}
		want.Limits = []sharer.Limit{{Key: sharer.Key{Class: 1 << 31, Workspace: 2}, Part: 0.25}, {Key: sharer.Key{Class: 7}, Part: 1}}
		data := heartbeater.EncodeTotals(want)
		got, err := heartbeater.DecodeTotals(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(want))
		for end := range data {
			_, err := heartbeater.DecodeTotals(data[:end])
			Expect(err).To(HaveOccurred())
		}
	})

	It("of 190 units fit into one packet", func() {
		const units = 190
		tot := heartbeater.Totals{Name: "edge-kolkata-rajarhat-37", Running: map[uint32]int{}, Work: map[uint32]estimator.Work{}}
		for num := range uint32(units) {
			tot.Running[num<<20] = 20
			tot.Work[num<<20] = estimator.Work{Requests: 20, Unread: 30_000, Committed: 400_000}
		}
		data := heartbeater.EncodeTotals(tot)
		Expect(len(data)).To(BeNumerically("<=", 1400))
		got, err := heartbeater.DecodeTotals(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Running).To(HaveLen(units))
	})
})

func FuzzDecodeTotals(f *testing.F) {
	f.Add(heartbeater.EncodeTotals(heartbeater.Totals{Name: "e", Running: map[uint32]int{1: 2}}))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		tot, err := heartbeater.DecodeTotals(data)
		if err != nil {
			return
		}
		if again, err := heartbeater.DecodeTotals(heartbeater.EncodeTotals(tot)); err != nil || again.Name != tot.Name {
			t.Errorf("totals %v were decoded as %v, %v after encoding", tot, again, err)
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(heartbeater.Encode(full))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		bea, err := heartbeater.Decode(data)
		if err != nil {
			return
		}
		if again, err := heartbeater.Decode(heartbeater.Encode(bea)); err != nil || again.Name != bea.Name || again.Seq != bea.Seq {
			t.Errorf("heartbeat %v was decoded as %v, %v after encoding", bea, again, err)
		}
	})
}

// receivedHeartbeats records the heartbeats and silent entries that a heartbeater reported.
type receivedHeartbeats struct {
	mux    sync.Mutex
	seqs   []uint64
	silent []string
	// totals are the incarnations of the senders of totals.
	totals []uint64
}

func (rec *receivedHeartbeats) counts() (heard, silent int) {
	rec.mux.Lock()
	defer rec.mux.Unlock()
	return len(rec.seqs), len(rec.silent)
}

func startHeartbeater(name string, peers func() []heartbeater.Peer, address string, rec *receivedHeartbeats) (*heartbeater.Heartbeater, context.CancelFunc) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	seq := uint64(0)
	hea, err := heartbeater.New(heartbeater.Options{
		Address: netip.MustParseAddrPort(address), Peers: peers, Rate: func() heartbeater.Rate { return heartbeater.Normal },
		Collectors: func([]heartbeater.Peer) []heartbeater.Peer { return nil },
		Totals:     func([]heartbeater.Peer) map[heartbeater.Peer]heartbeater.Totals { return nil },
		Clock:      clockwork.NewRealClock(), Logger: log.WithField("test", true),
		Heartbeat: func(bool) heartbeater.Heartbeat {
			seq++
			return heartbeater.Heartbeat{Name: name, Incarnation: 1, Seq: seq}
		},
		OnHeartbeat: func(bea heartbeater.Heartbeat) {
			rec.mux.Lock()
			defer rec.mux.Unlock()
			rec.seqs = append(rec.seqs, bea.Seq)
		},
		OnTotals: func(tot heartbeater.Totals) {
			rec.mux.Lock()
			defer rec.mux.Unlock()
			rec.totals = append(rec.totals, tot.Incarnation)
		},
		OnSilent: func(name string) {
			rec.mux.Lock()
			defer rec.mux.Unlock()
			rec.silent = append(rec.silent, name)
		},
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	go hea.Run(ctx)
	return hea, cancel
}

var _ = Describe("Heartbeater", func() {
	It("receives heartbeats of another entry, and reports when they stop", func() {
		var one, two receivedHeartbeats
		const first, second = "127.0.0.1:17941", "127.0.0.1:17942"
		a, stopA := startHeartbeater("a", func() []heartbeater.Peer {
			return []heartbeater.Peer{{Name: "b", Address: netip.MustParseAddrPort(second)}}
		}, first, &one)
		defer stopA()
		_, stopB := startHeartbeater("b", func() []heartbeater.Peer {
			return []heartbeater.Peer{{Name: "a", Address: netip.MustParseAddrPort(first)}}
		}, second, &two)
		Eventually(func() bool { return a.Heard("b") }, "2s").Should(BeTrue())
		stopB()
		Eventually(func() int { _, silent := one.counts(); return silent }, "4s").Should(Equal(1))
		Expect(a.Heard("b")).To(BeFalse())
	})

	// Guards against totals that are ignored for good since their sender has started again with its clock set back.
	It("takes the totals of a lower incarnation once the higher one is silent", func() {
		var rec receivedHeartbeats
		const address = "127.0.0.1:17943"
		_, stop := startHeartbeater("a", func() []heartbeater.Peer { return nil }, address, &rec)
		defer stop()
		con, err := net.Dial("udp", address)
		Expect(err).NotTo(HaveOccurred())
		defer con.Close()
		seq := uint64(0)
		received := func(incarnation uint64) func() []uint64 {
			return func() []uint64 {
				seq++
				_, _ = con.Write(heartbeater.EncodeTotals(heartbeater.Totals{Name: "b", Incarnation: incarnation, Seq: seq}))
				rec.mux.Lock()
				defer rec.mux.Unlock()
				return slices.Clone(rec.totals)
			}
		}
		Eventually(received(2)).Should(ContainElement(uint64(2)))
		Consistently(received(1), "200ms").ShouldNot(ContainElement(uint64(1)))
		Eventually(received(1), "3s").Should(ContainElement(uint64(1)))
	})

	It("sends heartbeats less often in large clusters", func() {
		Expect(heartbeater.Interval(6)).To(Equal(heartbeater.MinInterval))
		Expect(heartbeater.Interval(300)).To(Equal(2 * time.Second))
		Expect(heartbeater.FrequentInterval(6)).To(Equal(heartbeater.MinInterval))
		Expect(heartbeater.FrequentInterval(300)).To(BeNumerically("<", time.Second))
	})
})
