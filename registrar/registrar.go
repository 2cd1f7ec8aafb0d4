package registrar

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// ReturnWithin is how long a server that vanished from the list during an outage of the store has to come back: its lease may have run out unseen, and its next heartbeat puts it back.
const ReturnWithin = 2500 * time.Millisecond

// Registrar holds the newest entry of each backend server; it is safe for concurrent use.
type Registrar struct {
	clk      clockwork.Clock
	mux      sync.Mutex
	servers  map[string]Server
	expected map[string]time.Time
	doubts   map[Life]time.Time
	zonesOut map[string]bool
	view     atomic.Pointer[View]
	changed  chan struct{}
}

// New returns a registrar that knows no server.
func New(clk clockwork.Clock) *Registrar {
	reg := &Registrar{
		clk:      clk,
		servers:  map[string]Server{},
		expected: map[string]time.Time{},
		doubts:   map[Life]time.Time{},
		zonesOut: map[string]bool{},
		changed:  make(chan struct{}),
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

// Doubt notes until when a life of a server counts as unreachable, because it did not answer.
func (reg *Registrar) Doubt(lif Life, until time.Time) {
	reg.update(func() {
		if until.After(reg.doubts[lif]) {
			reg.doubts[lif] = until
		}
	})
}

// Trust ends the doubt in a life of a server that answered.
func (reg *Registrar) Trust(lif Life) {
	reg.mux.Lock()
	_, doubted := reg.doubts[lif]
	reg.mux.Unlock()
	if doubted {
		reg.update(func() { delete(reg.doubts, lif) })
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
	for _, until := range reg.doubts {
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
	maps.DeleteFunc(reg.doubts, func(_ Life, until time.Time) bool { return !now.Before(until) })
	reg.publish()
}

func (reg *Registrar) drop(id string) {
	delete(reg.servers, id)
	delete(reg.expected, id)
}

func (reg *Registrar) publish() {
	reg.view.Store(newView(reg.servers, reg.doubts, reg.zonesOut))
	close(reg.changed)
	reg.changed = make(chan struct{})
}
