package router_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/router"
)

var _ = Describe("Classes of urgency", func() {
	on := func(service string, priority int) router.Route {
		return router.Route{Name: service, Host: "h", Prefix: "/", Priority: priority, Targets: []router.Target{{Service: service, Weight: 1}}}
	}
	services := map[string]router.Service{"a": {Name: "a"}, "b": {Name: "b"}}

	It("follow the priorities of the service's routes", func() {
		tab, err := router.New(router.Config{Services: services, Routes: []router.Route{on("a", 30), on("a", 2), on("a", 2), on("b", 5), on("b", 5)}})
		Expect(err).NotTo(HaveOccurred())
		Expect([]int{tab.Urgency("a", 2), tab.Urgency("a", 30)}).To(Equal([]int{1, 2}))
		Expect(tab.Urgency("b", 5)).To(BeZero(), "there is one priority")
		Expect(tab.Urgency("none", 5)).To(BeZero())
	})

	It("count the priorities of workspaces", func() {
		first := 0
		tab, err := router.New(router.Config{Services: services, Routes: []router.Route{on("b", 5)}, Workspaces: []router.Workspace{{Name: "w", Priority: &first}, {Name: "v"}}})
		Expect(err).NotTo(HaveOccurred())
		Expect([]int{tab.Urgency("b", 0), tab.Urgency("b", 5)}).To(Equal([]int{1, 2}))
	})
})
