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
	// askTTL is how long a question for permits stands; entries repeat it while they want some.
	askTTL = 350 * time.Millisecond
	// burst is the time for which an owner saves up permits that nobody wants.
	burst = 250 * time.Millisecond
	// maxCount bounds the permits of one question or grant.
	maxCount = 1 << 10
)

// Ask says how many permits an entry wants for a server, and within which time it can use the first; it replaces the entry's last one.
type Ask struct {
	Server registrar.Instance
	Count  int
	Within time.Duration
}

// Grant is permits for a server; Wait is how long the entry will probably wait for the next one, and Interval the time between those that follow.
type Grant struct {
	Server   registrar.Instance
	Count    int
	Wait     time.Duration
	Interval time.Duration
}

// bucket is a token bucket for the permits of a server that this entry owns. The entries that want permits get them in turn.
type bucket struct {
	tokens float64
	refill time.Time
	queue  []*asker
}

// asker is an entry that wants permits.
type asker struct {
	entry string
	want  int
	until time.Time
	// within is how long an entry that has just asked can wait; answer means that it is to be told how long it will.
	within time.Duration
	answer bool
	queued bool
}

// SetShare sets which share of the entries that serve callers this entry hears, including itself.
func (lim *RateLimiter) SetShare(share float64) {
	lim.mux.Lock()
	defer lim.mux.Unlock()
	lim.share = min(1, max(0, share))
}

// SetOwned sets for which limited servers this entry issues permits; it starts without any.
func (lim *RateLimiter) SetOwned(owned func(ins registrar.Instance) bool) {
	lim.mux.Lock()
	defer lim.mux.Unlock()
	for ins, one := range lim.limits {
		buc := lim.buckets[ins]
		switch {
		case !one.limited || !owned(ins):
			delete(lim.buckets, ins)
		case buc == nil:
			lim.buckets[ins] = &bucket{refill: lim.clk.Now()}
		}
	}
}

// Ask records what an entry wants of a server that this entry owns; it is answered by the next Issue.
func (lim *RateLimiter) Ask(entry string, ask Ask) {
	lim.mux.Lock()
	defer lim.mux.Unlock()
	now := lim.clk.Now()
	buc := lim.buckets[ask.Server]
	if buc == nil {
		return
	}
	pos := slices.IndexFunc(buc.queue, func(ent *asker) bool { return ent.entry == entry })
	if pos < 0 {
		pos = len(buc.queue)
		buc.queue = append(buc.queue, &asker{entry: entry})
	}
	ent := buc.queue[pos]
	ent.want, ent.within, ent.until, ent.answer = min(max(0, ask.Count), maxCount), ask.Within, now.Add(askTTL), ask.Count > 0
}

// Issue issues the permits that are due, and returns them by entry. A permit that nobody wants is offered to an entry that pick returns: only a response can say that the limit has ended.
func (lim *RateLimiter) Issue(pick func() string) map[string][]Grant {
	if lim.limited.Load() == 0 {
		return nil
	}
	lim.mux.Lock()
	defer lim.mux.Unlock()
	now := lim.clk.Now()
	out := map[string][]Grant{}
	for _, ins := range slices.SortedFunc(maps.Keys(lim.buckets), byID) {
		one, buc := lim.limits[ins], lim.buckets[ins]
		if one == nil || !one.limited {
			continue
		}
		perSecond := max(one.perSecond, minPerSecond) * lim.share
		full := 1 + perSecond*burst.Seconds()
		buc.tokens = min(buc.tokens+perSecond*now.Sub(buc.refill).Seconds(), full)
		buc.refill = now
		buc.issue(ins, perSecond, now, out)
		if buc.tokens >= full {
			buc.tokens--
			name := pick()
			out[name] = append(out[name], Grant{Server: ins, Count: 1, Interval: seconds(1 / perSecond)})
		}
	}
	return out
}

func (buc *bucket) issue(ins registrar.Instance, perSecond float64, now time.Time, out map[string][]Grant) {
	buc.queue = slices.DeleteFunc(buc.queue, func(ent *asker) bool { return ent.want == 0 || !now.Before(ent.until) })
	counts := map[*asker]int{}
	for buc.tokens >= 1 && len(buc.queue) > 0 {
		ent := buc.queue[0]
		counts[ent]++
		buc.tokens--
		ent.want--
		buc.queue = buc.queue[1:]
		if ent.want > 0 {
			buc.queue = append(buc.queue, ent)
		}
	}
	grant := func(ent *asker, position int) {
		out[ent.entry] = append(out[ent.entry], Grant{
			Server: ins, Count: counts[ent], Wait: seconds((float64(position) + 1 - buc.tokens) / perSecond),
			Interval: seconds(float64(max(1, len(buc.queue))) / perSecond),
		})
	}
	// An entry that would wait too long asks elsewhere, and takes no permit that comes too late.
	var queue []*asker
	for _, ent := range buc.queue {
		late := (float64(len(queue))+1-buc.tokens)/perSecond > ent.within.Seconds()
		if counts[ent] > 0 || ent.answer {
			grant(ent, len(queue))
			ent.answer = false
			delete(counts, ent)
		}
		if ent.queued = ent.queued || !late; ent.queued {
			queue = append(queue, ent)
		}
	}
	buc.queue = queue
	for ent := range counts {
		grant(ent, len(buc.queue))
	}
}

func byID(one, two registrar.Instance) int { return cmp.Compare(one.ID, two.ID) }

func seconds(num float64) time.Duration {
	return time.Duration(min(max(0, num), math.MaxInt32) * float64(time.Second))
}
