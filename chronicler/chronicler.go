package chronicler

import (
	"io"
	"sync/atomic"
)

// Chronicler is a writer that passes lines on in the background and drops them when its queue is full; it is safe for concurrent use.
type Chronicler struct {
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a chronicler that writes to dst and queues so many lines.
func New(dst io.Writer, lines int) *Chronicler {
	chr := &Chronicler{queue: make(chan []byte, lines), done: make(chan struct{})}
	go chr.run(dst)
	return chr
}

// Write queues one line; it never fails and never waits.
func (chr *Chronicler) Write(line []byte) (int, error) {
	select {
	case chr.queue <- append([]byte(nil), line...):
	default:
		chr.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were dropped so far.
func (chr *Chronicler) Dropped() int64 {
	return chr.dropped.Load()
}

// Close writes what is queued; nothing may be written after it.
func (chr *Chronicler) Close() {
	close(chr.queue)
	<-chr.done
}

func (chr *Chronicler) run(dst io.Writer) {
	defer close(chr.done)
	for line := range chr.queue {
		if _, err := dst.Write(line); err != nil {
			chr.dropped.Add(1)
		}
	}
}
