package conductor_test

import (
	"context"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/conductor"
	"github.com/lovagelever/lovagelever/registrar"
)

// startWorld starts a simulation with one conductor and lets it form its groups.
func startWorld(seed uint64) *world {
	return startWorldOf(seed, 10)
}

// startWorldOf starts a simulation with as many engines in each of two domains.
func startWorldOf(seed uint64, each int) *world {
	wor := newWorld(seed, each)
	wor.early.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	wor.cancel = cancel
	DeferCleanup(wor.stop)
	wor.start(ctx)
	wor.run(8 * time.Second)
	wor.early.Store(false)
	return wor
}

var _ = Describe("Conductor", func() {
	It("forms complete groups of both models and keeps some on standby", func() {
		wor := startWorld(1)
		Expect(wor.countOpen("large")).To(Equal(2))
		Expect(wor.countOpen("small")).To(Equal(4))
		Expect(wor.violationsFound()).To(BeEmpty())
	})

	It("forms groups of servers that are listed while it plans", func() {
		wor := newWorld(5, 10)
		for _, eng := range wor.engines {
			eng.unlisted = true
		}
		wor.publish()
		wor.early.Store(true)
		wor.beforeView = func() {
			wor.mux.Lock()
			for _, eng := range wor.engines {
				if eng.unlisted {
					eng.unlisted = false
					break
				}
			}
			wor.mux.Unlock()
			wor.publish()
		}
		ctx, cancel := context.WithCancel(context.Background())
		wor.cancel = cancel
		DeferCleanup(wor.stop)
		wor.start(ctx)
		wor.run(10 * time.Second)
		grouped, staged := 0, 0
		for _, ser := range wor.reg.View().Servers {
			if ser.Group.State == registrar.Ready || ser.Group.State == registrar.Open {
				grouped++
			}
			if !slices.Equal(ser.Staged, []string{ser.Loaded}) {
				staged++
			}
		}
		Expect(grouped).To(Equal(20))
		Expect(staged).To(Equal(20), "servers whose hosts have the other model staged")
	})

	It("opens a standby group when one is lost, and forms one from the survivors", func() {
		wor := startWorld(2)
		head := wor.openHeads("large")[0]
		wor.mux.Lock()
		lost := wor.engines[head].members[1]
		wor.mux.Unlock()
		wor.change(lost, func(eng *engine) { eng.unreachable = true })
		wor.reg.SetNoPeers(true)
		wor.reg.Suspect(registrar.Instance{ID: lost, Started: 1}, wor.clk.Now().Add(time.Hour), false)
		wor.run(2 * time.Second)
		Expect(wor.countOpen("large")).To(Equal(2))
		Expect(wor.violationsFound()).To(BeEmpty())
	})

	DescribeTable("takes no member from a group whose head may still serve",
		func(change func(eng *engine), doubt bool) {
			wor := startWorld(3)
			for _, head := range wor.openHeads("large") {
				wor.change(head, change)
				if doubt {
					wor.reg.SetNoPeers(true)
					wor.reg.Suspect(registrar.Instance{ID: head, Started: 1}, wor.clk.Now().Add(time.Hour), false)
				}
			}
			wor.run(25 * time.Second)
			Expect(wor.violationsFound()).To(BeEmpty())
		},
		Entry("the head drains and no longer listens", func(eng *engine) { eng.Draining, eng.notListening = true, true }, false),
		Entry("the head is off the list without draining and no longer listens", func(eng *engine) { eng.unlisted, eng.notListening = true, true }, false),
		Entry("the head drains", func(eng *engine) { eng.Draining = true }, false),
		Entry("the head is off the list", func(eng *engine) { eng.unlisted = true }, false),
	)

	It("ignores the decisions of a replaced leader", func() {
		wor := startWorld(4)
		first := wor.leaders[0]
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		wor.start(ctx)
		for range 10 {
			head := wor.openHeads("small")[0]
			wor.change(head, func(eng *engine) { eng.Draining = true })
			wor.run(time.Second)
		}
		first.Store(false)
		wor.run(3 * time.Second)
		Expect(wor.violationsFound()).To(BeEmpty())
	})

	It("has no member join again a group that the former leader has formed", func() {
		wor := newWorld(6, 10)
		wor.early.Store(true)
		ctx, cancel := context.WithCancel(context.Background())
		wor.cancel = cancel
		DeferCleanup(wor.stop)
		wor.start(ctx)
		wor.listDelayed.Store(true)
		wor.run(500 * time.Millisecond)
		wor.leaders[0].Store(false)
		wor.start(ctx)
		wor.run(500 * time.Millisecond)
		wor.listDelayed.Store(false)
		wor.run(8 * time.Second)
		Expect(wor.violationsFound()).To(BeEmpty(), func() string { return wor.explain(6) })
		Expect(wor.countOpen("large")).To(Equal(2))
		Expect(wor.countOpen("small")).To(Equal(4))
	})

	It("goes on with servers whose last order changed nothing", func() {
		wor := newWorld(7, 10)
		staged := 0
		wor.beforeOrder = func(eng *engine, ord conductor.Order) {
			if ord.Kind == conductor.Stage {
				eng.Staged = []string{ord.Model}
				staged++
			}
		}
		wor.early.Store(true)
		ctx, cancel := context.WithCancel(context.Background())
		wor.cancel = cancel
		DeferCleanup(wor.stop)
		wor.start(ctx)
		wor.run(8 * time.Second)
		wor.early.Store(false)
		for _, head := range wor.openHeads("large") {
			wor.change(head, func(eng *engine) { eng.Draining = true })
		}
		wor.run(4 * time.Second)
		for _, ser := range wor.reg.View().Servers {
			Expect(ser.Draining && ser.Group.Name != "").To(BeFalse(), "%s is still in %s", ser.ID, ser.Group.Name)
		}
		Expect(wor.violationsFound()).To(BeEmpty(), func() string { return wor.explain(7) })
		wor.mux.Lock()
		defer wor.mux.Unlock()
		Expect(staged).To(BeNumerically(">=", 20))
	})

	It("keeps each server in one group under losses, late orders and leader changes", func() {
		for seed := range uint64(6) {
			wor := startWorld(100 + seed)
			wor.mux.Lock()
			wor.lateProbability = 0.3
			wor.mux.Unlock()
			ctx, cancel := context.WithCancel(context.Background())
			DeferCleanup(cancel)
			wor.injectFaults(ctx)
			Expect(wor.violationsFound()).To(BeEmpty(), func() string { return wor.explain(100 + seed) })
		}
	})
})

