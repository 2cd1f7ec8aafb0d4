package gateway

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/reserver"
)

const (
	// slowWriteAfter is how long the write of an event may take before the stream is read ahead.
	slowWriteAfter = 20 * time.Millisecond
	// roomPollInterval is the interval at which a stream that may hold no more checks whether others have released memory.
	roomPollInterval = 50 * time.Millisecond
	// eventOverheadBytes is what an event needs beside its bytes.
	eventOverheadBytes = 64
	// defaultUnreadFor is how long a unit's stream may stay unread; units cut off streams that stay unread for some seconds.
	defaultUnreadFor = 2 * time.Second
)

// errCallerSlow means that a stream was given up because its caller reads too slowly.
const errCallerSlow = errors.ConstError("the caller reads too slowly")

// readAhead reads the events of one attempt. The relay reads them itself until a write to the caller takes long; from then on a goroutine reads ahead, as far as memory lets it.
type readAhead struct {
	rel *relay
	att *attempt
	wat *watchdog
	res *reserver.Reserver
	clk clockwork.Clock
	// ahead is the relay's own copy of running. num, last and the response are used by whichever goroutine reads.
	ahead bool
	num   int
	last  string
	// sent is the ID of the last event that the unit has sent, and resumed says that the caller has received events of another one.
	sent    string
	resumed bool
	// unfinished says that a part of an event was read that comes after the last one.
	unfinished bool

	mux     sync.Mutex
	timer   clockwork.Timer
	writing bool
	running bool
	closed  bool
	queue   []event
	// held is the size in bytes of the queue and of the event that is being written, which has current bytes.
	held    int64
	current int64
	// err is how reading has ended.
	err   error
	ended chan struct{}
	added chan struct{}
	taken chan struct{}
}

func (rel *relay) newReadAhead(att *attempt, wat *watchdog) *readAhead {
	return &readAhead{rel: rel, att: att, wat: wat, res: rel.gat.opt.Reserver, clk: rel.gat.opt.Clock, last: rel.lastEventID, resumed: rel.started, unfinished: rel.unfinished}
}

// next returns the next event to relay; it returns io.EOF only between two events.
func (rea *readAhead) next() (event, error) {
	if !rea.ahead {
		return rea.read()
	}
	for {
		eve, found, err := rea.take()
		if found || err != nil {
			return eve, err
		}
		<-rea.added
	}
}

// read reads the next event that the caller has not received yet, and records the signs of life of the unit.
func (rea *readAhead) read() (event, error) {
	for {
		eve, err := rea.att.readEvent()
		if err != nil {
			return eve, rea.checkEnd(eve, err)
		}
		if rea.resumed && !eve.continues(rea.last) {
			return eve, errors.NotValidf("event of a resumed stream")
		}
		if eve.hasData {
			rea.num++
			rea.att.placement.FirstEvent()
			rea.wat.noteEvent()
			rea.rel.noteProgress(rea.wat)
		}
		if eve.id == "" {
			return eve, nil
		}
		rea.sent = eve.id
		if follows(eve.id, rea.last) {
			rea.last, rea.unfinished = eve.id, false
			// Whatever was read is written before another unit goes on.
			rea.wat.hedge.accepted(eve.id)
			return eve, nil
		}
	}
}

