package linkchecker_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/linkchecker"
	"github.com/lovagelever/lovagelever/registrar"
)

// site is a set of backend servers of the services a and b, of which some answer.
type site struct {
	mux     sync.Mutex
	clk     *clockwork.FakeClock
	servers map[string]int
	answers func(ser registrar.Server) bool
	others  bool
	// duration is how long a probe without an answer takes.
	duration time.Duration
	probes   int
	changes  [][]string
	chk      *linkchecker.Checker
}

func newSite(servers map[string]int) *site {
	sit := &site{clk: clockwork.NewFakeClock(), servers: servers, others: true, answers: func(registrar.Server) bool { return true }}
	log := logrus.New()
	log.SetOutput(io.Discard)
	sit.chk = linkchecker.New(linkchecker.Options{
		Sample: sit.sample, Probe: sit.probe, OthersReach: func(string) bool { return sit.others },
		OnChange: func(silent []string) { sit.changes = append(sit.changes, silent) }, Clock: sit.clk, Logger: log.WithField("test", true),
	})
	return sit
}

func (sit *site) sample(service string, num int) []registrar.Server {
	var out []registrar.Server
	for name, count := range sit.servers {
		for pos := range count {
			if service == "" || service == name {
				out = append(out, registrar.Server{ID: fmt.Sprint(name, pos), Service: name})
			}
		}
	}
	return out[:min(num, len(out))]
}

func (sit *site) probe(_ context.Context, ser registrar.Server) error {
	sit.mux.Lock()
	defer sit.mux.Unlock()
	sit.probes++
	if sit.answers(ser) {
		return nil
	}
	sit.clk.Advance(sit.duration)
	return errors.New("no answer")
}

// only answers as the servers of the listed services do.
func (sit *site) only(services ...string) {
	sit.answers = func(ser registrar.Server) bool {
		for _, service := range services {
			if ser.Service == service {
				return true
			}
		}
		return false
	}
}

var _ = Describe("Checker", func() {
	It("finds the links to a service lost when none of its servers answers, and no others", func() {
		sit := newSite(map[string]int{"a": 20, "b": 3})
		sit.only("b")
		signal := sit.chk.LostSignal("a")
		Expect(sit.chk.ConfirmLost("a")).To(BeTrue())
		Expect(sit.chk.ConfirmLost("b")).To(BeFalse())
		Expect(signal).To(BeClosed())
		Expect(sit.chk.Silent()).To(Equal([]string{"a"}))
		Expect(sit.changes).To(Equal([][]string{{"a"}}))
	})

	It("takes one server that does not answer for a failure of that server", func() {
		sit := newSite(map[string]int{"a": 20})
		sit.answers = func(ser registrar.Server) bool { return ser.ID != "a0" }
		Expect(sit.chk.ConfirmLost("a")).To(BeFalse())
		Expect(sit.changes).To(BeEmpty())
	})

	cases := []struct {
		name    string
		prepare func(sit *site)
	}{
		{"a server has just answered on a new connection", func(sit *site) { sit.chk.RecordAnswer("a") }},
		{"no other entry reaches the service", func(sit *site) { sit.others = false }},
		{"there are too few servers to tell", func(sit *site) { sit.servers = map[string]int{"a": 2} }},
		{"this entry is too slow to judge", func(sit *site) { sit.duration = 150 * time.Millisecond }},
	}
	for _, cas := range cases {
		It("does not find the links lost when "+cas.name, func() {
			sit := newSite(map[string]int{"a": 20})
			sit.only()
			cas.prepare(sit)
			Expect(sit.chk.ConfirmLost("a")).To(BeFalse())
			Expect(sit.chk.LostSignal("a")).NotTo(BeClosed())
		})
	}

	It("judges a service with few servers by those of all services", func() {
		sit := newSite(map[string]int{"a": 20, "b": 1})
		sit.only()
		Expect(sit.chk.ConfirmLost("b")).To(BeTrue())
		sit.only("a")
		sit.chk.Recheck("b")
		Expect(sit.chk.Lost("b")).To(BeFalse())
	})

	It("probes once for many failures at a time", func() {
		sit := newSite(map[string]int{"a": 20})
		for range 50 {
			sit.chk.ConfirmLost("a")
		}
		Expect(sit.probes).To(Equal(1))
	})

	It("finds the links working again once most of the servers answer", func() {
		sit := newSite(map[string]int{"a": 5})
		sit.only()
		Expect(sit.chk.ConfirmLost("a")).To(BeTrue())
		sit.answers = func(ser registrar.Server) bool { return ser.ID == "a0" }
		sit.chk.Recheck("a")
		Expect(sit.chk.Lost("a")).To(BeTrue())
		sit.only("a")
		sit.chk.Recheck("a")
		Expect(sit.chk.Lost("a")).To(BeFalse())
		Expect(sit.chk.LostSignal("a")).NotTo(BeClosed())
		Expect(sit.changes).To(HaveLen(2))
	})

	It("is not misled by answers on connections that live on while the links are lost", func() {
		sit := newSite(map[string]int{"a": 5})
		sit.only()
		Expect(sit.chk.ConfirmLost("a")).To(BeTrue())
		sit.chk.RecordAnswer("a")
		Expect(sit.chk.Lost("a")).To(BeTrue())
	})
})
