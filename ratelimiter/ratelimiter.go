package ratelimiter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/registrar"
)

// permitTTL is how long a permit can be used. It bounds what a server gets beyond its limit when requests come after a pause.
const permitTTL = 500 * time.Millisecond

// forecastTTL is how long what an owner expects is used.
const forecastTTL = time.Second

// RateLimiter holds the limits that backend servers have named, the permits of this entry, and issues permits for the servers that this entry owns; it is safe for concurrent use.
type RateLimiter struct {
	clk clockwork.Clock
	// limited is the number of limits in force, so that nothing is locked while there are none.
	limited atomic.Int64
	mux     sync.Mutex
	limits  map[registrar.Instance]*limit
	stocks  map[registrar.Instance]*stock
	buckets map[registrar.Instance]*bucket
	share   float64
}

// stock is the permits of this entry for one server.
type stock struct {
	// expiries holds until when each permit can be used, in that order.
	expiries []time.Time
	// next is when the owner expects to issue the next permit to this entry, interval the time between those that follow, and toldAt when it said so.
	next     time.Time
	interval time.Duration
	toldAt   time.Time
}

// New returns a RateLimiter that knows of no limit.
func New(clk clockwork.Clock) *RateLimiter {
	return &RateLimiter{clk: clk, limits: map[registrar.Instance]*limit{}, stocks: map[registrar.Instance]*stock{}, buckets: map[registrar.Instance]*bucket{}, share: 1}
}

// Limited returns the number of servers with a limit.
func (lim *RateLimiter) Limited() int {
	return int(lim.limited.Load())
}

// Limit returns the requests per second that a server takes from all entries; false means that it has no limit.
func (lim *RateLimiter) Limit(ins registrar.Instance) (perSecond float64, limited bool) {
	if lim.limited.Load() == 0 {
		return 0, false
	}
	lim.mux.Lock()
	defer lim.mux.Unlock()
	one := lim.limits[ins]
	if one == nil || !one.limited {
		return 0, false
	}
	return one.perSecond, true
}

// Permits returns how many requests this entry may send to a limited server now.
func (lim *RateLimiter) Permits(ins registrar.Instance) int {
	lim.mux.Lock()
	defer lim.mux.Unlock()
	sto := lim.stocks[ins]
	if sto == nil {
		return 0
	}
	sto.expire(lim.clk.Now())
	return len(sto.expiries)
}

// Spend takes one permit for a request to a server; it does nothing if the server has no limit.
func (lim *RateLimiter) Spend(ins registrar.Instance) {
	if lim.limited.Load() == 0 {
		return
	}
	lim.mux.Lock()
	defer lim.mux.Unlock()
	sto := lim.stocks[ins]
	if sto == nil {
		return
	}
	sto.expire(lim.clk.Now())
	if len(sto.expiries) > 0 {
		sto.expiries = sto.expiries[1:]
	}
}

// NextPermit returns when the owner expects to issue the next permit to this entry, and the time between those that follow; false means that it has not said so recently.
func (lim *RateLimiter) NextPermit(ins registrar.Instance) (next time.Time, interval time.Duration, known bool) {
	lim.mux.Lock()
	defer lim.mux.Unlock()
	sto, now := lim.stocks[ins], lim.clk.Now()
	if sto == nil || now.Sub(sto.toldAt) > forecastTTL && !sto.next.After(now) {
		return now, 0, false
	}
	return sto.next, sto.interval, true
}

// Receive adds the permits of a grant.
func (lim *RateLimiter) Receive(gra Grant) {
	lim.mux.Lock()
	defer lim.mux.Unlock()
	if one := lim.limits[gra.Server]; one == nil || !one.limited {
		return
	}
	sto := lim.stocks[gra.Server]
	if sto == nil {
		sto = &stock{}
		lim.stocks[gra.Server] = sto
	}
	now := lim.clk.Now()
	sto.expire(now)
	for range min(gra.Count, maxCount) {
		sto.expiries = append(sto.expiries, now.Add(permitTTL))
	}
	sto.next, sto.interval, sto.toldAt = now.Add(gra.Wait), gra.Interval, now
}

func (sto *stock) expire(now time.Time) {
	for len(sto.expiries) > 0 && !now.Before(sto.expiries[0]) {
		sto.expiries = sto.expiries[1:]
	}
}
