package observer_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/observer"
	"github.com/lovagelever/lovagelever/requester"
)

var statuses = []struct {
	name   string
	models []requester.Model
	want   int
}{
	{"no model", nil, 0},
	{"all wanted replicas", []requester.Model{{Wanted: 2, Serving: 2}}, 0},
	{"one missing replica", []requester.Model{{Wanted: 2, Serving: 1}, {Wanted: 1, Serving: 1}}, 1},
	{"a surplus of one model and a shortage of another", []requester.Model{{Wanted: 2, Serving: 3}, {Wanted: 3, Serving: 1}}, 2},
}

var _ = Describe("MissingReplicas", func() {
	for _, cas := range statuses {
		It("counts "+cas.name, func() {
			Expect(observer.MissingReplicas(requester.Status{Models: cas.models})).To(Equal(cas.want))
		})
	}
})