// checkEnd returns how the stream has ended: not with io.EOF if the unit has sent less than another one before it.
func (rea *readAhead) checkEnd(eve event, err error) error {
	if !errors.Is(err, io.EOF) {
		rea.unfinished = rea.unfinished || len(bytes.TrimSpace(eve.data)) > 0 && eve.data[0] != ':'
		return err
	}
	if rea.unfinished || rea.sent != "" && rea.sent != rea.last && follows(rea.last, rea.sent) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// beginWrite notes that the relay writes an event.
func (rea *readAhead) beginWrite() {
	if rea.ahead {
		return
	}
	rea.mux.Lock()
	defer rea.mux.Unlock()
	rea.writing = true
	if rea.timer == nil {
		rea.timer = rea.clk.AfterFunc(slowWriteAfter, rea.onSlowWrite)
		return
	}
	rea.timer.Reset(slowWriteAfter)
}

// endWrite notes that the event is written.
func (rea *readAhead) endWrite() {
	if rea.ahead {
		return
	}
	rea.mux.Lock()
	defer rea.mux.Unlock()
	rea.writing = false
	rea.timer.Stop()
	rea.ahead = rea.running
}

func (rea *readAhead) onSlowWrite() {
	rea.mux.Lock()
	defer rea.mux.Unlock()
	if !rea.writing || rea.running || rea.closed {
		return
	}
	rea.running = true
	rea.ended, rea.added, rea.taken = make(chan struct{}), make(chan struct{}, 1), make(chan struct{}, 1)
	go rea.run()
}

// run reads ahead until the stream ends, the caller is too slow or the relay has ended.
func (rea *readAhead) run() {
	defer close(rea.ended)
	for {
		eve, err := rea.read()
		if err == nil {
			err = rea.add(eve)
		}
		if err != nil {
			rea.end(err)
			return
		}
	}
}

// add queues an event once there is room for it; it fails with errCallerSlow if there is none for long, and queues the event nevertheless.
func (rea *readAhead) add(eve event) error {
	size := int64(cap(eve.data)) + eventOverheadBytes
	if rea.tryAdd(eve, size) {
		return nil
	}
	rea.wat.pause()
	defer rea.wat.resume()
	for began := rea.clk.Now(); rea.clk.Since(began) < rea.rel.gat.opt.UnreadFor; {
		select {
		case <-rea.taken:
		case <-rea.clk.After(roomPollInterval):
		}
		if rea.tryAdd(eve, size) {
			return nil
		}
	}
	rea.mux.Lock()
	defer rea.mux.Unlock()
	rea.res.Hold(reserver.Events, size)
	rea.push(eve, size)
	return errCallerSlow
}

func (rea *readAhead) tryAdd(eve event, size int64) bool {
	rea.mux.Lock()
	defer rea.mux.Unlock()
	if !rea.closed && !rea.res.TryHoldEvent(rea.held, size) {
		return false
	}
	if rea.closed {
		return true
	}
	rea.push(eve, size)
	return true
}

func (rea *readAhead) push(eve event, size int64) {
	rea.queue = append(rea.queue, eve)
	rea.held += size
	signal(rea.added)
}

// take returns the next event of the queue if there is one, otherwise how the stream has ended, if it has.
func (rea *readAhead) take() (eve event, found bool, err error) {
	rea.mux.Lock()
	defer rea.mux.Unlock()
	rea.release(rea.current)
	rea.current = 0
	signal(rea.taken)
	if len(rea.queue) == 0 {
		return event{}, false, rea.err
	}
	eve = rea.queue[0]
	rea.queue[0] = event{}
	rea.queue = rea.queue[1:]
	rea.current = int64(cap(eve.data)) + eventOverheadBytes
	return eve, true, nil
}

func (rea *readAhead) release(num int64) {
	rea.held -= num
	rea.res.Release(reserver.Events, num)
}

// end records how reading has ended. The unit is not kept until a slow caller has read the rest.
func (rea *readAhead) end(err error) {
	rea.wat.pause()
	rea.mux.Lock()
	rea.err = err
	closed := rea.closed
	rea.mux.Unlock()
	switch {
	case closed:
	case errors.Is(err, io.EOF):
		rea.att.exc.End(true)
		rea.att.placement.Release(rea.outcome())
	case errors.Is(err, errCallerSlow):
		rea.att.exc.End(false)
		rea.att.placement.Release(dispatcher.Outcome{Result: dispatcher.Neutral})
	}
	signal(rea.added)
}

// outcome returns the outcome of a stream that the unit has sent whole.
func (rea *readAhead) outcome() dispatcher.Outcome {
	out := dispatcher.Outcome{Result: dispatcher.Served, Duration: rea.clk.Since(rea.rel.sentAt)}
	if rea.num > 1 {
		out.EventInterval = rea.wat.eventSpan() / time.Duration(rea.num-1)
	}
	return out
}

// stop ends reading ahead, releases what is held, and returns how many events the unit has sent.
func (rea *readAhead) stop() int {
	rea.mux.Lock()
	rea.closed = true
	running := rea.running
	if running && rea.err == nil {
		rea.att.exc.SetReadDeadline(rea.clk.Now())
		signal(rea.taken)
	}
	if rea.timer != nil {
		rea.timer.Stop()
	}
	rea.mux.Unlock()
	if !running {
		return rea.num
	}
	<-rea.ended
	rea.release(rea.held)
	return rea.num
}

// signal wakes the goroutine that waits for a channel of capacity one, now or the next time.
func signal(sig chan struct{}) {
	select {
	case sig <- struct{}{}:
	default:
	}
}
