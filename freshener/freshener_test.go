package freshener

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFreshener(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "freshener")
}

const limit = 3 * time.Second

type log struct {
	at      time.Time
	founded bool
}

func (log log) Contact() time.Time      { return log.at }
func (log log) Founded() (string, bool) { return "", log.founded }

// peers lists the times at which each peer was heard.
type peers []time.Time

func (pee peers) Regions(time.Time) (heard, all int) { return 1, 1 }

func (pee peers) Contact(since time.Time) (heard, all int) {
	for _, at := range pee {
		if !at.Before(since) {
			heard++
		}
	}
	return heard, len(pee)
}

var _ = Describe("the standing of an entry", func() {
	clk := clockwork.NewFakeClock()
	ago := func(ages ...time.Duration) peers {
		var out peers
		for _, age := range ages {
			out = append(out, clk.Now().Add(-age))
		}
		return out
	}
	const now, old = time.Duration(0), limit + 1
	cases := []struct {
		name      string
		unfounded bool
		log       time.Duration
		peers     peers
		want      Standing
	}{
		{"with log and peers", false, now, ago(now, now, now), Standing{Fresh: true, Certain: true, MayDecide: true, MayPublish: true}},
		{"with the log at the limit", false, limit, ago(limit, old), Standing{Fresh: true, Certain: true, MayDecide: true, MayPublish: true}},
		{"with the log and few peers", false, now, ago(now, old, old), Standing{Fresh: true, Certain: true, MayDecide: true}},
		{"alone with the log", false, now, nil, Standing{Fresh: true, Certain: true, MayDecide: true, MayPublish: true}},
		{"with most peers and no log", false, old, ago(now, now, old, old), Standing{Fresh: true}},
		{"with half of all entries and no log", false, old, ago(now, old, old), Standing{}},
		{"with neither", false, old, ago(old, old), Standing{}},
		{"alone without the log", false, old, nil, Standing{}},
		{"before the first state", true, now, ago(now, now), Standing{}},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			got := New(log{at: clk.Now().Add(-cas.log), founded: !cas.unfounded}, cas.peers, clk, limit).Judge()
			Expect(got.Explanation).NotTo(BeEmpty())
			got.LogAge, got.PeersHeard, got.PeersInAll, got.Explanation = 0, 0, 0, ""
			Expect(got).To(Equal(cas.want))
		})
	}

	It("does not go on without the log by peers of one region of three", func() {
		got := New(log{at: clk.Now().Add(-old), founded: true}, oneRegion{ago(now, now, now)}, clk, limit).Judge()
		Expect(got.Fresh).To(BeFalse())
	})
})

// oneRegion hears its peers of one region of three only.
type oneRegion struct{ peers }

func (one oneRegion) Regions(time.Time) (heard, all int) { return 1, 3 }
