package tailer_test

import (
	"context"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/tailer"
)

const topic = "topic"

var errDown = errors.New("down")

// store is a topic whose older records may have expired.
type store struct {
	mux   sync.Mutex
	recs  []tailer.Record
	first int64
	down  bool
	reads int
}

func (sto *store) put(key, value string) {
	sto.mux.Lock()
	defer sto.mux.Unlock()
	rec := tailer.Record{Key: key, Offset: int64(len(sto.recs))}
	if value != "" {
		rec.Value = []byte(value)
	}
	sto.recs = append(sto.recs, rec)
}

func (sto *store) setDown(down bool) {
	sto.mux.Lock()
	defer sto.mux.Unlock()
	sto.down = down
}

func (sto *store) Newest(context.Context, string) (tailer.Page, error) {
	sto.mux.Lock()
	defer sto.mux.Unlock()
	if sto.down {
		return tailer.Page{}, errDown
	}
	newest := map[string]tailer.Record{}
	for _, rec := range sto.recs {
		newest[rec.Key] = rec
	}
	out := tailer.Page{End: int64(len(sto.recs))}
	for _, rec := range newest {
		if rec.Value != nil {
			out.Records = append(out.Records, rec)
		}
	}
	return out, nil
}

func (sto *store) Read(_ context.Context, _ string, from int64, _ time.Duration) (tailer.Page, error) {
	sto.mux.Lock()
	defer sto.mux.Unlock()
	sto.reads++
	switch {
	case sto.down:
		return tailer.Page{}, errDown
	case from < sto.first:
		return tailer.Page{}, errors.WithType(errDown, tailer.ErrExpired)
	}
	return tailer.Page{End: int64(len(sto.recs)), Records: sto.recs[from:]}, nil
}

// peer answers from another tailer.
type peer struct {
	other *tailer.Tailer
	reads bool
}

func (pee *peer) Ask(_ context.Context, _ string, from int64) (tailer.Page, error) {
	if pee.other == nil {
		return tailer.Page{}, errDown
	}
	return pee.other.Since(from)
}

func (pee *peer) Read() bool { return pee.reads }

// follower is a tailer with what it told.
type follower struct {
	*tailer.Tailer
	mux     sync.Mutex
	state   map[string]string
	outages map[string]bool
}

func (fol *follower) told() map[string]string {
	fol.mux.Lock()
	defer fol.mux.Unlock()
	return maps.Clone(fol.state)
}

func (fol *follower) outage(key string) bool {
	fol.mux.Lock()
	defer fol.mux.Unlock()
	return fol.outages[key]
}

func follow(sto tailer.Store, pee *peer, clk clockwork.Clock) *follower {
	fol := &follower{state: map[string]string{}, outages: map[string]bool{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	fol.Tailer = tailer.New(tailer.Options{
		Topic: topic, Store: sto, Peers: pee, Clock: clk, Logger: log.WithField("test", true),
		OnChange: func(cha tailer.Change) {
			fol.mux.Lock()
			defer fol.mux.Unlock()
			if cha.Whole {
				clear(fol.state)
			}
			for _, rec := range cha.Records {
				fol.outages[rec.Key] = cha.Outage
				if rec.Value == nil {
					delete(fol.state, rec.Key)
				} else {
					fol.state[rec.Key] = string(rec.Value)
				}
			}
		},
	})
	return fol
}

var _ = Describe("Tailer", func() {
	var sto *store
	var clk *clockwork.FakeClock
	var fol *follower
	step := func() { Expect(fol.Step(context.Background())).To(Succeed()) }
	BeforeEach(func() {
		sto, clk = &store{}, clockwork.NewFakeClock()
		fol = follow(sto, &peer{}, clk)
		sto.put("a", "1")
		sto.put("b", "1")
		step()
	})

	It("tells the newest value of each key, and removals", func() {
		sto.put("a", "2")
		sto.put("b", "")
		step()
		Expect(fol.told()).To(Equal(map[string]string{"a": "2"}))
		Expect(fol.outage("b")).To(BeFalse())
	})

	It("reads the whole topic when records have expired, and misses no removal", func() {
		sto.put("b", "")
		sto.put("c", "1")
		sto.first = 4
		step()
		Expect(fol.told()).To(Equal(map[string]string{"a": "1", "c": "1"}))
	})

	It("takes no older page for the state of now", func() {
		sto.put("a", "2")
		step()
		sto.first = 100
		sto.recs = sto.recs[:2]
		_ = fol.Step(context.Background())
		Expect(fol.told()).To(HaveKeyWithValue("a", "2"))
	})

	It("marks removals around an outage, and later ones not", func() {
		sto.setDown(true)
		ctx, cancel := context.WithCancel(context.Background())
		go fol.Run(ctx)
		Eventually(func() error { return clk.BlockUntilContext(ctx, 1) }).Should(Succeed())
		sto.setDown(false)
		sto.put("a", "")
		clk.Advance(time.Second)
		Eventually(func() bool { return fol.outage("a") }).Should(BeTrue())
		cancel()
		clk.Advance(time.Minute)
		sto.put("b", "")
		step()
		Expect(fol.outage("b")).To(BeFalse())
	})

	It("is not up to date from the first failed read on", func() {
		_, known := fol.Age()
		Expect(known).To(BeTrue())
		sto.setDown(true)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go fol.Run(ctx)
		Eventually(func() bool { _, known := fol.Age(); return known }).Should(BeFalse())
	})

	It("learns from another entry what the store does not tell, once", func() {
		sto.put("a", "2")
		sto.put("b", "")
		step()
		behind := follow(&store{down: true}, &peer{other: fol.Tailer, reads: true}, clk)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go behind.Run(ctx)
		behind.Poke(fol.End())
		Eventually(func() int64 { return behind.End() }).Should(Equal(fol.End()))
		Eventually(behind.told).Should(Equal(map[string]string{"a": "2"}))
	})

	It("asks the store for nothing while others read it", func() {
		idle := &store{}
		behind := follow(idle, &peer{other: fol.Tailer, reads: true}, clk)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go behind.Run(ctx)
		for range 5 {
			Expect(clk.BlockUntilContext(ctx, 1)).To(Succeed())
			clk.Advance(time.Second)
		}
		Expect(idle.reads).To(BeZero())
	})
})
