package conductor_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/registrar"
)

var _ = Describe("Conductor that closes a group", func() {
	// Guards against requests that are lost because their head misses one report while it finishes them.
	It("leaves a head that is silent for a moment its requests", func() {
		wor := startWorld(2)
		head := wor.openHeads("large")[0]
		wor.mux.Lock()
		member, group := wor.engines[head].members[1], wor.engines[head].Group.Name
		wor.mux.Unlock()
		wor.change(head, func(eng *engine) { eng.drainsFor = 6 * time.Second })
		wor.change(member, func(eng *engine) { eng.Draining = true })
		for tries := 0; tries < 20 && wor.stateOf(head) != registrar.Draining; tries++ {
			wor.run(100 * time.Millisecond)
		}
		Expect(wor.stateOf(head)).To(Equal(registrar.Draining))
		wor.change(member, func(eng *engine) { eng.Draining = false })
		wor.run(100 * time.Millisecond)
		wor.change(head, func(eng *engine) { eng.unreachable = true })
		wor.run(time.Second)
		wor.change(head, func(eng *engine) { eng.unreachable = false })
		wor.run(2500 * time.Millisecond)
		wor.mux.Lock()
		defer wor.mux.Unlock()
		Expect(wor.violations).To(BeEmpty())
		Expect(wor.engines[head].Group.Name).To(Equal(group))
	})
})

func (wor *world) stateOf(id string) registrar.State {
	wor.mux.Lock()
	defer wor.mux.Unlock()
	return wor.engines[id].Group.State
}
