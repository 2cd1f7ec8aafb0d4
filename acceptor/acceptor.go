package acceptor

import (
	"container/list"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
)

const (
	// defaultMemory suits a process with 160 MB of memory.
	defaultMemory = 48 << 20
	// defaultDescriptorShare leaves the other half to connections that the process opens, and to files.
	defaultDescriptorShare = 0.5
	// connectionBytes is what a connection without a request needs: buffers, stacks and what the kernel has received.
	connectionBytes = 64 << 10
	// lineBytes is what a line of a head needs once it is parsed, its forwarded copy included.
	lineBytes = 256
	// freeShare is the share of the free memory that one whole head may use, so that large heads find no room before small ones.
	freeShare = 0.25
	// spareShare is the share of the limits that is made free at once when a process reaches them.
	spareShare = 1.0 / 16
	// unfinishedShare is the share of the connections that may have an unfinished request before new ones of them are closed.
	unfinishedShare = 0.25
	// youngTime is the time within which an ordinary client sends its request.
	youngTime = time.Second
)

// Options configure an Acceptor. Memory is the number of bytes that all connections may need together, Descriptors the number of files that the process may open, zero for its resource limit, and DescriptorShare the share of them that connections may use. Zero values of Memory and DescriptorShare mean the defaults.
type Options struct {
	Memory          int64
	Descriptors     int
	DescriptorShare float64
	Clock           clockwork.Clock
	Logger          *logrus.Entry
}

// Acceptor counts the connections of the listeners that it wraps and closes some when there are too many; it is safe for concurrent use.
type Acceptor struct {
	opt Options

	mtx   sync.Mutex
	limit int
	total int64
	open  int
	// The connections that may be closed, each list with the oldest one first.
	unfinished list.List
	idle       list.List
	receiving  list.List

	counts counts
}

// New returns an acceptor without connections.
func New(opt Options) *Acceptor {
	if opt.Memory <= 0 {
		opt.Memory = defaultMemory
	}
	if opt.DescriptorShare <= 0 {
		opt.DescriptorShare = defaultDescriptorShare
	}
	acc := &Acceptor{opt: opt, counts: counts{}}
	acc.limit = acc.connectionLimit()
	return acc
}

// connectionLimit returns how many connections the descriptors of the process allow.
func (acc *Acceptor) connectionLimit() int {
	num := uint64(max(0, acc.opt.Descriptors))
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err == nil && (num == 0 || lim.Cur < num) {
		num = lim.Cur
	}
	return max(1, int(acc.opt.DescriptorShare*float64(num)))
}

// Use returns how many connections are open and how many bytes they need.
func (acc *Acceptor) Use() (connections int, bytes int64) {
	acc.mtx.Lock()
	defer acc.mtx.Unlock()
	return acc.open, acc.total
}

// add counts a new connection, and closes others if there are too many.
func (acc *Acceptor) add(con *conn) {
	acc.mtx.Lock()
	acc.open++
	acc.total += connectionBytes
	acc.enter(con, waiting)
	victims := acc.makeRoom(0)
	acc.mtx.Unlock()
	acc.close(victims)
}

// remove ends the counting of a connection.
func (acc *Acceptor) remove(con *conn) {
	acc.mtx.Lock()
	defer acc.mtx.Unlock()
	if con.pha == closed {
		return
	}
	acc.enter(con, closed)
	acc.open--
	acc.total -= connectionBytes + con.cost
	con.cost = 0
}

// set records the phase of a connection and what it needs beside connectionBytes, and reports whether it is still open; other connections are closed if the limits demand it.
func (acc *Acceptor) set(con *conn, pha phase, cost int64) bool {
	acc.mtx.Lock()
	if con.pha == closed {
		acc.mtx.Unlock()
		return false
	}
	acc.total += cost - con.cost
	con.cost = cost
	acc.enter(con, pha)
	victims := acc.makeRoom(0)
	alive := con.pha != closed
	acc.mtx.Unlock()
	acc.close(victims)
	return alive
}

// phaseOf returns what the client of a connection does.
func (acc *Acceptor) phaseOf(con *conn) phase {
	acc.mtx.Lock()
	defer acc.mtx.Unlock()
	return con.pha
}

// fits reports whether there is ample room for a number of bytes.
func (acc *Acceptor) fits(num int64) bool {
	acc.mtx.Lock()
	defer acc.mtx.Unlock()
	return float64(num) <= freeShare*float64(acc.free())
}

// admit records that the head of a connection is whole, and reports whether there is room for it once it is parsed. Larger unfinished heads make room for it.
func (acc *Acceptor) admit(con *conn, cost int64) verdict {
	acc.mtx.Lock()
	if con.pha == closed {
		acc.mtx.Unlock()
		return ended
	}
	var victims []*conn
	for acc.free()+con.cost < cost {
		oth := acc.costliest(&acc.unfinished, cost)
		if oth == nil {
			break
		}
		victims = append(victims, acc.take(oth, Unfinished))
	}
	out := refused
	if float64(cost) <= freeShare*float64(acc.free()+con.cost) {
		acc.total += cost - con.cost
		con.cost = cost
		acc.enter(con, parsing)
		out = admitted
	}
	acc.mtx.Unlock()
	acc.close(victims)
	return out
}

// verdict says what happens to a whole head.
type verdict int

const (
	admitted verdict = iota
	refused
	ended
)

