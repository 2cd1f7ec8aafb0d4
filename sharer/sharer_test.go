package sharer_test

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/sharer"
)

var full = sharer.Heartbeat{
	Name: "edge-1", Incarnation: 1 << 60, Seq: 300, Stopping: true, Fresh: true, TopicEnds: []int64{5, 0, 700},
	Running: map[uint64]int{1: 3, 1 << 63: 20}, Alive: map[uint64]bool{1: true}, Suspects: []uint64{9, 8},
}

var _ = Describe("Heartbeat", func() {
	It("is unchanged by encoding and decoding", func() {
		bea, err := sharer.Decode(sharer.Encode(full))
		Expect(err).NotTo(HaveOccurred())
		Expect(bea).To(Equal(full))
	})

	It("is rejected when truncated at any byte", func() {
		data := sharer.Encode(full)
		for end := range data {
			_, err := sharer.Decode(data[:end])
			Expect(err).To(HaveOccurred())
		}
	})

	It("fits into one packet", func() {
		big := sharer.Heartbeat{Name: "n", Running: map[uint64]int{}}
		for num := range uint64(1000) {
			big.Running[num<<50] = 20
			big.Suspects = append(big.Suspects, num)
		}
		data := sharer.Encode(big)
		Expect(len(data)).To(BeNumerically("<=", 1400))
		bea, err := sharer.Decode(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(bea.Running)).To(BeNumerically(">", 40))
	})
})

func FuzzDecode(f *testing.F) {
	f.Add(sharer.Encode(full))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		bea, err := sharer.Decode(data)
		if err != nil {
			return
		}
		if again, err := sharer.Decode(sharer.Encode(bea)); err != nil || again.Name != bea.Name || again.Seq != bea.Seq {
			t.Errorf("heartbeat %v was decoded as %v, %v after encoding", bea, again, err)
		}
	})
}

// receivedHeartbeats records the heartbeats and silent entries that a sharer reported.
type receivedHeartbeats struct {
	mux    sync.Mutex
	seqs   []uint64
	silent []string
}

func (rec *receivedHeartbeats) counts() (heard, silent int) {
	rec.mux.Lock()
	defer rec.mux.Unlock()
	return len(rec.seqs), len(rec.silent)
}

func startSharer(name string, peers func() []sharer.Peer, address string, rec *receivedHeartbeats) (*sharer.Sharer, context.CancelFunc) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	seq := uint64(0)
	sha, err := sharer.New(sharer.Options{
		Address: netip.MustParseAddrPort(address), Peers: peers, Clock: clockwork.NewRealClock(), Logger: log.WithField("test", true),
		Heartbeat: func() sharer.Heartbeat {
			seq++
			return sharer.Heartbeat{Name: name, Incarnation: 1, Seq: seq}
		},
		OnHeartbeat: func(bea sharer.Heartbeat) {
			rec.mux.Lock()
			defer rec.mux.Unlock()
			rec.seqs = append(rec.seqs, bea.Seq)
		},
		OnSilent: func(name string) {
			rec.mux.Lock()
			defer rec.mux.Unlock()
			rec.silent = append(rec.silent, name)
		},
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	go sha.Run(ctx)
	return sha, cancel
}

var _ = Describe("Sharer", func() {
	It("receives heartbeats of another entry, and reports when they stop", func() {
		var one, two receivedHeartbeats
		const first, second = "127.0.0.1:17941", "127.0.0.1:17942"
		a, stopA := startSharer("a", func() []sharer.Peer { return []sharer.Peer{{Name: "b", Address: netip.MustParseAddrPort(second)}} }, first, &one)
		defer stopA()
		_, stopB := startSharer("b", func() []sharer.Peer { return []sharer.Peer{{Name: "a", Address: netip.MustParseAddrPort(first)}} }, second, &two)
		Eventually(func() bool { return a.Heard("b") }, "2s").Should(BeTrue())
		stopB()
		Eventually(func() int { _, silent := one.counts(); return silent }, "4s").Should(Equal(1))
		Expect(a.Heard("b")).To(BeFalse())
	})

	It("sends heartbeats less often in large clusters", func() {
		Expect(sharer.Interval(6)).To(Equal(sharer.MinInterval))
		Expect(sharer.Interval(300)).To(Equal(2 * time.Second))
	})
})
