package admitter_test

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/admitter"
	"github.com/lovagelever/lovagelever/limiter"
	"github.com/lovagelever/lovagelever/refuser"
)

type result struct {
	ticket admitter.Ticket
	err    error
}

var _ = Describe("Admitter", func() {
	var clk *clockwork.FakeClock
	var adm *admitter.Admitter
	cfg := admitter.Config{Name: "u", Fence: 7, State: admitter.Serving, ColdLimit: 2, WarmLimit: 8, NoPriorAdmissions: true}

	BeforeEach(func() {
		clk = clockwork.NewFakeClock()
		adm = admitter.New(admitter.Options{Incarnation: "e1", Clock: clk})
		adm.Update(cfg)
	})

	admit := func(req admitter.Request) (admitter.Ticket, error) {
		req.Unit, req.Holder = "u", "h-"+req.ID
		return adm.Admit(context.Background(), req)
	}
	waiting := func() int {
		sta, _ := adm.Status("u")
		return sta.Waiting
	}
	admitLater := func(req admitter.Request) chan result {
		out := make(chan result, 1)
		before := waiting()
		go func() {
			tic, err := admit(req)
			out <- result{tic, err}
		}()
		Eventually(waiting).Should(Equal(before + 1))
		return out
	}
	fillColdLimit := func() []admitter.Ticket {
		var out []admitter.Ticket
		for num := range 2 {
			tic, err := admit(admitter.Request{ID: fmt.Sprint("r", num)})
			Expect(err).NotTo(HaveOccurred())
			out = append(out, tic)
		}
		return out
	}

	It("grants tickets up to the cold limit and reuses a released slot", func() {
		tics := fillColdLimit()
		Expect(tics[0]).To(Equal(admitter.Ticket{ID: "e1-1", Unit: "u", Fence: 7, ValidFor: time.Second}))
		out := admitLater(admitter.Request{ID: "w"})
		Expect(waiting()).To(Equal(1))
		Expect(adm.Release(tics[0].ID, limiter.Outcome{})).To(Succeed())
		Expect((<-out).err).NotTo(HaveOccurred())
		Expect(errors.Is(adm.Release(tics[0].ID, limiter.Outcome{}), errors.NotFound)).To(BeTrue())
	})

	refusals := []struct {
		name string
		end  func()
	}{
		{"for a quiesced unit", func() { adm.Quiesce("u") }},
		{"for a unit whose availability zone is taken out of service", func() { out := cfg; out.State = admitter.ZoneDisabled; adm.Update(out) }},
		{"for a unit that moves to another home", func() { out := cfg; out.State = admitter.NotHome; adm.Update(out) }},
		{"for a unit that is formed again with a new fencing token", func() { out := cfg; out.Fence = 8; out.NoPriorAdmissions = false; adm.Update(out) }},
		{"for a dissolved unit", func() { adm.Remove("u") }},
		{"past its deadline", func() { clk.Advance(3 * time.Second) }},
		{"that is withdrawn", func() { _ = adm.Withdraw("u", "w") }},
		{"of an evicted holder", func() { adm.DropHolder("h-w") }},
	}
	for _, tst := range refusals {
		It("refuses a queued request "+tst.name, func() {
			fillColdLimit()
			out := admitLater(admitter.Request{ID: "w", Within: 2 * time.Second})
			Expect(clk.BlockUntilContext(context.Background(), 1)).To(Succeed())
			tst.end()
			Expect(refuser.FromError((<-out).err).Type).To(Equal(refuser.TypeNotRun))
		})
	}

	It("keeps the slot of an evicted holder occupied until a later report shows that it is free", func() {
		fillColdLimit()
		adm.DropHolder("h-r0")
		out := admitLater(admitter.Request{ID: "w"})
		adm.Report("u", limiter.Report{At: clk.Now(), Running: 1})
		Expect(waiting()).To(Equal(1))
		clk.Advance(3 * time.Second)
		adm.Report("u", limiter.Report{At: clk.Now(), Running: 1})
		Expect((<-out).err).NotTo(HaveOccurred())
	})

	It("accepts a handoff only with the same fencing token and term", func() {
		fillColdLimit()
		out := admitLater(admitter.Request{ID: "w"})
		han, err := adm.HandOver("u", 9)
		Expect(err).NotTo(HaveOccurred())
		Expect(refuser.FromError((<-out).err).Type).To(Equal(refuser.TypeNotRun))
		nex := cfg
		nex.NoPriorAdmissions = false
		for _, tst := range []struct{ fence, term int64 }{{7, 8}, {8, 9}, {7, 9}} {
			suc := admitter.New(admitter.Options{Clock: clk})
			nex.Fence, nex.Term = tst.fence, tst.term
			suc.Update(nex)
			Expect(suc.TakeOver(han) == nil).To(Equal(tst.fence == 7 && tst.term == 9))
			sta, _ := suc.Status("u")
			Expect(sta.ForeignLoad).To(Equal(map[bool]int{true: 2}[tst.fence == 7 && tst.term == 9]))
		}
	})

	It("runs one suspect request at a time", func() {
		tic, err := admit(admitter.Request{ID: "s1", Suspect: true})
		Expect(err).NotTo(HaveOccurred())
		out := admitLater(admitter.Request{ID: "s2", Suspect: true})
		_, err = admit(admitter.Request{ID: "plain"})
		Expect(err).NotTo(HaveOccurred())
		Expect(adm.Release(tic.ID, limiter.Outcome{})).To(Succeed())
		Expect((<-out).err).NotTo(HaveOccurred())
	})

	It("refuses suspect requests while one whose holder was evicted may still run", func() {
		_, err := admit(admitter.Request{ID: "s1", Suspect: true})
		Expect(err).NotTo(HaveOccurred())
		out := admitLater(admitter.Request{ID: "s2", Suspect: true})
		adm.DropHolder("h-s1")
		Expect(refuser.FromError((<-out).err).Type).To(Equal(refuser.TypeNotRun))
		_, err = admit(admitter.Request{ID: "s3", Suspect: true})
		Expect(refuser.FromError(err).Type).To(Equal(refuser.TypeNotRun))
		clk.Advance(3 * time.Second)
		adm.Report("u", limiter.Report{At: clk.Now()})
		_, err = admit(admitter.Request{ID: "s4", Suspect: true})
		Expect(err).NotTo(HaveOccurred())
	})

	It("refuses a second request with the ID of one that has a ticket", func() {
		fillColdLimit()
		_, err := admit(admitter.Request{ID: "r0"})
		Expect(refuser.FromError(err).Type).To(Equal(refuser.TypeConflict))
	})
})