// free returns how many bytes are left; the caller holds the lock.
func (acc *Acceptor) free() int64 {
	return acc.opt.Memory - acc.total
}

// enter moves a connection to the list of its phase; the caller holds the lock. One that stays in its phase keeps its place.
func (acc *Acceptor) enter(con *conn, pha phase) {
	from, into := acc.listOf(con.pha), acc.listOf(pha)
	con.pha = pha
	if from == into && con.place != nil {
		return
	}
	if con.place != nil {
		from.Remove(con.place)
		con.place = nil
	}
	if into != nil {
		con.place, con.since = into.PushBack(con), acc.opt.Clock.Now()
	}
}

func (acc *Acceptor) listOf(pha phase) *list.List {
	switch pha {
	case waiting, reading:
		return &acc.unfinished
	case idle:
		return &acc.idle
	case receiving:
		return &acc.receiving
	}
	return nil
}

// makeRoom selects the connections to close until the limits hold with a number of connections less; the caller holds the lock.
func (acc *Acceptor) makeRoom(fewer int) []*conn {
	var out []*conn
	spare := int64(0)
	for acc.free() < spare {
		// The heads that are closed once memory is short leave room for those that come next.
		spare = int64(spareShare * float64(acc.opt.Memory))
		con, why := acc.costliestOfAll()
		if con == nil {
			break
		}
		out = append(out, acc.take(con, why))
	}
	for acc.open > acc.limit-fewer {
		con, why := acc.oldestOfAll()
		if con == nil {
			break
		}
		out = append(out, acc.take(con, why))
	}
	return out
}

// take ends the counting of a connection that will be closed; the caller holds the lock.
func (acc *Acceptor) take(con *conn, why Reason) *conn {
	acc.counts[why]++
	acc.enter(con, closed)
	acc.open--
	acc.total -= connectionBytes + con.cost
	con.cost = 0
	return con
}

// costliest returns the connection of a list that needs most memory, the oldest of equals, if it needs more than a number of bytes; the caller holds the lock.
func (acc *Acceptor) costliest(lis *list.List, above int64) *conn {
	var out *conn
	for ele := lis.Front(); ele != nil; ele = ele.Next() {
		if con := ele.Value.(*conn); con.cost > above {
			out, above = con, con.cost
		}
	}
	return out
}

// costliestOfAll returns the connection to close for want of memory, or nil; the caller holds the lock.
func (acc *Acceptor) costliestOfAll() (*conn, Reason) {
	if con := acc.costliest(&acc.unfinished, 0); con != nil {
		return con, Unfinished
	}
	if con := acc.costliest(&acc.receiving, connectionBytes); con != nil {
		return con, Receiving
	}
	return acc.oldestOfAll()
}

// oldestOfAll returns the connection to close for want of descriptors, or nil; the caller holds the lock. Unfinished requests that are new go before idle connections only if there are many of them: an ordinary client needs a moment to send one.
func (acc *Acceptor) oldestOfAll() (*conn, Reason) {
	unf, rec := front(&acc.unfinished), front(&acc.receiving)
	if unf != nil && (acc.isOld(unf) || float64(acc.unfinished.Len()) > unfinishedShare*float64(acc.limit)) {
		return unf, Unfinished
	}
	if con := front(&acc.idle); con != nil {
		return con, Idle
	}
	if unf != nil && (rec == nil || !acc.isOld(rec)) {
		return unf, Unfinished
	}
	return rec, Receiving
}

// isOld reports whether a connection has been in its phase for longer than an ordinary client needs.
func (acc *Acceptor) isOld(con *conn) bool {
	return acc.opt.Clock.Since(con.since) >= youngTime
}

// front returns the oldest connection of a list, or nil.
func front(lis *list.List) *conn {
	if ele := lis.Front(); ele != nil {
		return ele.Value.(*conn)
	}
	return nil
}

// close closes connections that were taken.
func (acc *Acceptor) close(victims []*conn) {
	for _, con := range victims {
		con.abort()
	}
}

// Relieve closes connections whose request is not whole, the costliest first, and idle ones; it is for a process that has used up its memory.
func (acc *Acceptor) Relieve() {
	acc.mtx.Lock()
	var victims []*conn
	for want := acc.total - int64(spareShare*float64(acc.total)); acc.total > want; {
		con, why := acc.costliestOfAll()
		if con == nil {
			break
		}
		victims = append(victims, acc.take(con, why))
	}
	acc.mtx.Unlock()
	acc.close(victims)
}

// RelieveBodies closes some of the connections whose requests have been received for longest without being whole; it is for a process that has used up its memory for bodies.
func (acc *Acceptor) RelieveBodies() {
	acc.mtx.Lock()
	var victims []*conn
	for range 1 + int(spareShare*float64(acc.receiving.Len())) {
		con := front(&acc.receiving)
		if con == nil || !acc.isOld(con) {
			break
		}
		victims = append(victims, acc.take(con, Receiving))
	}
	acc.mtx.Unlock()
	acc.close(victims)
}

// onExhausted makes descriptors free after a listener found none. The resource limit may have changed since the start.
func (acc *Acceptor) onExhausted() {
	acc.mtx.Lock()
	acc.limit = acc.connectionLimit()
	acc.counts[Exhausted]++
	victims := acc.makeRoom(max(0, acc.limit-acc.open) + 1 + int(spareShare*float64(acc.open)))
	acc.mtx.Unlock()
	acc.close(victims)
}
