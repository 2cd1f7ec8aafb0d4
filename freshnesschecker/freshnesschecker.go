package freshnesschecker

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Freshness says what an entry may do, given how recent its state is.
//
// A Fresh entry accepts new requests. One that is CertainOfHomes knows that it is still home of its units.
// MayDecide allows the decisions of a controller.
// MayPublish, which also needs a majority of the peers, allows publications and evictions.
// PeersInSync of TotalPeers peers were in sync with this entry recently.
type Freshness struct {
	Fresh          bool
	CertainOfHomes bool
	MayDecide      bool
	MayPublish     bool
	LogAge         time.Duration
	PeersInSync    int
	TotalPeers     int
	Explanation    string
}

// Log says when the state was last known to be up to date with the log, and whether there is a state.
type Log interface {
	LastContact() time.Time
	Bootstrapped() (string, bool)
}

// Peers counts the peers whose state was in sync with this entry's after a time, and the regions with such a peer.
type Peers interface {
	PeersInSync(since time.Time) (inSync, peers int)
	RegionsInSync(since time.Time) (inSync, all int)
}

// Checker evaluates what one entry may do.
type Checker struct {
	log   Log
	peers Peers
	clk   clockwork.Clock
	limit time.Duration
}

// New returns a Checker; limit is the maximum age of the last contact.
func New(log Log, peers Peers, clk clockwork.Clock, limit time.Duration) *Checker {
	return &Checker{log: log, peers: peers, clk: clk, limit: limit}
}

// Evaluate returns the current freshness.
//
// With recent contact with the log, an entry is fresh, is certain of its homes
// and may decide. Without the log but with a majority of its peers it is still
// fresh: whoever publishes also needs a majority of its peers, so an accepted
// publication would have reached this entry.
func (fre *Checker) Evaluate() Freshness {
	now := fre.clk.Now()
	var sta Freshness
	sta.PeersInSync, sta.TotalPeers = fre.peers.PeersInSync(now.Add(-fre.limit))
	if _, bootstrapped := fre.log.Bootstrapped(); !bootstrapped {
		sta.Explanation = "no control state yet"
		return sta
	}
	sta.LogAge = now.Sub(fre.log.LastContact())
	regionsInSync, allRegions := fre.peers.RegionsInSync(now.Add(-fre.limit))
	majority := 2*(sta.PeersInSync+1) > sta.TotalPeers+1 && 2*regionsInSync > allRegions
	sta.CertainOfHomes = sta.LogAge <= fre.limit
	sta.MayDecide = sta.LogAge <= fre.limit
	sta.MayPublish = sta.MayDecide && majority
	sta.Fresh = sta.CertainOfHomes || majority && sta.TotalPeers > 0
	sta.Explanation = explain(sta)
	return sta
}

func explain(sta Freshness) string {
	switch {
	case sta.CertainOfHomes:
		return "in contact with the log"
	case sta.Fresh:
		return "log out of contact, most peers in contact"
	default:
		return "neither the log nor most peers in contact"
	}
}
