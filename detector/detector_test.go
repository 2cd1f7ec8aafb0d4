package detector_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/detector"
	"github.com/lovagelever/lovagelever/registrar"
)

// fakeProber returns the configured error for each server and counts the probes.
type fakeProber struct {
	mux    sync.Mutex
	errs   map[string]error
	probes map[string]int
	// duration is how long a probe takes by the clock of the entry.
	duration time.Duration
	clk      *clockwork.FakeClock
}

func (pro *fakeProber) Probe(_ context.Context, ser registrar.Server) error {
	pro.mux.Lock()
	defer pro.mux.Unlock()
	pro.probes[ser.ID]++
	pro.clk.Advance(pro.duration)
	return pro.errs[ser.ID]
}

// setErr sets the result of further probes of server b.
func (pro *fakeProber) setErr(err error) {
	pro.mux.Lock()
	defer pro.mux.Unlock()
	pro.errs["b"] = err
}

// setDuration sets how long further probes take.
func (pro *fakeProber) setDuration(duration time.Duration) {
	pro.mux.Lock()
	defer pro.mux.Unlock()
	pro.duration = duration
}

func (pro *fakeProber) probeCount(id string) int {
	pro.mux.Lock()
	defer pro.mux.Unlock()
	return pro.probes[id]
}

// linksStub says whether the entry reaches servers.
type linksStub struct{ lost atomic.Bool }

func (lin *linksStub) Lost(string) bool        { return false }
func (lin *linksStub) ConfirmLost(string) bool { return lin.lost.Load() }

