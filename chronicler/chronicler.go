package chronicler

import (
	"io"
	"sync/atomic"
)

// AsyncWriter is a writer that queues lines, writes them in the background and drops lines while its queue is full; it is safe for concurrent use.
type AsyncWriter struct {
	queue   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a writer that writes to dst and queues at most the given number of lines.
func New(dst io.Writer, lines int) *AsyncWriter {
	chr := &AsyncWriter{queue: make(chan []byte, lines), done: make(chan struct{})}
	go chr.run(dst)
	return chr
}

// Write queues a copy of one line; it never fails and never blocks.
func (chr *AsyncWriter) Write(line []byte) (int, error) {
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

// Close writes the queued lines and returns; Write must not be called after it.
func (chr *AsyncWriter) Close() {
	close(chr.queue)
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
