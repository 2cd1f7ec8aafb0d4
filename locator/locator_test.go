package locator

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/balancer"
	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/recorder"
	"github.com/lovagelever/lovagelever/reducer"
)

func TestLocator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "locator")
}

// site simulates four entries; e1 is the home of g1 and e2 the home of g2.
type site struct {
	view       reducer.View
	cands      []balancer.Candidate
	unusable   []string
	noPrefixes bool
}

func newSite() *site {
	sit := &site{view: reducer.View{
		Members: map[string]reducer.Member{},
		Homes:   map[string]reducer.Home{"g1": {Incarnation: "e1"}, "g2": {Incarnation: "e2"}},
		Catalog: cataloger.Catalog{Inventory: cataloger.Inventory{Workspaces: map[string]cataloger.WorkspaceSpec{"halls": {Models: []string{"m"}}}}},
	}, cands: []balancer.Candidate{{Unit: "g1", Limit: 4}}}
	for _, name := range []string{"e0", "e1", "e2", "e3"} {
		sit.view.Members[name] = reducer.Member{Member: recorder.Member{Name: name, Incarnation: name, Address: name, Zone: "zone of " + name}}
	}
	return sit
}

func (sit *site) Usable(mem reducer.Member) bool { return !slices.Contains(sit.unusable, mem.Name) }

func (sit *site) Prefix(inc string) (string, bool) {
	return "keys of " + inc, !sit.noPrefixes || inc == "e0"
}

func (sit *site) candidates(_ *reducer.View, model string) []balancer.Candidate {
	if model != "m" {
		return nil
	}
	return sit.cands
}

var _ = Describe("the answer to a workspace", func() {
	drain := func(sit *site, name string) {
		mem := sit.view.Members[name]
		mem.Draining = true
		sit.view.Members[name] = mem
	}
	cases := []struct {
		name   string
		change func(sit *site)
		entry  string
		not    []string
		prefix string
	}{
		{"is the home of its group", func(*site) {}, "e1", nil, "keys of e1"},
		{"is a home with free capacity before a full one", func(sit *site) {
			sit.cands = []balancer.Candidate{{Unit: "g1", Limit: 4, Running: 4}, {Unit: "g2", Limit: 4}}
		}, "e2", nil, "keys of e2"},
		{"is a home without a queue before one with", func(sit *site) {
			sit.cands = []balancer.Candidate{{Unit: "g1", Limit: 4, Queued: 1}, {Unit: "g2", Limit: 4}}
		}, "e2", nil, "keys of e2"},
		{"is a home with free capacity before a full one, regardless of their order", func(sit *site) {
			sit.cands = []balancer.Candidate{{Unit: "g1", Limit: 4}, {Unit: "g2", Limit: 4, Running: 4}}
		}, "e1", nil, "keys of e1"},
		{"is another entry when the home drains", func(sit *site) { drain(sit, "e1") }, "", []string{"e1"}, ""},
		{"is another entry when the home's availability zone is out", func(sit *site) {
			sit.view.Catalog.Rules.DisabledZones = []string{"zone of e1"}
		}, "", []string{"e1"}, ""},
		{"is another entry when the home accepts no work", func(sit *site) { sit.unusable = []string{"e1"} }, "", []string{"e1"}, ""},
		{"is an entry even if no group serves the model", func(sit *site) { sit.cands = nil }, "", nil, ""},
		{"has the prefix of this entry when the home's is not known", func(sit *site) { sit.noPrefixes = true }, "e1", nil, "keys of e0"},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			sit := newSite()
			cas.change(sit)
			loc := New(Options{
				View: func() *reducer.View { return &sit.view }, Candidates: sit.candidates, Entries: sit,
				Self: func() string { return "e0" }, ValidFor: 1500 * time.Millisecond,
			})
			ans := loc.Locate("halls", "")
			Expect(ans).To(Equal(loc.Locate("halls", "m")), "the workspace's first model")
			Expect(ans.ValidMS).To(BeEquivalentTo(1500))
			Expect(ans.Entry).NotTo(BeElementOf(append(cas.not, "", ans.Second)))
			Expect(ans.Second).NotTo(BeElementOf(append(cas.not, "")))
			if cas.entry != "" {
				Expect(ans.Entry).To(Equal(cas.entry))
				Expect(ans.KeyPrefix).To(Equal(cas.prefix))
			}
		})
	}

	It("is empty when no entry accepts work", func() {
		sit := newSite()
		sit.unusable = []string{"e0", "e1", "e2", "e3"}
		loc := New(Options{View: func() *reducer.View { return &sit.view }, Candidates: sit.candidates, Entries: sit, Self: func() string { return "e0" }})
		Expect(loc.Locate("halls", "m")).To(Equal(Answer{}))
	})
})
