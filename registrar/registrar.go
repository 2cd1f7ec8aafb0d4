package registrar

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// RelistTimeout is how long a server that disappeared from the list around a store outage is kept: its lease may have expired unnoticed, and its next heartbeat lists it again. It is below 2 s, the time within which a server that leaves must stop receiving requests.
const RelistTimeout = 1500 * time.Millisecond

// ReturnTimeout is how long after the return of the store such a server is kept at least: servers are listed again within about 2 s of it, and their records are read a moment later.
const ReturnTimeout = 2300 * time.Millisecond

// SilenceTolerance is how long a server must not answer before its suspicion is confirmed without proof that it is down: a sound server may be silent for a second or so, and the checks that begin a suspicion take a fraction of that.
const SilenceTolerance = 1200 * time.Millisecond

// leavingTTL is for how long a leaving instance that is off the list is remembered, in case it is listed again.
const leavingTTL = 10 * time.Minute

// Registrar holds the latest record of each backend server; it is safe for concurrent use.
type Registrar struct {
	clk              clockwork.Clock
	mux              sync.Mutex
	servers          map[string]Server
	removeAt         map[string]time.Time
	storeReturned    time.Time
	suspicions       map[Instance]suspicion
	remoteSuspicions map[Instance]time.Time
	noPeers          bool
	zonesOut         map[string]bool
	// leaving holds when each instance said that it leaves.
	leaving map[Instance]time.Time
	view    atomic.Pointer[View]
	changed chan struct{}
}

// suspicion is this entry's suspicion of a server instance: it lasts until a deadline, and is certain if the VM answered that nothing listens at the address.
type suspicion struct {
	since   time.Time
	until   time.Time
	certain bool
}

// New returns an empty registrar.
func New(clk clockwork.Clock) *Registrar {
	reg := &Registrar{
		clk:              clk,
		servers:          map[string]Server{},
		removeAt:         map[string]time.Time{},
		suspicions:       map[Instance]suspicion{},
		remoteSuspicions: map[Instance]time.Time{},
		zonesOut:         map[string]bool{},
		leaving:          map[Instance]time.Time{},
		changed:          make(chan struct{}),
	}
	reg.publish()
	return reg
}

// View returns the current state; callers must not modify it.
func (reg *Registrar) View() *View {
	return reg.view.Load()
}

// Changed returns a channel that is closed at the next change.
func (reg *Registrar) Changed() <-chan struct{} {
	reg.mux.Lock()
	defer reg.mux.Unlock()
	return reg.changed
}

// Put stores the latest record of a server.
func (reg *Registrar) Put(ser Server) {
	reg.Apply(Change{Put: []Server{ser}})
}

// Remove removes a server; one whose lease may have expired during a store outage is kept until RelistTimeout has passed, and ReturnTimeout since the store returned.
func (reg *Registrar) Remove(id string, outage bool) {
	reg.Apply(Change{Remove: []string{id}, Outage: outage})
}

// Change is a set of changes to the list. Outage means that the leases of the removed servers may have expired during a store outage; KnownFor says by server how long other entries have known that it is off the list.
type Change struct {
	Put      []Server
	Remove   []string
	Outage   bool
	KnownFor map[string]time.Duration
}

// Apply applies a change as by Put and Remove, and publishes one new view for all of it.
func (reg *Registrar) Apply(cha Change) {
	reg.update(func() {
		for _, ser := range cha.Put {
			delete(reg.removeAt, ser.ID)
			reg.servers[ser.ID] = ser
		}
		for _, id := range cha.Remove {
			if cha.Outage {
				reg.removeAt[id] = reg.relistBy(cha.KnownFor[id])
				continue
			}
			reg.deleteServer(id)
		}
	})
}

// Replace replaces the whole list; servers missing from it are removed as by Remove, but a wait that has already begun is not extended.
func (reg *Registrar) Replace(list map[string]Server, outage bool) {
	reg.update(func() {
		for id := range reg.servers {
			if _, kept := list[id]; kept {
				continue
			}
			if !outage {
				reg.deleteServer(id)
			} else if _, pending := reg.removeAt[id]; !pending {
				reg.removeAt[id] = reg.relistBy(0)
			}
		}
		for id, ser := range list {
			delete(reg.removeAt, id)
			reg.servers[id] = ser
		}
	})
}

// relistBy returns until when a server is kept whose removal entries have known for a duration; the caller holds the lock. At an entry that learns of it late it must not be kept longer than at the first one.
func (reg *Registrar) relistBy(knownFor time.Duration) time.Time {
	until := reg.clk.Now().Add(RelistTimeout - knownFor)
	if back := reg.storeReturned.Add(ReturnTimeout); back.After(until) {
		return back
	}
	return until
}

// StoreReturned records when the store came back from an outage in which leases may have expired.
func (reg *Registrar) StoreReturned(at time.Time) {
	reg.mux.Lock()
	defer reg.mux.Unlock()
	if !at.After(reg.storeReturned) {
		return
	}
	reg.storeReturned = at
	back := at.Add(ReturnTimeout)
	for id, until := range reg.removeAt {
		if back.After(until) {
			reg.removeAt[id] = back
		}
	}
}

