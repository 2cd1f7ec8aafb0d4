package gateway_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/explainer"
)

var _ = Describe("An explanation", func() {
	It("names the unit that a request would go to, and sends it nothing", func() {
		one := newWorker(whole(200, "ok"))
		wor := newWorld(safe, one)
		exp := wor.gat.Explain(explainer.Question{Host: "h.example", Path: "/p/x", Workspace: "w"}, wor.dis.Explain)
		Expect(exp.Refusal).To(BeNil())
		Expect(exp.Route).To(Equal("r"))
		Expect(exp.Preferred).To(Equal("u0"))
		Expect(one.runs()).To(BeZero())
		Expect(wor.dis.Running()).To(BeEmpty())
	})

	for _, cas := range []struct {
		name   string
		que    explainer.Question
		units  bool
		status int
	}{
		{"an unknown route", explainer.Question{Host: "h.example", Path: "/q/", Workspace: "w"}, true, 404},
		{"an unknown workspace", explainer.Question{Host: "h.example", Path: "/p/", Workspace: "v"}, true, 404},
		{"no unit", explainer.Question{Host: "h.example", Path: "/p/", Workspace: "w"}, false, 503},
	} {
		It("names the refusal for "+cas.name, func() {
			wor := newWorld(safe, newWorker(whole(200, "ok")))
			if !cas.units {
				wor.dis.SetUnits(nil)
			}
			exp := wor.gat.Explain(cas.que, wor.dis.Explain)
			Expect(exp.Refusal).NotTo(BeNil())
			Expect(exp.Refusal.Status).To(Equal(cas.status))
		})
	}
})
