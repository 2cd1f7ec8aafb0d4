package permitter

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/assigner"
	"github.com/lovagelever/lovagelever/ratelimiter"
	"github.com/lovagelever/lovagelever/registrar"
)

const (
	// askInterval is the interval at which an entry repeats what it wants of the owners.
	askInterval = 100 * time.Millisecond
	// ownedInterval is the interval at which an entry works out which servers it owns.
	ownedInterval = 100 * time.Millisecond
	// shareInterval is the interval at which an entry counts the other ones that it hears.
	shareInterval = time.Second
	// ownersTTL is how old the choice of owners may be.
	ownersTTL = 100 * time.Millisecond
	// missedFor is for how long an entry that is not heard counts among those that may issue permits in another partition.
	missedFor = 30 * time.Second
)

// Peer is another registered entry; Heard means that it was heard from recently.
type Peer struct {
	Name     string
	Stopping bool
	Heard    bool
}

// Options configures a Permitter: Peers returns the other entries, Stopping whether this one stops, Demand how many permits it wants for each server, given what it has asked for, Send sends a message to other entries by name, which may get lost, and Random returns numbers in [0, 1), by default from math/rand.
type Options struct {
	Self     string
	Peers    func() []Peer
	Stopping func() bool
	Demand   func(asked map[registrar.Instance]ratelimiter.Ask) map[registrar.Instance]ratelimiter.Ask
	Send     func(msg ratelimiter.Message, names []string)
	Limiter  *ratelimiter.RateLimiter
	Clock    clockwork.Clock
	Random   func() float64
}

// Permitter exchanges limits and permits for one entry; it is safe for concurrent use.
type Permitter struct {
	opt           Options
	announcements announcements
	mux           sync.Mutex
	// asked is what this entry wanted at the last tick, by server, and askedAt when it last told all owners.
	asked   map[registrar.Instance]ratelimiter.Ask
	askedAt time.Time
	// lastHeard is when each other entry was last heard from, and sharedAt when that was last checked.
	lastHeard map[string]time.Time
	sharedAt  time.Time
	// ownedAt is when this entry last worked out which servers it owns.
	ownedAt time.Time
	// lastOwners avoids sorting hundreds of entries for each message.
	lastOwners atomic.Pointer[ownership]
}

// New returns a Permitter.
func New(opt Options) *Permitter {
	if opt.Random == nil {
		opt.Random = rand.Float64
	}
	return &Permitter{opt: opt, announcements: newAnnouncements(), lastHeard: map[string]time.Time{}}
}

// Tick asks for permits, issues those that are due for the servers that this entry owns, and announces limits. Callers run it every few hundredths of a second.
func (per *Permitter) Tick() {
	per.updateShare()
	if !per.opt.Limiter.KnowsLimits() {
		return
	}
	own := per.owners()
	per.updateOwned(own)
	per.ask()
	per.issue(own)
	per.announce()
}

// ReportChange tells the owner of a server that its limit has changed.
func (per *Permitter) ReportChange(ins registrar.Instance) {
	own := per.owners()
	if owner := own.of(ins); owner != per.opt.Self {
		per.opt.Send(per.message(ins), []string{owner})
		return
	}
	per.announcements.add(ins)
}

func (per *Permitter) message(servers ...registrar.Instance) ratelimiter.Message {
	msg := ratelimiter.Message{From: per.opt.Self}
	for _, ins := range servers {
		if not, known := per.opt.Limiter.Notice(ins); known {
			msg.Notices = append(msg.Notices, not)
		}
	}
	return msg
}

// Receive handles a message of another entry, and reports whether it brought permits.
func (per *Permitter) Receive(msg ratelimiter.Message) bool {
	per.Apply(msg.Notices)
	per.correct(msg)
	for _, ask := range msg.Asks {
		per.opt.Limiter.Ask(msg.From, ask)
	}
	for _, gra := range msg.Grants {
		per.opt.Limiter.Receive(gra)
	}
	return len(msg.Grants) > 0
}

// correct answers a message whose limits are outdated: an entry that gets no permits gets no responses either.
func (per *Permitter) correct(msg ratelimiter.Message) {
	var servers []registrar.Instance
	for _, not := range msg.Notices {
		if per.opt.Limiter.Outdated(not) {
			servers = append(servers, not.Server)
		}
	}
	if len(servers) > 0 {
		per.opt.Send(per.message(servers...), []string{msg.From})
	}
}

// Apply takes over newer limits, and announces those of the servers that this entry owns.
func (per *Permitter) Apply(list []ratelimiter.Notice) {
	var changed []registrar.Instance
	for _, not := range list {
		if per.opt.Limiter.Apply(not) {
			changed = append(changed, not.Server)
		}
	}
	if len(changed) == 0 {
		return
	}
	own := per.owners()
	for _, ins := range changed {
		if own.of(ins) == per.opt.Self {
			per.announcements.add(ins)
		}
	}
}

