package freshener

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Standing says what an entry may do, given how recent its state is.
//
// A Fresh entry accepts new requests. A Certain one knows that it is still home of its units.
// MayDecide allows the decisions of a controller.
// MayPublish, which also needs a majority of the peers, allows publications and evictions.
// PeersHeard of PeersInAll peers were in sync with this entry recently.
type Standing struct {
	Fresh       bool
	Certain     bool
	MayDecide   bool
	MayPublish  bool
	LogAge      time.Duration
	PeersHeard  int
	PeersInAll  int
	Explanation string
}

// Log says when the state was last known to be up to date with the log, and whether there is a state.
type Log interface {
	Contact() time.Time
	Founded() (string, bool)
}

// Peers counts the peers whose state was in sync with this entry's after a time, and the regions with such a peer.
type Peers interface {
	Contact(since time.Time) (heard, peers int)
	Regions(since time.Time) (heard, all int)
}

// Freshener evaluates what one entry may do.
type Freshener struct {
	log   Log
	peers Peers
	clk   clockwork.Clock
	limit time.Duration
}

// New returns a Freshener; limit is the maximum age of the last contact.
func New(log Log, peers Peers, clk clockwork.Clock, limit time.Duration) *Freshener {
	return &Freshener{log: log, peers: peers, clk: clk, limit: limit}
}

// Judge returns the current standing.
//
// With recent contact with the log, an entry is fresh, is certain of its homes
// and may decide. Without the log but with a majority of its peers it is still
// fresh: whoever publishes also needs a majority of its peers, so an accepted
// publication would have reached this entry.
func (fre *Freshener) Judge() Standing {
	now := fre.clk.Now()
	var sta Standing
	sta.PeersHeard, sta.PeersInAll = fre.peers.Contact(now.Add(-fre.limit))
	if _, bootstrapped := fre.log.Founded(); !bootstrapped {
		sta.Explanation = "no control state yet"
		return sta
	}
	sta.LogAge = now.Sub(fre.log.Contact())
	regionsHeard, allRegions := fre.peers.Regions(now.Add(-fre.limit))
	majority := 2*(sta.PeersHeard+1) > sta.PeersInAll+1 && 2*regionsHeard > allRegions
	sta.Certain = sta.LogAge <= fre.limit
	sta.MayDecide = sta.LogAge <= fre.limit
	sta.MayPublish = sta.MayDecide && majority
	sta.Fresh = sta.Certain || majority && sta.PeersInAll > 0
	sta.Explanation = explain(sta)
	return sta
}

func explain(sta Standing) string {
	switch {
	case sta.Certain:
		return "in contact with the log"
	case sta.Fresh:
		return "log out of contact, most peers in contact"
	default:
		return "neither the log nor most peers in contact"
	}
}