// Suspect records until when this entry suspects a server instance because it did not answer; certain means that its VM answered that nothing listens at the address. A renewal publishes no new view.
func (reg *Registrar) Suspect(ins Instance, until time.Time, certain bool) {
	reg.mux.Lock()
	now := reg.clk.Now()
	old, known := reg.suspicions[ins]
	continued := known && now.Before(old.until)
	sus := suspicion{since: now, until: until, certain: certain}
	if continued {
		sus.since = old.since
	}
	renewed := continued && old.certain == certain
	if renewed {
		reg.suspicions[ins] = sus
	}
	reg.mux.Unlock()
	if !renewed {
		reg.update(func() { reg.suspicions[ins] = sus })
	}
}

// AddRemoteSuspicions records until when another entry suspects server instances. Renewals publish no new view, since the heartbeats of hundreds of entries repeat them.
func (reg *Registrar) AddRemoteSuspicions(list []Instance, until time.Time) {
	reg.mux.Lock()
	now, changed := reg.clk.Now(), false
	for _, ins := range list {
		old, known := reg.remoteSuspicions[ins]
		changed = changed || !known || !now.Before(old)
		if !known || old.Before(until) {
			reg.remoteSuspicions[ins] = until
		}
	}
	reg.mux.Unlock()
	if changed {
		reg.update(func() {})
	}
}

// SetNoPeers records whether this entry hears from no other entry that could confirm a suspicion.
func (reg *Registrar) SetNoPeers(noPeers bool) {
	reg.mux.Lock()
	same := reg.noPeers == noPeers
	reg.mux.Unlock()
	if !same {
		reg.update(func() { reg.noPeers = noPeers })
	}
}

// ClearSuspicion clears the suspicion of a server instance that answered.
func (reg *Registrar) ClearSuspicion(ins Instance) {
	reg.mux.Lock()
	_, suspected := reg.suspicions[ins]
	reg.mux.Unlock()
	if suspected {
		reg.update(func() { delete(reg.suspicions, ins) })
	}
}

// MarkLeaving records that a server instance has said that it leaves: it counts as draining from now on, whatever its records say. It reports false if that was known.
func (reg *Registrar) MarkLeaving(ins Instance) bool {
	reg.mux.Lock()
	_, known := reg.leaving[ins]
	reg.mux.Unlock()
	if known {
		return false
	}
	reg.update(func() {
		now := reg.clk.Now()
		maps.DeleteFunc(reg.leaving, func(old Instance, at time.Time) bool {
			return reg.servers[old.ID].Instance() != old && now.Sub(at) >= leavingTTL
		})
		reg.leaving[ins] = now
	})
	return true
}

// SetZonesOut replaces the set of availability zones that get no new work.
func (reg *Registrar) SetZonesOut(zones map[string]bool) {
	reg.update(func() { reg.zonesOut = maps.Clone(zones) })
}

// Expire removes the servers and suspicions whose deadlines have passed, and confirms those that have lasted for SilenceTolerance.
func (reg *Registrar) Expire() {
	now := reg.clk.Now()
	reg.mux.Lock()
	due := false
	for _, until := range reg.removeAt {
		due = due || !now.Before(until)
	}
	vie := reg.view.Load()
	for ins, sus := range reg.suspicions {
		due = due || !now.Before(sus.until) || reg.confirmed(ins, sus, now) != vie.SuspicionConfirmed(ins)
	}
	for _, until := range reg.remoteSuspicions {
		due = due || !now.Before(until)
	}
	reg.mux.Unlock()
	if due {
		reg.update(func() {})
	}
}

func (reg *Registrar) update(change func()) {
	reg.mux.Lock()
	defer reg.mux.Unlock()
	change()
	now := reg.clk.Now()
	for id, until := range reg.removeAt {
		if !now.Before(until) {
			reg.deleteServer(id)
		}
	}
	maps.DeleteFunc(reg.suspicions, func(_ Instance, sus suspicion) bool { return !now.Before(sus.until) })
	maps.DeleteFunc(reg.remoteSuspicions, func(_ Instance, until time.Time) bool { return !now.Before(until) })
	reg.publish()
}

// confirmed reports whether a suspicion is certain, or has lasted for SilenceTolerance and is shared by another entry if there is one.
func (reg *Registrar) confirmed(ins Instance, sus suspicion, now time.Time) bool {
	if sus.certain {
		return true
	}
	_, shared := reg.remoteSuspicions[ins]
	return (shared || reg.noPeers) && now.Sub(sus.since) >= SilenceTolerance
}

func (reg *Registrar) deleteServer(id string) {
	delete(reg.servers, id)
	delete(reg.removeAt, id)
}

func (reg *Registrar) publish() {
	vie := newView(reg.servers, reg.leaving, reg.zonesOut)
	for ins, sus := range reg.suspicions {
		vie.suspicions[ins] = reg.confirmed(ins, sus, reg.clk.Now())
		if sus.certain {
			vie.down[ins] = true
		}
	}
	reg.view.Store(vie)
	close(reg.changed)
	reg.changed = make(chan struct{})
}
