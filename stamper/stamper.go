package stamper

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// size is the number of messages that are remembered: at 20 a second, more than 10 s of them.
const size = 256

type stamp struct {
	seq uint64
	at  time.Time
}

// Stamper holds the send times of the last messages; it is safe for concurrent use.
type Stamper struct {
	clk  clockwork.Clock
	mux  sync.Mutex
	last [size]stamp
}

// New returns a stamper without messages.
func New(clk clockwork.Clock) *Stamper {
	return &Stamper{clk: clk}
}

// Stamp records that the message with a number, which is above zero, is sent now.
func (sta *Stamper) Stamp(seq uint64) {
	sta.mux.Lock()
	defer sta.mux.Unlock()
	sta.last[seq%size] = stamp{seq: seq, at: sta.clk.Now()}
}

// Age returns how long ago a message was sent; known is false if it is no longer remembered.
func (sta *Stamper) Age(seq uint64) (age time.Duration, known bool) {
	sta.mux.Lock()
	defer sta.mux.Unlock()
	one := sta.last[seq%size]
	return sta.clk.Since(one.at), seq > 0 && one.seq == seq
}
