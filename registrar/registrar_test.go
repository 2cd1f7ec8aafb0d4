package registrar_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/registrar"
)

func member(id string, rank int, state registrar.State) registrar.Server {
	return registrar.Server{
		ID: id, Service: "s", Zone: "z", Domain: "d", Loaded: "m", Started: 1,
		Group: registrar.Membership{Name: "g", Epoch: 4, Rank: rank, State: state},
	}
}

var _ = Describe("Registrar", func() {
	var clk *clockwork.FakeClock
	var reg *registrar.Registrar
	BeforeEach(func() {
		clk = clockwork.NewFakeClock()
		reg = registrar.New(clk)
	})

	whole := []registrar.Server{member("a", 0, registrar.Open), member("b", 1, registrar.Ready)}
	change := func(num int, with func(ser *registrar.Server)) []registrar.Server {
		out := append([]registrar.Server(nil), whole...)
		with(&out[num])
		return out
	}
	DescribeTable("lets a group serve only while every member says that it is ready in it",
		func(list []registrar.Server, size int, want bool) {
			for _, ser := range list {
				reg.Put(ser)
			}
			vie := reg.View()
			serves := false
			for _, grp := range vie.Groups {
				serves = serves || vie.Serves(grp, size)
			}
			Expect(serves).To(Equal(want))
		},
		Entry("whole", whole, 2, true),
		Entry("a member missing", whole[:1], 2, false),
		Entry("more members than the model needs", whole, 1, false),
		Entry("the head is not open", change(0, func(ser *registrar.Server) { ser.Group.State = registrar.Ready }), 2, false),
		Entry("the head closes", change(0, func(ser *registrar.Server) { ser.Group.State = registrar.Draining }), 2, false),
		Entry("a member still joins", change(1, func(ser *registrar.Server) { ser.Group.State = registrar.Joining }), 2, false),
		Entry("a member is of another epoch", change(1, func(ser *registrar.Server) { ser.Group.Epoch = 5 }), 2, false),
		Entry("a member is of another group", change(1, func(ser *registrar.Server) { ser.Group.Name = "h" }), 2, false),
		Entry("a member drains", change(1, func(ser *registrar.Server) { ser.Draining = true }), 2, false),
		Entry("two members of one rank", change(1, func(ser *registrar.Server) { ser.Group.Rank = 0 }), 2, false),
	)

	It("keeps a server that vanished around an outage for a while, and no other", func() {
		reg.Put(whole[0])
		reg.Put(whole[1])
		reg.Remove("a", true)
		reg.Remove("b", false)
		Expect(reg.View().Servers).To(HaveLen(1))
		clk.Advance(registrar.ReturnWithin)
		reg.Tick()
		Expect(reg.View().Servers).To(BeEmpty())
	})

	It("does not end the wait for a server twice", func() {
		reg.Put(whole[0])
		reg.Remove("a", true)
		reg.Put(whole[0])
		clk.Advance(time.Hour)
		reg.Tick()
		Expect(reg.View().Servers).To(HaveKey("a"))
	})

	DescribeTable("confirms a suspicion only with another entry, with certainty, or alone",
		func(prepare func(reg *registrar.Registrar, lif registrar.Life, until time.Time), suspected, confirmed bool) {
			reg.Put(whole[0])
			lif := whole[0].Life()
			prepare(reg, lif, clk.Now().Add(time.Second))
			Expect(reg.View().Suspected(lif)).To(Equal(suspected))
			Expect(reg.View().Confirmed(lif)).To(Equal(confirmed))
			Expect(reg.View().Usable(whole[0])).To(Equal(!suspected))
			clk.Advance(2 * time.Second)
			reg.Tick()
			Expect(reg.View().Suspected(lif)).To(BeFalse())
		},
		Entry("own suspicion", func(reg *registrar.Registrar, lif registrar.Life, until time.Time) { reg.Suspect(lif, until, false) }, true, false),
		Entry("certain", func(reg *registrar.Registrar, lif registrar.Life, until time.Time) { reg.Suspect(lif, until, true) }, true, true),
		Entry("another entry's suspicion", func(reg *registrar.Registrar, lif registrar.Life, until time.Time) { reg.Support(lif, until) }, false, false),
		Entry("both", func(reg *registrar.Registrar, lif registrar.Life, until time.Time) {
			reg.Suspect(lif, until, false)
			reg.Support(lif, until)
		}, true, true),
		Entry("alone", func(reg *registrar.Registrar, lif registrar.Life, until time.Time) {
			reg.SetAlone(true)
			reg.Suspect(lif, until, false)
		}, true, true),
		Entry("answered again", func(reg *registrar.Registrar, lif registrar.Life, until time.Time) {
			reg.Suspect(lif, until, true)
			reg.Trust(lif)
		}, false, false),
	)

	It("gives nothing to servers in an availability zone that is out", func() {
		reg.Put(whole[0])
		reg.SetZonesOut(map[string]bool{"z": true})
		Expect(reg.View().Usable(whole[0])).To(BeFalse())
		reg.SetZonesOut(nil)
		Expect(reg.View().Usable(whole[0])).To(BeTrue())
	})
})
