package sharer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/refuser"
)

const (
	// window is the time over which work is averaged: room that a workspace leaves or needs again changes hands within a second.
	window = 500 * time.Millisecond
	// reportWindow is for how long an entry reports the use of a class after the last refusal in it.
	reportWindow = 2 * time.Second
	// settleTime is how long a class is short of room before workspaces are limited: by then all entries have reported their use.
	settleTime = 500 * time.Millisecond
	// refreshInterval is the time between two computations of the limits.
	refreshInterval = 100 * time.Millisecond
	// shortShare is the share of the work that is refused from which a class is short of room.
	shortShare = 0.03
	// idleShare is the share of the work up to which refusals for lack of room count as chance.
	idleShare = 0.01
	// While all that is admitted finds room, more than the pool served last is admitted: first excessStep more each time, then excessGrowth times the excess, up to maxExcess, so that room that becomes free is used.
	excessStep   = 0.01
	excessGrowth = 1.4
	maxExcess    = 0.64
	// maxUses and maxLimits bound what entries send to each other.
	maxUses   = 16
	maxLimits = 24
	// minRate is the work per second below which a use is forgotten.
	minRate = 0.5
)

// Key identifies a workspace in a class of requests by hashes; a class is a pool with a priority.
type Key struct {
	Class     uint32
	Workspace uint32
}

// Use is the work per second of a workspace that was started, refused for lack of room, and refused by its share.
type Use struct {
	Key
	Started float64
	Refused float64
	Limited float64
}

// asked returns the work per second that the workspace asked for.
func (use Use) asked() float64 {
	return use.Started + use.Refused + use.Limited
}

// Limit is the part of a workspace's work that entries admit, from 0 to 1. A limit of 1 says that the class is short of room.
type Limit struct {
	Key
	Part float64
}

// Request is what a caller asks for; Work is in any unit that is the same for the whole pool.
type Request struct {
	Pool      string
	Priority  int
	Workspace string
	Work      float64
}

func (req Request) key() Key {
	return Key{Class: shortHash(req.Pool + "#" + strconv.Itoa(req.Priority)), Workspace: shortHash(req.Workspace)}
}

func shortHash(text string) uint32 {
	return uint32(xxhash.Sum64String(text))
}

// Options configure a Sharer; Random returns numbers in [0, 1), by default from math/rand.
type Options struct {
	Clock  clockwork.Clock
	Random func() float64
}

// Sharer admits the requests of one entry; it is safe for concurrent use.
type Sharer struct {
	opt     Options
	mux     sync.Mutex
	own     map[Key]*meter
	remote  map[string][]Use
	classes map[uint32]*class
	// received holds the limits that another entry has computed, which apply until receivedUntil.
	received      map[Key]float64
	receivedUntil time.Time
	refreshedAt   time.Time
}

// New returns a Sharer that knows of no use.
func New(opt Options) *Sharer {
	if opt.Random == nil {
		opt.Random = rand.Float64
	}
	return &Sharer{opt: opt, own: map[Key]*meter{}, remote: map[string][]Use{}, classes: map[uint32]*class{}}
}

// Admit decides on a request by the share of its workspace; it fails with a refuser.Refusal of type not_run.
func (sha *Sharer) Admit(req Request) error {
	sha.mux.Lock()
	defer sha.mux.Unlock()
	now := sha.opt.Clock.Now()
	key := req.key()
	part, limited := sha.part(key, now)
	if !limited {
		return nil
	}
	mtr := sha.meterOf(key)
	if mtr.credit += part; mtr.credit >= 1 {
		mtr.credit--
		return nil
	}
	mtr.limited.add(now, req.Work)
	sha.noteShort(key.Class, now)
	return refuser.ShareExceeded("workspace "+req.Workspace+" is over its share of "+req.Pool, retryAfter(part))
}

// retryAfter returns the time in which the pool would serve what a workspace asks for in a second beyond its share.
func retryAfter(part float64) time.Duration {
	const shortest, longest = time.Second, 30 * time.Second
	excess := (1 - part) / max(part, shortest.Seconds()/longest.Seconds())
	return min(max(time.Duration(excess*float64(time.Second)), shortest), longest)
}

// RecordStarted records that a request was started.
func (sha *Sharer) RecordStarted(req Request) {
	sha.mux.Lock()
	defer sha.mux.Unlock()
	sha.meterOf(req.key()).started.add(sha.opt.Clock.Now(), req.Work)
}

