package freshnesschecker

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFreshnessChecker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "freshnesschecker")
}

const limit = 3 * time.Second

type fakeLog struct {
	lastContact  time.Time
	bootstrapped bool
}

func (log fakeLog) LastContact() time.Time       { return log.lastContact }
func (log fakeLog) Bootstrapped() (string, bool) { return "", log.bootstrapped }

// peers holds the time at which each peer was last in sync.
type peers []time.Time

func (pee peers) RegionsInSync(time.Time) (inSync, all int) { return 1, 1 }

func (pee peers) PeersInSync(since time.Time) (inSync, all int) {
	for _, at := range pee {
		if !at.Before(since) {
			inSync++
		}
	}
	return inSync, len(pee)
}

var _ = Describe("the status of an entry", func() {
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
		name    string
		noState bool
		logAge  time.Duration
		peers   peers
		want    Freshness
	}{
		{"in contact with the log and all peers", false, now, ago(now, now, now), Freshness{Fresh: true, CertainOfHomes: true, MayDecide: true, MayPublish: true}},
		{"with contact with the log at the age limit", false, limit, ago(limit, old), Freshness{Fresh: true, CertainOfHomes: true, MayDecide: true, MayPublish: true}},
		{"in contact with the log and a minority of peers", false, now, ago(now, old, old), Freshness{Fresh: true, CertainOfHomes: true, MayDecide: true}},
		{"without peers and in contact with the log", false, now, nil, Freshness{Fresh: true, CertainOfHomes: true, MayDecide: true, MayPublish: true}},
		{"in contact with a majority of peers but not with the log", false, old, ago(now, now, old, old), Freshness{Fresh: true}},
		{"in contact with half of all entries but not with the log", false, old, ago(now, old, old), Freshness{}},
		{"in contact with neither the log nor peers", false, old, ago(old, old), Freshness{}},
		{"without peers and not in contact with the log", false, old, nil, Freshness{}},
		{"before the initial state", true, now, ago(now, now), Freshness{}},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			got := New(fakeLog{lastContact: clk.Now().Add(-cas.logAge), bootstrapped: !cas.noState}, cas.peers, clk, limit).Evaluate()
			Expect(got.Explanation).NotTo(BeEmpty())
			got.LogAge, got.PeersInSync, got.TotalPeers, got.Explanation = 0, 0, 0, ""
			Expect(got).To(Equal(cas.want))
		})
	}

	It("is not fresh without the log if only peers of one region of three are in sync", func() {
		got := New(fakeLog{lastContact: clk.Now().Add(-old), bootstrapped: true}, oneRegion{ago(now, now, now)}, clk, limit).Evaluate()
		Expect(got.Fresh).To(BeFalse())
	})
})

// oneRegion is in sync with peers of only one of three regions.
type oneRegion struct{ peers }

func (one oneRegion) RegionsInSync(time.Time) (inSync, all int) { return 1, 3 }
