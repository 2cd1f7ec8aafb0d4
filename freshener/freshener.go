package freshener

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Standing is what an entry may do, given what it knows.
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

// Log tells when the folded state was last known to be up to date.
type Log interface {
	Contact() time.Time
	Founded() (string, bool)
}

// Peers tells how many peers, and of how many regions, were heard since a time.
type Peers interface {
	Contact(since time.Time) (heard, peers int)
	Regions(since time.Time) (heard, all int)
}

// Freshener judges the standing of one entry.
type Freshener struct {
	log   Log
	peers Peers
	clk   clockwork.Clock
	limit time.Duration
}

// New returns a freshener; limit is how old the newest contact may be.
func New(log Log, peers Peers, clk clockwork.Clock, limit time.Duration) *Freshener {
	return &Freshener{log: log, peers: peers, clk: clk, limit: limit}
}

// Judge returns the standing now.
//
// With contact to the log an entry is fresh, certain of its homes, and may
// decide. With only most of its peers it is fresh: whoever publishes needs
// most peers too, so word of an accepted publication would have come.
func (fre *Freshener) Judge() Standing {
	now := fre.clk.Now()
	var sta Standing
	sta.PeersHeard, sta.PeersInAll = fre.peers.Contact(now.Add(-fre.limit))
	if _, founded := fre.log.Founded(); !founded {
		sta.Explanation = "no folded state yet"
		return sta
	}
	sta.LogAge = now.Sub(fre.log.Contact())
	regions, all := fre.peers.Regions(now.Add(-fre.limit))
	most := 2*(sta.PeersHeard+1) > sta.PeersInAll+1 && 2*regions > all
	sta.Certain = sta.LogAge <= fre.limit
	sta.MayDecide = sta.LogAge <= fre.limit
	sta.MayPublish = sta.MayDecide && most
	sta.Fresh = sta.Certain || most && sta.PeersInAll > 0
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