// injectFaults takes servers down and changes leaders at random.
func (wor *world) injectFaults(ctx context.Context) {
	const rounds = 12
	wor.injectSomeFaults(ctx, rounds)
}

func (wor *world) injectSomeFaults(ctx context.Context, rounds int) {
	wor.reg.SetNoPeers(true)
	for round := range rounds {
		wor.mux.Lock()
		var ids []string
		for id, eng := range wor.engines {
			if !eng.unreachable && !eng.unlisted {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		id := ids[wor.rng.IntN(len(ids))]
		kind := wor.rng.IntN(6)
		wor.mux.Unlock()
		switch kind {
		case 0:
			wor.change(id, func(eng *engine) { eng.unreachable = true })
			wor.reg.Suspect(registrar.Instance{ID: id, Started: 1}, wor.clk.Now().Add(time.Hour), false)
		case 1:
			wor.change(id, func(eng *engine) { eng.Draining = true })
		case 2:
			wor.change(id, func(eng *engine) { eng.Draining, eng.notListening = true, true })
		case 3:
			wor.change(id, func(eng *engine) { eng.unlisted = true })
		case 4:
			wor.change(id, func(eng *engine) {
				fresh := eng.Server
				fresh.Started, fresh.Group, fresh.Loaded, fresh.Staged = eng.Started+1, registrar.Membership{}, "", nil
				*eng = engine{Server: fresh}
			})
		case 5:
			last := wor.leaders[len(wor.leaders)-1]
			wor.start(ctx)
			if round%2 == 0 {
				last.Store(false)
			}
		}
		wor.mux.Lock()
		pause := time.Duration(200+wor.rng.IntN(2500)) * time.Millisecond
		wor.mux.Unlock()
		wor.run(pause)
	}
}