var _ = Describe("Detector", func() {
	errNoAnswer := errors.New("no answer")
	var clk *clockwork.FakeClock
	var reg *registrar.Registrar
	var pro *fakeProber
	var det *detector.Detector
	var links *linksStub
	BeforeEach(func() {
		clk = clockwork.NewFakeClock()
		reg = registrar.New(clk)
		links = &linksStub{}
		pro = &fakeProber{errs: map[string]error{}, probes: map[string]int{}, clk: clk}
		for _, id := range []string{"a", "b"} {
			reg.Put(registrar.Server{ID: id, Started: 1})
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		det = detector.New(detector.Options{
			Members: func(string) []registrar.Server {
				return []registrar.Server{{ID: "a", Started: 1}, {ID: "b", Started: 1}}
			},
			Prober: pro, Links: links, Registrar: reg, Clock: clk, Logger: log.WithField("test", true),
		})
	})
	suspected := func(id string) func() bool {
		return func() bool { return reg.View().Suspected(registrar.Instance{ID: id, Started: 1}) }
	}

	for _, cause := range []error{errNoAnswer, detector.ErrDown} {
		It("suspects no server while this entry reaches none: "+cause.Error(), func() {
			links.lost.Store(true)
			pro.setErr(cause)
			det.CheckUnit("u")
			Eventually(func() int { return pro.probeCount("b") }).Should(BeNumerically(">", 0))
			Consistently(suspected("b"), "100ms").Should(BeFalse())
		})
	}

	It("suspects only the member that does not answer", func() {
		pro.setErr(errNoAnswer)
		det.CheckUnit("u")
		Eventually(suspected("b")).Should(BeTrue())
		Expect(pro.probeCount("b")).To(BeNumerically(">", 1), "one lost packet must not raise a suspicion")
		Consistently(suspected("a"), "20ms").Should(BeFalse())
		Expect(reg.View().SuspicionConfirmed(registrar.Instance{ID: "b", Started: 1})).To(BeFalse())
	})

	It("confirms the failure when nothing listens at the address", func() {
		pro.setErr(errors.WithType(errNoAnswer, detector.ErrDown))
		det.CheckUnit("u")
		Eventually(func() bool { return reg.View().SuspicionConfirmed(registrar.Instance{ID: "b", Started: 1}) }).Should(BeTrue())
		Expect(pro.probeCount("b")).To(Equal(1))
	})

	It("ends the suspicion of a server that answers again", func() {
		pro.setErr(errNoAnswer)
		det.CheckUnit("u")
		Eventually(suspected("b")).Should(BeTrue())
		pro.setErr(nil)
		Eventually(func() bool { clk.Advance(100 * time.Millisecond); return suspected("b")() }).Should(BeFalse())
		Eventually(func() []registrar.Instance { all, _ := det.Suspected(time.Hour); return all }).Should(BeEmpty())
	})

	It("stops probing a server that left the list", func() {
		pro.setErr(errNoAnswer)
		det.CheckUnit("u")
		Eventually(suspected("b")).Should(BeTrue())
		reg.Remove("b", false)
		Eventually(func() int { clk.Advance(100 * time.Millisecond); all, _ := det.Suspected(time.Hour); return len(all) }).Should(BeZero())
	})

	It("neither suspects servers nor keeps probing while the entry itself is too slow", func() {
		pro.setErr(errNoAnswer)
		pro.duration = 300 * time.Millisecond
		det.CheckUnit("u")
		Eventually(func() int { return pro.probeCount("b") }).Should(Equal(1))
		Consistently(func() int { return pro.probeCount("b") }, "20ms").Should(Equal(1))
		clk.Advance(500 * time.Millisecond)
		det.CheckUnit("u")
		Consistently(func() int { return pro.probeCount("b") }, "20ms").Should(Equal(1))
		Expect(suspected("b")()).To(BeFalse())

		pro.duration = 0
		clk.Advance(2 * time.Second)
		det.CheckUnit("u")
		Eventually(suspected("b")).Should(BeTrue())
	})

	// Guards against sound servers that a slow entry goes on suspecting, since it cannot read their answers in time.
	It("suspects no server any longer while the entry itself is too slow", func() {
		pro.setErr(errNoAnswer)
		det.CheckUnit("u")
		Eventually(suspected("b")).Should(BeTrue())
		pro.setDuration(300 * time.Millisecond)
		Eventually(func() bool { clk.Advance(100 * time.Millisecond); return suspected("b")() }).Should(BeFalse())
		for range 30 {
			clk.Advance(100 * time.Millisecond)
			Expect(suspected("b")()).To(BeFalse())
			time.Sleep(time.Millisecond)
		}
	})

	DescribeTable("does not probe a unit with recent activity",
		func(record func()) {
			record()
			det.CheckUnit("u")
			Consistently(func() int { return pro.probeCount("a") }, "20ms").Should(BeZero())
			clk.Advance(time.Second)
			det.CheckUnit("u")
			Eventually(func() int { return pro.probeCount("a") }).Should(Equal(1))
		},
		Entry("observed by this entry", func() { det.RecordActivity("u") }),
		Entry("reported by another entry", func() { det.RecordRemoteActivity("u", 100*time.Millisecond) }),
	)

	It("does not probe a unit while the next report of another entry is not yet due, however long its interval", func() {
		det.RecordRemoteActivity("u", 500*time.Millisecond)
		clk.Advance(450 * time.Millisecond)
		det.CheckUnit("u")
		Consistently(func() int { return pro.probeCount("a") }, "20ms").Should(BeZero())
	})

	It("probes a server that answers now and then only, however many entries suspect it", func() {
		const heartbeats, apart, seconds = 60, 10 * time.Millisecond, 16
		for range seconds * int(time.Second/apart) {
			for range heartbeats {
				det.CheckServer(registrar.Server{ID: "b", Started: 1})
			}
			clk.Advance(apart)
		}
		Eventually(func() int { return pro.probeCount("b") }).Should(BeNumerically(">=", seconds/2))
		Consistently(func() int { return pro.probeCount("b") }, "50ms").Should(BeNumerically("<=", seconds))
	})

	It("probes a server at once that another entry suspects", func() {
		pro.setErr(errNoAnswer)
		det.CheckServer(registrar.Server{ID: "b", Started: 1})
		Eventually(suspected("b")).Should(BeTrue())
	})

	It("reports only activity that it observed itself", func() {
		det.RecordActivity("u")
		det.RecordRemoteActivity("v", 0)
		Expect(det.ActiveUnits()).To(Equal(map[string]bool{"u": true}))
		clk.Advance(time.Second)
		Expect(det.ActiveUnits()).To(BeEmpty())
	})
})
