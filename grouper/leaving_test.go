package grouper_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/grouper"
	"github.com/lovagelever/lovagelever/registrar"
)

var _ = Describe("a plan with a server that has said in an answer that it leaves", func() {
	cases := []struct {
		name string
		id   string
		// dissolved is the group that ends, empty if none does.
		dissolved string
	}{
		{"head of a group", "l0-0", "l0"},
		{"member of a group", "l0-3", "l0"},
		{"head of a standby group", "x1-0", "x1"},
		{"member of a standby group", "x1-1", "x1"},
		{"spare", "spare", ""},
	}
	for _, cas := range cases {
		It("is the same as with one whose record says draining: "+cas.name, func() {
			plans := map[bool]grouper.Plan{}
			for _, listed := range []bool{true, false} {
				fix := newFixture()
				fix.addServingGroups()
				fix.addServer("spare", "d0", func(ser *registrar.Server) { ser.Loaded, ser.Staged = "small", []string{"large", "small"} })
				ser := fix.reg.View().Servers[cas.id]
				if listed {
					ser.Draining = true
					fix.reg.Put(ser)
				} else {
					fix.reg.MarkLeaving(ser.Instance())
				}
				plans[listed] = fix.plan()
			}
			Expect(plans[false]).To(Equal(plans[true]))
			if cas.dissolved != "" {
				Expect(names(append(plans[false].Dissolve, plans[false].Retire...))).To(ContainElement(cas.dissolved))
			}
		})
	}
})