// ask tells the owners what this entry wants: of all servers now and then, and at once of those of which it wants another number than before.
func (per *Permitter) ask() {
	per.mux.Lock()
	old, all := per.asked, per.opt.Clock.Since(per.askedAt) >= askInterval
	if all {
		per.askedAt = per.opt.Clock.Now()
	}
	per.mux.Unlock()
	demand := per.opt.Demand(old)
	per.mux.Lock()
	per.asked = demand
	per.mux.Unlock()
	var changed []ratelimiter.Ask
	for ins := range old {
		if _, still := demand[ins]; !still {
			changed = append(changed, ratelimiter.Ask{Server: ins})
		}
	}
	for ins, ask := range demand {
		if all || ask.Count != old[ins].Count {
			changed = append(changed, ask)
		}
	}
	per.sendAsks(changed)
}

func (per *Permitter) sendAsks(asks []ratelimiter.Ask) {
	if len(asks) == 0 {
		return
	}
	byOwner := map[string]*ratelimiter.Message{}
	own := per.owners()
	for _, ask := range asks {
		owner := own.of(ask.Server)
		if owner == per.opt.Self {
			per.opt.Limiter.Ask(owner, ask)
			continue
		}
		msg := byOwner[owner]
		if msg == nil {
			msg = &ratelimiter.Message{From: per.opt.Self}
			byOwner[owner] = msg
		}
		msg.Asks = append(msg.Asks, ask)
		msg.Notices = append(msg.Notices, per.message(ask.Server).Notices...)
	}
	for owner, msg := range byOwner {
		per.opt.Send(*msg, []string{owner})
	}
}

func (per *Permitter) issue(own ownership) {
	pick := func() string { return own.names[int(per.opt.Random()*float64(len(own.names)))] }
	for name, list := range per.opt.Limiter.Issue(pick) {
		if name != per.opt.Self {
			per.opt.Send(ratelimiter.Message{From: per.opt.Self, Grants: list}, []string{name})
			continue
		}
		for _, gra := range list {
			per.opt.Limiter.Receive(gra)
		}
	}
}

func (per *Permitter) announce() {
	msg := per.message(per.announcements.due(per.opt.Clock.Now())...)
	if len(msg.Notices) == 0 {
		return
	}
	var names []string
	for _, pee := range per.opt.Peers() {
		names = append(names, pee.Name)
	}
	per.opt.Send(msg, names)
}

// updateOwned tells the rate limiter for which servers this entry issues permits.
func (per *Permitter) updateOwned(own ownership) {
	per.mux.Lock()
	due := per.opt.Clock.Since(per.ownedAt) >= ownedInterval
	if due {
		per.ownedAt = per.opt.Clock.Now()
	}
	per.mux.Unlock()
	if due {
		per.opt.Limiter.SetOwned(func(ins registrar.Instance) bool { return own.of(ins) == per.opt.Self })
	}
}

// updateShare tells the rate limiter which share of the entries this one hears. Entries that may run unheard count, as they may issue permits, too.
func (per *Permitter) updateShare() {
	per.mux.Lock()
	defer per.mux.Unlock()
	now := per.opt.Clock.Now()
	if now.Sub(per.sharedAt) < shareInterval {
		return
	}
	per.sharedAt = now
	heard, all := 1, 1
	for _, pee := range per.opt.Peers() {
		if pee.Stopping {
			continue
		}
		if last, known := per.lastHeard[pee.Name]; pee.Heard || !known {
			per.lastHeard[pee.Name] = now
		} else if now.Sub(last) >= missedFor {
			continue
		}
		all++
		if pee.Heard {
			heard++
		}
	}
	per.opt.Limiter.SetShare(float64(heard) / float64(all))
}

// ownership says which entry issues the permits for each limited server.
type ownership struct {
	pool  *assigner.Pool
	names []string
	at    time.Time
}

func (own ownership) of(ins registrar.Instance) string {
	can, _ := own.pool.Pick(ins.ID, "", "")
	return can.Name
}

// owners returns the owners among the entries that this one hears, as they were within ownersTTL. A stopping entry owns a server only if there is no other.
func (per *Permitter) owners() ownership {
	now := per.opt.Clock.Now()
	if last := per.lastOwners.Load(); last != nil && now.Sub(last.at) < ownersTTL {
		return *last
	}
	var list []assigner.Candidate
	for _, pee := range per.opt.Peers() {
		if pee.Heard && !pee.Stopping {
			list = append(list, assigner.Candidate{Name: pee.Name})
		}
	}
	if !per.opt.Stopping() || len(list) == 0 {
		list = append(list, assigner.Candidate{Name: per.opt.Self})
	}
	own := ownership{pool: assigner.NewPool(list), at: now}
	for _, can := range list {
		own.names = append(own.names, can.Name)
	}
	per.lastOwners.Store(&own)
	return own
}
