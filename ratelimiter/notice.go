package ratelimiter

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lovagelever/lovagelever/registrar"
)

const (
	// simultaneous is by how much the times of two notices may differ by their way alone; the lower limit holds then.
	simultaneous = 50 * time.Millisecond
	// forgetAfter is how long a limit that has ended, or whose server is not listed, is remembered.
	forgetAfter = time.Minute
	// minPerSecond is the least rate that is used: a server that takes no requests is sent one from time to time, since only its answers say when the limit ends.
	minPerSecond = 0.1
)

// Notice is a limit that a backend server has named: requests per second of all entries, or none if the server has ended it. Age is how long ago it said so.
type Notice struct {
	Server    registrar.Instance
	Limited   bool
	PerSecond float64
	Age       time.Duration
}

// limit is what is known of the limit of a server.
type limit struct {
	limited   bool
	perSecond float64
	// at is when the server said so, and listedAt when it was last on the list.
	at       time.Time
	listedAt time.Time
}

// Observe records that a response to a request sent at a time named a limit, or none, and reports whether the limit has changed.
// A response without a limit ends only limits that were named before the request was sent: responses overtake each other.
func (lim *RateLimiter) Observe(ins registrar.Instance, limited bool, perSecond float64, sentAt time.Time) bool {
	if !limited && lim.limited.Load() == 0 {
		return false
	}
	lim.mux.Lock()
	defer lim.mux.Unlock()
	if limited {
		return lim.set(ins, true, perSecond, lim.clk.Now())
	}
	old := lim.limits[ins]
	if old == nil || !old.limited || !old.at.Before(sentAt) {
		return false
	}
	return lim.set(ins, false, 0, lim.clk.Now())
}

// Apply takes over a notice of another entry if it is newer than what is known, and reports whether the limit has changed.
func (lim *RateLimiter) Apply(not Notice) bool {
	lim.mux.Lock()
	defer lim.mux.Unlock()
	at := lim.clk.Now().Add(-max(0, not.Age))
	old := lim.limits[not.Server]
	switch {
	case old == nil:
		return not.Limited && lim.set(not.Server, true, not.PerSecond, at)
	case !at.After(old.at):
		return false
	case old.limited && not.Limited && at.Sub(old.at) < simultaneous:
		return lim.set(not.Server, true, min(old.perSecond, not.PerSecond), at)
	}
	return lim.set(not.Server, not.Limited, not.PerSecond, at)
}

// set stores a limit and reports whether it differs from the one before; the caller holds the lock.
func (lim *RateLimiter) set(ins registrar.Instance, limited bool, perSecond float64, at time.Time) bool {
	if limited && !(perSecond >= 0 && perSecond <= math.MaxFloat64) {
		return false
	}
	old := lim.limits[ins]
	if old == nil {
		old = &limit{listedAt: lim.clk.Now()}
		lim.limits[ins] = old
	}
	changed := old.limited != limited || limited && old.perSecond != perSecond
	switch {
	case limited && !old.limited:
		lim.limited.Add(1)
	case !limited && old.limited:
		lim.limited.Add(-1)
		delete(lim.stocks, ins)
		delete(lim.buckets, ins)
	}
	old.limited, old.perSecond, old.at = limited, perSecond, at
	return changed
}

// KnowsLimits reports whether any server has named a limit, be it that it has ended since.
func (lim *RateLimiter) KnowsLimits() bool {
	lim.mux.Lock()
	defer lim.mux.Unlock()
	return len(lim.limits) > 0
}

// Outdated reports whether a notice of another entry says otherwise than what this entry knows to be newer about whether a server has a limit.
func (lim *RateLimiter) Outdated(not Notice) bool {
	lim.mux.Lock()
	defer lim.mux.Unlock()
	one := lim.limits[not.Server]
	return one != nil && one.limited != not.Limited && one.at.After(lim.clk.Now().Add(-not.Age))
}

// Notice returns what is known of the limit of a server; false means that it never named one.
func (lim *RateLimiter) Notice(ins registrar.Instance) (Notice, bool) {
	lim.mux.Lock()
	defer lim.mux.Unlock()
	one, known := lim.limits[ins]
	if !known {
		return Notice{}, false
	}
	return lim.notice(ins, one), true
}

// Notices returns what is known of all limits, by server.
func (lim *RateLimiter) Notices() []Notice {
	lim.mux.Lock()
	defer lim.mux.Unlock()
	out := make([]Notice, 0, len(lim.limits))
	for ins, one := range lim.limits {
		out = append(out, lim.notice(ins, one))
	}
	slices.SortFunc(out, func(one, two Notice) int { return cmp.Compare(one.Server.ID, two.Server.ID) })
	return out
}

func (lim *RateLimiter) notice(ins registrar.Instance, one *limit) Notice {
	return Notice{Server: ins, Limited: one.limited, PerSecond: one.perSecond, Age: lim.clk.Since(one.at)}
}

// SetListed forgets the limits of servers that have not been listed for a while, and those that ended a while ago.
func (lim *RateLimiter) SetListed(listed func(ins registrar.Instance) bool) {
	lim.mux.Lock()
	defer lim.mux.Unlock()
	now := lim.clk.Now()
	for ins, one := range maps.Clone(lim.limits) {
		if listed(ins) {
			one.listedAt = now
		}
		if now.Sub(one.listedAt) < forgetAfter && (one.limited || now.Sub(one.at) < forgetAfter) {
			continue
		}
		if one.limited {
			lim.set(ins, false, 0, now)
		}
		delete(lim.limits, ins)
	}
}
