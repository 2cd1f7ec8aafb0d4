package gateserver_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

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
	write := func(ent advertiser.Entry) int64 {
		data, err := json.Marshal(ent)
		Expect(err).NotTo(HaveOccurred())
		return sto.put(topics.Entries, ent.Name, data)
	}
	BeforeEach(func() {
		sto = &store{recs: map[string][]tailer.Record{}}
		registered.Store(0)
		set := settings("edge")
		write(advertiser.Entry{Name: "edge", Incarnation: 1})
		startWith(set, sto, func(pla *gateserver.Platform) {
			pla.Register = func(_ context.Context, ent advertiser.Entry) (int64, error) {
				self.Store(&ent)
				registered.Add(1)
				return write(ent), nil
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
		{"is left to a process that has started later", func() { write(advertiser.Entry{Name: "edge", Incarnation: self.Load().Incarnation + 1}) }, 1},
		{"is not written again when another entry leaves", func() { sto.put(topics.Entries, "other", nil) }, 1},
	} {
		It(cas.name, func() {
			cas.change()
			Eventually(registered.Load, "3s").Should(Equal(cas.writes))
			Consistently(registered.Load, 1500*time.Millisecond).Should(Equal(cas.writes))
		})
	}
})