// RecordRefused records that a request was refused for lack of room.
func (sha *Sharer) RecordRefused(req Request) {
	sha.mux.Lock()
	defer sha.mux.Unlock()
	now := sha.opt.Clock.Now()
	sha.meterOf(req.key()).refused.add(now, req.Work)
	sha.noteShort(req.key().Class, now)
}

// Own returns the use of this entry in the classes that may be short of room, the largest first.
func (sha *Sharer) Own() []Use {
	sha.mux.Lock()
	defer sha.mux.Unlock()
	now := sha.opt.Clock.Now()
	var out []Use
	for _, use := range sha.ownUses(now) {
		if cla := sha.classes[use.Class]; cla != nil && now.Sub(cla.refusedAt) < reportWindow {
			out = append(out, use)
		}
	}
	slices.SortFunc(out, func(one, two Use) int {
		return cmp.Or(cmp.Compare(two.asked(), one.asked()), cmp.Compare(one.Workspace, two.Workspace))
	})
	return out[:min(len(out), maxUses)]
}

// SetRemote replaces the use of another entry; nil removes the entry.
func (sha *Sharer) SetRemote(entry string, list []Use) {
	sha.mux.Lock()
	defer sha.mux.Unlock()
	if len(list) == 0 {
		delete(sha.remote, entry)
		return
	}
	sha.remote[entry] = list
	for _, use := range list {
		if use.Refused+use.Limited > 0 {
			sha.noteShort(use.Class, sha.opt.Clock.Now())
		}
	}
}

// Limits returns the limits that follow from the use of all entries, the strictest first, with at least one for each class that is short of room.
func (sha *Sharer) Limits() []Limit {
	sha.mux.Lock()
	defer sha.mux.Unlock()
	now := sha.opt.Clock.Now()
	sha.refresh(now)
	var out []Limit
	for id, cla := range sha.classes {
		out = append(out, Limit{Key: Key{Class: id}, Part: 1})
		for wsp, part := range cla.parts {
			out = append(out, Limit{Key: Key{Class: id, Workspace: wsp}, Part: part})
		}
	}
	slices.SortFunc(out, func(one, two Limit) int {
		return cmp.Or(cmp.Compare(one.Part, two.Part), cmp.Compare(one.Class, two.Class), cmp.Compare(one.Workspace, two.Workspace))
	})
	return out[:min(len(out), maxLimits)]
}

// SetLimits uses the limits that another entry has computed from the use of all entries, until a time.
func (sha *Sharer) SetLimits(list []Limit, until time.Time) {
	sha.mux.Lock()
	defer sha.mux.Unlock()
	sha.received, sha.receivedUntil = make(map[Key]float64, len(list)), until
	for _, lim := range list {
		sha.noteShort(lim.Class, sha.opt.Clock.Now())
		if lim.Part < 1 {
			sha.received[lim.Key] = lim.Part
		}
	}
}

// part returns which part of a workspace's requests is admitted; false means that all are.
func (sha *Sharer) part(key Key, now time.Time) (float64, bool) {
	if now.Before(sha.receivedUntil) {
		part, limited := sha.received[key]
		return part, limited
	}
	cla := sha.classes[key.Class]
	if cla == nil {
		return 0, false
	}
	sha.refresh(now)
	part, limited := cla.parts[key.Workspace]
	return part, limited
}

func (sha *Sharer) meterOf(key Key) *meter {
	if sha.own[key] == nil {
		// A random first credit keeps the entries from admitting their first requests at the same time.
		sha.own[key] = &meter{credit: sha.opt.Random()}
	}
	return sha.own[key]
}

func (sha *Sharer) noteShort(id uint32, now time.Time) {
	if sha.classes[id] == nil {
		sha.classes[id] = &class{}
	}
	sha.classes[id].refusedAt = now
}

// ownUses returns the use of this entry, and forgets what has not been used for a while.
func (sha *Sharer) ownUses(now time.Time) []Use {
	var out []Use
	for key, mtr := range sha.own {
		use := Use{Key: key, Started: mtr.started.at(now), Refused: mtr.refused.at(now), Limited: mtr.limited.at(now)}
		if use.asked() < minRate {
			delete(sha.own, key)
			continue
		}
		out = append(out, use)
	}
	return out
}
