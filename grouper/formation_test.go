package grouper_test

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/grouper"
	"github.com/lovagelever/lovagelever/registrar"
)

var _ = Describe("Formation", func() {
	// Guards against groups that are closed at once, with all their work, because a leaving member stops listening first.
	It("is leaving, not lost, when a member that drains has stopped listening", func() {
		clk := clockwork.NewFakeClock()
		reg := registrar.New(clk)
		head := registrar.Server{ID: "a", Started: 1, Group: registrar.Membership{Name: "g", Epoch: 1, State: registrar.Open}}
		mem := registrar.Server{ID: "b", Started: 1, Draining: true, Group: registrar.Membership{Name: "g", Epoch: 1, Rank: 1, State: registrar.Ready}}
		reg.Put(head)
		reg.Put(mem)
		frm := grouper.Formation{Name: "g", Epoch: 1, Members: []registrar.Instance{head.Instance(), mem.Instance()}}
		reg.Suspect(mem.Instance(), clk.Now().Add(time.Second), true)
		Expect(frm.Check(reg.View())).To(Equal(grouper.Leaving))
		reg.Suspect(head.Instance(), clk.Now().Add(time.Second), true)
		Expect(frm.Check(reg.View())).To(Equal(grouper.Lost))
	})
})
