package registrar

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// ReturnWithin is how long a server that vanished from the list around an outage of the store has to come back: its lease may have run out unseen, and its next heartbeat puts it back. It stays below the 2 s within which a server that leaves must get no more requests.
const ReturnWithin = 1500 * time.Millisecond

// supportStep is by how much a support must be longer to be worth a new view: heartbeats repeat it every 100 ms.
const supportStep = 200 * time.Millisecond

// Registrar holds the newest entry of each backend server; it is safe for concurrent use.
type Registrar struct {
	clk        clockwork.Clock
	mux        sync.Mutex
	servers    map[string]Server
	expected   map[string]time.Time
	suspicions map[Life]suspicion
	support    map[Life]time.Time
	alone      bool
	zonesOut   map[string]bool
	view       atomic.Pointer[View]
	changed    chan struct{}
}

// suspicion says until when a life of a server counts as unreachable; it is certain when its VM answered that nothing listens.
type suspicion struct {
	until   time.Time
	certain bool
}

// New returns a registrar that knows no server.
func New(clk clockwork.Clock) *Registrar {
	reg := &Registrar{
		clk:        clk,
		servers:    map[string]Server{},
		expected:   map[string]time.Time{},
		suspicions: map[Life]suspicion{},
		support:    map[Life]time.Time{},
		zonesOut:   map[string]bool{},
		changed:    make(chan struct{}),
	}
	reg.publish()
	return reg
}

// View returns the newest state; it must not be changed.
func (reg *Registrar) View() *View {
	return reg.view.Load()
}

// Changed is closed at the next change.
func (reg *Registrar) Changed() <-chan struct{} {
	reg.mux.Lock()
	defer reg.mux.Unlock()
	return reg.changed
}

// Put takes the newest entry of a server.
func (reg *Registrar) Put(ser Server) {
	reg.update(func() {
		delete(reg.expected, ser.ID)
		reg.servers[ser.ID] = ser
	})
}

// Remove takes a server off the list; one whose lease may have run out during an outage of the store is kept until ReturnWithin has passed.
func (reg *Registrar) Remove(id string, outage bool) {
	reg.update(func() {
		if outage {
			reg.expected[id] = reg.clk.Now().Add(ReturnWithin)
			return
		}
		reg.drop(id)
	})
}

// Replace takes a whole list; servers that it lacks are removed as by Remove.
func (reg *Registrar) Replace(list map[string]Server, outage bool) {
	reg.update(func() {
		for id := range reg.servers {
			if _, kept := list[id]; kept {
				continue
			}
			if !outage {
				reg.drop(id)
			} else if _, waits := reg.expected[id]; !waits {
				reg.expected[id] = reg.clk.Now().Add(ReturnWithin)
			}
		}
		for id, ser := range list {
			delete(reg.expected, id)
			reg.servers[id] = ser
		}
	})
}

// Suspect notes until when a life of a server counts as unreachable, because it did not answer this entry; certain says that its VM answered that nothing listens.
func (reg *Registrar) Suspect(lif Life, until time.Time, certain bool) {
	reg.update(func() { reg.suspicions[lif] = suspicion{until: until, certain: certain} })
}

// Support notes until when another entry finds a life of a server unreachable.
func (reg *Registrar) Support(lif Life, until time.Time) {
	reg.mux.Lock()
	old, known := reg.support[lif]
	reg.mux.Unlock()
	if known && until.Sub(old) < supportStep {
		return
	}
	reg.update(func() { reg.support[lif] = until })
}

// SetAlone notes whether no other entry is heard that could support a suspicion.
func (reg *Registrar) SetAlone(alone bool) {
	reg.mux.Lock()
	same := reg.alone == alone
	reg.mux.Unlock()
	if !same {
		reg.update(func() { reg.alone = alone })
	}
}

// Trust ends the suspicion of a life of a server that answered.
func (reg *Registrar) Trust(lif Life) {
	reg.mux.Lock()
	_, suspected := reg.suspicions[lif]
	reg.mux.Unlock()
	if suspected {
		reg.update(func() { delete(reg.suspicions, lif) })
	}
}

// SetZonesOut replaces the availability zones that get no new work.
func (reg *Registrar) SetZonesOut(zones map[string]bool) {
	reg.update(func() { reg.zonesOut = maps.Clone(zones) })
}

// Tick ends what has run out by time.
func (reg *Registrar) Tick() {
	now := reg.clk.Now()
	reg.mux.Lock()
	due := false
	for _, until := range reg.expected {
		due = due || !now.Before(until)
	}
	for _, dou := range reg.suspicions {
		due = due || !now.Before(dou.until)
	}
	for _, until := range reg.support {
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
	for id, until := range reg.expected {
		if !now.Before(until) {
			reg.drop(id)
		}
	}
	maps.DeleteFunc(reg.suspicions, func(_ Life, dou suspicion) bool { return !now.Before(dou.until) })
	maps.DeleteFunc(reg.support, func(_ Life, until time.Time) bool { return !now.Before(until) })
	reg.publish()
}

func (reg *Registrar) drop(id string) {
	delete(reg.servers, id)
	delete(reg.expected, id)
}

func (reg *Registrar) publish() {
	vie := newView(reg.servers, reg.zonesOut)
	for lif, dou := range reg.suspicions {
		_, supported := reg.support[lif]
		vie.suspicions[lif] = dou.certain || supported || reg.alone
	}
	reg.view.Store(vie)
	close(reg.changed)
	reg.changed = make(chan struct{})
}
