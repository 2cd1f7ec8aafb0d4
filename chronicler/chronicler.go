package chronicler

import (
	"io"
	"sync"
	"sync/atomic"
)

// AsyncWriter is a writer that queues lines, writes them in the background and drops lines while its queue is full; it is safe for concurrent use.
type AsyncWriter struct {
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	// mux guards the queue against being closed while a line is added.
	mux    sync.RWMutex
	closed bool
}

// New returns a writer that writes to dst and queues at most the given number of lines.
func New(dst io.Writer, lines int) *AsyncWriter {
	chr := &AsyncWriter{queue: make(chan []byte, lines), done: make(chan struct{})}
	go chr.run(dst)
	return chr
}

// Write queues a copy of one line, or drops it after Close; it never fails and never waits for the output.
func (chr *AsyncWriter) Write(line []byte) (int, error) {
	chr.mux.RLock()
	defer chr.mux.RUnlock()
	if chr.closed {
		chr.dropped.Add(1)
		return len(line), nil
	}
	select {
	case chr.queue <- append([]byte(nil), line...):
	default:
		chr.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or could not be written so far.
func (chr *AsyncWriter) Dropped() int64 {
	return chr.dropped.Load()
}

// Close writes the queued lines and returns; lines that come later are dropped.
func (chr *AsyncWriter) Close() {
	chr.mux.Lock()
	if !chr.closed {
		chr.closed = true
		close(chr.queue)
	}
	chr.mux.Unlock()
	<-chr.done
}

func (chr *AsyncWriter) run(dst io.Writer) {
	defer close(chr.done)
	for line := range chr.queue {
		if _, err := dst.Write(line); err != nil {
			chr.dropped.Add(1)
		}
	}
}
