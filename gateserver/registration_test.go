package gateserver_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/advertiser"
	"github.com/lovagelever/lovagelever/gateserver"
	"github.com/lovagelever/lovagelever/tailer"
)

var _ = Describe("Registration of an entry", func() {
	var sto *store
	var registered atomic.Int64
	var self atomic.Pointer[advertiser.Entry]
	// rewrite is what another process writes after each registration, nil for nothing.
	var rewrite atomic.Pointer[advertiser.Entry]
	encode := func(ent advertiser.Entry) []byte {
		data, err := json.Marshal(ent)
		Expect(err).NotTo(HaveOccurred())
		return data
	}
	write := func(ent advertiser.Entry) int64 { return sto.put(topics.Entries, ent.Name, encode(ent)) }
	// ahead returns the registration of a process at the same addresses whose clock was ahead.
	ahead := func() advertiser.Entry {
		ent := *self.Load()
		ent.Incarnation++
		return ent
	}
	BeforeEach(func() {
		sto = &store{recs: map[string][]tailer.Record{}}
		registered.Store(0)
		rewrite.Store(nil)
		set := settings("edge")
		write(advertiser.Entry{Name: "edge", Incarnation: 1})
		startWith(set, sto, func(pla *gateserver.Platform) {
			pla.Register = func(_ context.Context, ent advertiser.Entry) (int64, int64, error) {
				self.Store(&ent)
				registered.Add(1)
				defer func() {
					if other := rewrite.Load(); other != nil {
						write(*other)
					}
				}()
				return write(ent), sto.currentEra(), nil
			}
		})
		Consistently(registered.Load, "1500ms").Should(BeNumerically("<=", 1))
		Expect(registered.Load()).To(Equal(int64(1)))
	})

	// Guards against entries that hear nobody until their next start, because the withdrawal of the process before was carried out late.
	for _, cas := range []struct {
		name   string
		change func()
		writes int64
	}{
		{"is written again when it is deleted", func() { sto.put(topics.Entries, "edge", nil) }, 2},
		{"is written again when that of the process before replaces it", func() { write(advertiser.Entry{Name: "edge", Incarnation: 1}) }, 2},
		{"is written again when that of the process before, whose clock was ahead, replaces it", func() { write(ahead()) }, 2},
		{"is written again when the store comes back from a copy that has that of the process before", func() {
			sto.restore(topics.Entries, "edge", encode(advertiser.Entry{Name: "edge", Zone: "z", Incarnation: 1}))
		}, 2},
		{"is left to another process at the same addresses that goes on writing its own", func() {
			other := ahead()
			rewrite.Store(&other)
			write(other)
		}, 4},
		{"is left to a process that has started later", func() { write(advertiser.Entry{Name: "edge", Incarnation: self.Load().Incarnation + 1}) }, 1},
		{"is not written again when another entry leaves", func() { sto.put(topics.Entries, "other", nil) }, 1},
	} {
		It(cas.name, func() {
			cas.change()
			Eventually(registered.Load, "8s").Should(Equal(cas.writes))
			Consistently(registered.Load, 1500*time.Millisecond).Should(Equal(cas.writes))
		})
	}

	// Guards against entries that hear nobody until their next start, because the store refused them for long after their registration was lost.
	It("is written again however long the store refuses it", func() {
		refused, limited := make(chan struct{}, 9), make(chan bool, 9)
		sto := &store{recs: map[string][]tailer.Record{}}
		startWith(settings("other"), sto, func(pla *gateserver.Platform) {
			writes := 0
			pla.Register = func(ctx context.Context, ent advertiser.Entry) (int64, int64, error) {
				writes++
				if writes == 2 {
					refused <- struct{}{}
					return 0, 0, errors.New("store is down")
				}
				_, has := ctx.Deadline()
				limited <- has
				return sto.put(topics.Entries, "other", encode(ent)), 0, nil
			}
		})
		Eventually(limited, "3s").Should(Receive())
		time.Sleep(time.Second)
		sto.put(topics.Entries, "other", nil)
		Eventually(refused, "5s").Should(Receive())
		Eventually(limited, "3s").Should(Receive(BeFalse()))
	})

	// Guards against registrations of entries that have stopped.
	It("is not written by an entry that stops", func() {
		var writes atomic.Int64
		stop := startWith(settings("other"), &store{recs: map[string][]tailer.Record{}}, func(pla *gateserver.Platform) {
			pla.Register = func(context.Context, advertiser.Entry) (int64, int64, error) {
				writes.Add(1)
				return 0, 0, errors.New("store is down")
			}
		})
		Eventually(writes.Load, "3s").Should(BeNumerically(">", 1))
		stop()
		time.Sleep(100 * time.Millisecond)
		Consistently(writes.Load, "1s").Should(Equal(writes.Load()))
	})

	// Guards against entries that hear nobody because the store accepted their registration and lost it before they had read it.
	It("is written again when the store has lost it before it was read", func() {
		var writes atomic.Int64
		startWith(settings("other"), &store{recs: map[string][]tailer.Record{}, era: 1}, func(pla *gateserver.Platform) {
			pla.Register = func(context.Context, advertiser.Entry) (int64, int64, error) { return 7, writes.Add(1) - 1, nil }
		})
		Eventually(writes.Load, "3s").Should(Equal(int64(2)))
		Consistently(writes.Load, 1500*time.Millisecond).Should(Equal(int64(2)))
	})
})
