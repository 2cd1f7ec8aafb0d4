package router_test

import (
	"fmt"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/router"
)

func table(routes ...router.Route) *router.Table {
	priority := 7
	tab, err := router.New(router.Config{
		Version: 3, Routes: routes,
		Services:   map[string]router.Service{"a": {Name: "a"}, "b": {Name: "b"}},
		Workspaces: []router.Workspace{{Name: "w", Keys: []string{"k1", "k2"}}, {Name: "v", Keys: []string{"k3"}, Priority: &priority}},
	})
	Expect(err).NotTo(HaveOccurred())
	return tab
}

func route(name, host, prefix string, targets ...router.Target) router.Route {
	if len(targets) == 0 {
		targets = []router.Target{{Service: "a", Weight: 1}}
	}
	return router.Route{Name: name, Host: host, Prefix: prefix, Targets: targets, Priority: 2}
}

var _ = Describe("Table", func() {
	routes := []router.Route{
		route("root", "h.example", "/"), route("short", "h.example", "/a/"),
		route("long", "h.example", "/a/b/"), route("other", "o.example", "/x/"),
	}
	DescribeTable("matches the longest prefix of the host",
		func(host, path, want string) {
			rou, found := table(routes...).Match(host, path)
			Expect(found).To(Equal(want != ""))
			Expect(rou.Name).To(Equal(want))
		},
		Entry("the longest", "h.example", "/a/b/c", "long"),
		Entry("the prefix itself", "h.example", "/a/b/", "long"),
		Entry("no trailing slash", "h.example", "/a/b", "short"),
		Entry("a prefix that ends within a path segment", "h.example", "/ab/c", "root"),
		Entry("a port and upper-case letters", "H.example:8080", "/a/x", "short"),
		Entry("another host", "o.example", "/a/b/c", ""),
		Entry("an unknown host", "n.example", "/", ""),
		Entry("empty path", "h.example", "", ""),
	)

	It("rejects a route to an unknown service", func() {
		_, err := router.New(router.Config{Routes: []router.Route{route("r", "h", "/", router.Target{Service: "none", Weight: 1})}})
		Expect(errors.Is(err, errors.NotValid)).To(BeTrue())
	})

	It("splits requests by weight, and always sends the same request to the same service", func() {
		rou := route("r", "h", "/", router.Target{Service: "a", Weight: 90}, router.Target{Service: "b", Weight: 10})
		tab := table(rou)
		counts := map[string]int{}
		for num := range 2000 {
			ser, found := tab.Target(rou, fmt.Sprint("id-", num))
			Expect(found).To(BeTrue())
			again, _ := tab.Target(rou, fmt.Sprint("id-", num))
			Expect(again.Name).To(Equal(ser.Name))
			counts[ser.Name]++
		}
		Expect(counts["b"]).To(BeNumerically("~", 200, 60))
	})

	It("finds a workspace by each of its keys, and its priority overrides the route's", func() {
		tab := table(routes...)
		for key, want := range map[string]string{"k1": "w", "k2": "w", "k3": "v"} {
			wsp, known := tab.Workspace(key)
			Expect(known).To(BeTrue())
			Expect(wsp.Name).To(Equal(want))
		}
		_, known := tab.Workspace("")
		Expect(known).To(BeFalse())
		wsp, _ := tab.Workspace("k3")
		Expect(tab.Priority(routes[0], wsp)).To(Equal(7))
		Expect(tab.Priority(routes[0], router.Workspace{})).To(Equal(2))
	})
})
