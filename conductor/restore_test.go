package conductor_test

import (
	"context"
	"os"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/conductor"
	"github.com/lovagelever/lovagelever/registrar"
)

// restoreSeeds returns the numbers of the seeds that the randomised specs play.
func restoreSeeds() []uint64 {
	count := uint64(4)
	if num, err := strconv.ParseUint(os.Getenv("LOVAGELEVER_SEEDS"), 10, 64); err == nil {
		count = num
	}
	first, err := strconv.ParseUint(os.Getenv("LOVAGELEVER_FIRST_SEED"), 10, 64)
	if err != nil {
		first = 0
	}
	var out []uint64
	for num := range count {
		out = append(out, first+num)
	}
	return out
}

var _ = Describe("Conductor whose store comes back from an older copy", func() {
	It("keeps the groups whose decisions are lost, and records them again", func() {
		wor := startWorld(21)
		large, small := wor.groupsOf("large"), wor.groupsOf("small")
		heads := wor.openHeads("small")
		wor.restore(1000)
		wor.change(heads[0], func(eng *engine) { eng.Draining = true })
		wor.run(8 * time.Second)
		Expect(wor.groupsOf("large")).To(Equal(large))
		for _, name := range append(large, small...) {
			if slices.Contains(wor.groupsOf("small"), name) || slices.Contains(large, name) {
				Expect(wor.recordedGroups()).To(HaveKey(name))
			}
		}
		Expect(wor.violationsFound()).To(BeEmpty())
	})

	It("keeps them when the leader that decided is gone, too", func() {
		wor := startWorld(22)
		large := wor.groupsOf("large")
		wor.restore(1000)
		wor.leaders[0].Store(false)
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		wor.start(ctx)
		wor.run(8 * time.Second)
		Expect(wor.groupsOf("large")).To(Equal(large))
		for _, name := range large {
			Expect(wor.recordedGroups()).To(HaveKey(name))
		}
		Expect(wor.violationsFound()).To(BeEmpty())
	})

	It("ends a decision that comes back though its servers are in later groups", func() {
		wor := startWorld(23)
		before := wor.recordedGroups()
		wor.mux.Lock()
		records := len(wor.records)
		wor.mux.Unlock()
		lost := wor.openHeads("large")[0]
		wor.change(lost, func(eng *engine) { eng.unreachable = true })
		wor.reg.SetNoPeers(true)
		wor.reg.Suspect(registrar.Instance{ID: lost, Started: 1}, wor.clk.Now().Add(time.Hour), false)
		wor.run(6 * time.Second)
		open := append(wor.groupsOf("large"), wor.groupsOf("small")...)
		wor.mux.Lock()
		since := len(wor.records) - records
		wor.mux.Unlock()
		Expect(since).To(BeNumerically(">", 0))
		wor.restore(since)
		wor.run(8 * time.Second)
		now := append(wor.groupsOf("large"), wor.groupsOf("small")...)
		for _, name := range open {
			Expect(now).To(ContainElement(name), "of %v before", before)
		}
		Expect(wor.violationsFound()).To(BeEmpty())
	})

	It("takes no member from a group that an order of the former leader opens after its decision is lost", func() {
		wor := startWorldOf(24, 16)
		lost := wor.standbyHeads()
		Expect(lost).NotTo(BeEmpty())
		wor.leaders[0].Store(false)
		wor.run(time.Second)
		wor.restore(1000)
		var opened []string
		wor.mux.Lock()
		wor.beforeOrder = func(eng *engine, ord conductor.Order) {
			head := wor.headOf(ord.Group)
			if ord.Kind != conductor.Leave || head == nil || len(head.members) < 2 || head.Group.State != registrar.Ready {
				return
			}
			late := conductor.Order{Kind: conductor.Open, ExpectedOrders: head.orders, Group: ord.Group, Epoch: ord.Epoch}
			Expect(wor.execute(head, late, "leader 0, late")).To(Succeed())
			opened = append(opened, ord.Group)
		}
		wor.mux.Unlock()
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		wor.start(ctx)
		wor.run(8 * time.Second)
		Expect(wor.violationsFound()).To(BeEmpty(), func() string { return wor.explain(24) })
		Expect(opened).NotTo(BeEmpty())
		for _, name := range opened {
			Expect(wor.recordedGroups()).To(HaveKey(name))
		}
	})

	It("sends no order on a decision that the store has lost", func() {
		wor := startWorldOf(25, 16)
		Expect(wor.standbyHeads()).NotTo(BeEmpty())
		wor.restore(1000)
		var unrecorded []string
		wor.mux.Lock()
		wor.beforeOrder = func(_ *engine, ord conductor.Order) {
			if (ord.Kind == conductor.Join || ord.Kind == conductor.Open) && !wor.hasRecord(ord.Group) {
				unrecorded = append(unrecorded, ord.Group)
			}
		}
		wor.mux.Unlock()
		for _, head := range wor.openHeads("small") {
			wor.change(head, func(eng *engine) { eng.Draining = true })
		}
		wor.run(8 * time.Second)
		wor.mux.Lock()
		defer wor.mux.Unlock()
		Expect(unrecorded).To(BeEmpty())
	})

	It("opens no group that comes back while orders of its lost end may still arrive", func() {
		wor := startWorldOf(26, 16)
		heads := wor.standbyHeads()
		Expect(heads).NotTo(BeEmpty())
		wor.mux.Lock()
		late := wor.clk.Now().Add(3 * time.Second)
		for _, head := range heads {
			for _, id := range wor.engines[head].members[1:] {
				mem := wor.engines[id]
				ord := conductor.Order{Kind: conductor.Leave, ExpectedOrders: mem.orders, Group: mem.Group.Name, Epoch: mem.Group.Epoch}
				wor.pending = append(wor.pending, lateOrder{at: late, id: id, ord: ord, leader: "leader 0"})
			}
		}
		wor.mux.Unlock()
		wor.restore(0)
		for _, head := range wor.openHeads("small") {
			wor.change(head, func(eng *engine) { eng.unreachable = true })
			wor.reg.Suspect(registrar.Instance{ID: head, Started: 1}, wor.clk.Now().Add(time.Hour), true)
		}
		wor.run(8 * time.Second)
		Expect(wor.violationsFound()).To(BeEmpty(), func() string { return wor.explain(26) })
	})

	It("gives no number of a group that ended before anyone had joined it to another one", func() {
		wor := newWorld(28, 10)
		wor.early.Store(true)
		wor.restore(0)
		wor.lateProbability = 1
		wor.change("e0-00", func(eng *engine) {
			eng.Group = registrar.Membership{Name: "g30", Epoch: 30, Rank: 1, State: registrar.Ready}
		})
		ctx, cancel := context.WithCancel(context.Background())
		wor.cancel = cancel
		DeferCleanup(wor.stop)
		wor.start(ctx)
		wor.run(500 * time.Millisecond)
		wor.mux.Lock()
		decided := slices.Clone(wor.decided)
		wor.mux.Unlock()
		Expect(decided).NotTo(BeEmpty())
		for _, frm := range slices.Backward(decided) {
			wor.change(frm.Members[0].ID, func(eng *engine) {
				eng.Draining = true
				wor.pending = nil
			})
			wor.run(time.Second)
		}
		Expect(wor.violationsFound()).To(BeEmpty(), func() string { return wor.explain(28) })
	})

	It("gives out no number twice and takes no server from an open group under losses, late orders, leader changes and copies", func() {
		for _, seed := range restoreSeeds() {
			playCopies(5000+seed, func(wor *world, ctx context.Context) {
				wor.injectSomeFaults(ctx, 4)
			})
		}
	})

	It("takes no server from an open group while leaders that were replaced or paused go on", func() {
		for _, seed := range restoreSeeds() {
			playCopies(7000+seed, func(wor *world, ctx context.Context) {
				wor.mux.Lock()
				wor.pauseProbability = 0.05
				wor.mux.Unlock()
				last := wor.leaders[len(wor.leaders)-1]
				wor.start(ctx)
				wor.injectSomeFaults(ctx, 2)
				last.Store(false)
				wor.injectSomeFaults(ctx, 2)
			})
		}
	})
})

// playCopies plays one seed, in which the store comes back from an older copy several times, and ends its leaders also when it fails.
func playCopies(seed uint64, disturb func(wor *world, ctx context.Context)) {
	wor := startWorld(seed)
	defer wor.stop()
	wor.mux.Lock()
	wor.lateProbability = 0.2
	wor.mux.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 3 {
		wor.mux.Lock()
		lost := wor.rng.IntN(12)
		wor.mux.Unlock()
		wor.restore(lost)
		disturb(wor, ctx)
	}
	wor.run(3 * time.Second)
	Expect(wor.violationsFound()).To(BeEmpty(), func() string { return wor.explain(seed) })
}
