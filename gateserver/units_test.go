package gateserver

import (
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
)

var _ = Describe("Readiness of a replica group", func() {
	const service, model, size = "s", "m", 2
	tab := router.Service{Name: service, Engine: &router.Engine{Slots: 4, Models: []router.Model{{Name: model, Size: size}}}}
	member := func(rank int, sta registrar.State) registrar.Server {
		return registrar.Server{
			ID: string(rune('a' + rank)), Service: service, Started: 1, Loaded: model,
			Group: registrar.Membership{Name: "g", Epoch: 1, Rank: rank, State: sta},
		}
	}
	// Guards against streams that are cut because one entry misses the answers of a sound member.
	for _, cas := range []struct {
		name  string
		apply func(reg *registrar.Registrar, now time.Time)
		want  dispatcher.Readiness
	}{
		{"all members answer", func(*registrar.Registrar, time.Time) {}, dispatcher.Serving},
		{"a member does not answer this entry", func(reg *registrar.Registrar, now time.Time) {
			reg.Suspect(member(1, "").Instance(), now.Add(time.Second), false)
		}, dispatcher.Suspected},
		{"a member answers neither this entry nor another one", func(reg *registrar.Registrar, now time.Time) {
			reg.Suspect(member(1, "").Instance(), now.Add(time.Second), false)
			reg.AddRemoteSuspicions([]registrar.Instance{member(1, "").Instance()}, now.Add(time.Second))
		}, dispatcher.Suspected},
		{"nothing listens at the address of a member", func(reg *registrar.Registrar, now time.Time) {
			reg.Suspect(member(1, "").Instance(), now.Add(time.Second), true)
		}, dispatcher.Broken},
		{"the head reports that it is broken", func(reg *registrar.Registrar, _ time.Time) {
			reg.Put(member(0, registrar.Broken))
		}, dispatcher.Broken},
		{"a member drains", func(reg *registrar.Registrar, _ time.Time) {
			ser := member(1, registrar.Ready)
			ser.Draining = true
			reg.Put(ser)
		}, dispatcher.Stopping},
		{"a member that drains has stopped listening", func(reg *registrar.Registrar, now time.Time) {
			ser := member(1, registrar.Ready)
			ser.Draining = true
			reg.Put(ser)
			reg.Suspect(ser.Instance(), now.Add(time.Second), true)
		}, dispatcher.Suspected},
	} {
		It("is as certain as what is known when "+cas.name, func() {
			clk := clockwork.NewFakeClock()
			reg := registrar.New(clk)
			reg.Put(member(0, registrar.Open))
			reg.Put(member(1, registrar.Ready))
			cas.apply(reg, clk.Now())
			vie := reg.View()
			head, _ := vie.Groups[0].Head()
			var out unitTable
			out.members = map[string][]registrar.Server{}
			out.addGroup(tab, vie, vie.Groups[0], head)
			Expect(out.list).To(HaveLen(1))
			Expect(out.list[0].Readiness).To(Equal(cas.want))
		})
	}
})
