package collector

import (
	"io"
	"sync"

	"github.com/juju/errors"
)

// pieceBytes is the size of the writes of a body, so that events of streams need not wait for all of it.
const pieceBytes = 16 << 10

type segment [segmentBytes]byte

// segments are reused, since bodies without end would leave garbage faster than it is collected.
var segments = sync.Pool{New: func() any { return new(segment) }}

// Body is a body in memory, or the part of it that was read so far; it is not safe for concurrent use.
type Body struct {
	col  *Collector
	size int64
	// first grows up to freeBytes, then segments are added.
	first    []byte
	segments []*segment
	// used is how many bytes of the last segment are filled.
	used int
	// held is how many bytes the budget counts.
	held int64
}

// Size returns the size of the body in bytes.
func (bod *Body) Size() int64 {
	if bod == nil {
		return 0
	}
	return bod.size
}

// firstSize returns the size of the first buffer: a stated length is not trusted beyond freeBytes.
func firstSize(length int64) int64 {
	// One byte more than the length, so that the end is found without another buffer.
	return max(smallestBuffer, min(length+1, freeBytes))
}

// space returns where the next bytes go; it fails with ErrTooLarge if the collector's budget is used up.
func (bod *Body) space() ([]byte, error) {
	if len(bod.first) == cap(bod.first) && cap(bod.first) < freeBytes {
		bod.hold(min(2*cap(bod.first), freeBytes) - cap(bod.first))
		bod.first = append(make([]byte, 0, min(2*cap(bod.first), freeBytes)), bod.first...)
	}
	if len(bod.first) < cap(bod.first) {
		return bod.first[len(bod.first):cap(bod.first)], nil
	}
	if len(bod.segments) == 0 || bod.used == segmentBytes {
		if !bod.col.bud.TryHold(segmentBytes) {
			return nil, errors.Annotatef(ErrNoRoom, "collector: all bodies that are held, after %d bytes of this one", bod.size)
		}
		bod.held += segmentBytes
		bod.segments, bod.used = append(bod.segments, segments.Get().(*segment)), 0
	}
	return bod.segments[len(bod.segments)-1][bod.used:], nil
}

// hold counts bytes of the first buffer, for which there is always room.
func (bod *Body) hold(num int) {
	if !bod.col.countAll {
		return
	}
	bod.held += int64(num)
	bod.col.bud.Hold(int64(num))
}

// add counts bytes that were read into the last space.
func (bod *Body) add(num int) {
	bod.size += int64(num)
	if len(bod.segments) == 0 {
		bod.first = bod.first[:len(bod.first)+num]
		return
	}
	bod.used += num
}

// filled returns the filled part of a segment.
func (bod *Body) filled(num int) []byte {
	if num == len(bod.segments)-1 {
		return bod.segments[num][:bod.used]
	}
	return bod.segments[num][:]
}

// Join puts the whole body into one slice, which it returns; it fails with ErrTooLarge if the budget has no room for the copy of a large body.
func (bod *Body) Join() ([]byte, error) {
	if len(bod.segments) == 0 {
		return bod.first, nil
	}
	if !bod.col.bud.TryHold(bod.size) {
		return nil, errors.Annotatef(ErrNoRoom, "collector: a copy of %d bytes", bod.size)
	}
	out := bod.bytes()
	bod.Release()
	bod.first, bod.held = out, bod.size
	return out, nil
}

func (bod *Body) bytes() []byte {
	if len(bod.segments) == 0 {
		return bod.first
	}
	out := append(make([]byte, 0, bod.size), bod.first...)
	for num := range bod.segments {
		out = append(out, bod.filled(num)...)
	}
	return out
}

// WriteTo writes the body in pieces, and releases its memory as it is written; it can be called once.
func (bod *Body) WriteTo(wtr io.Writer) (int64, error) {
	if bod == nil {
		return 0, nil
	}
	defer bod.Release()
	sum, err := writePieces(wtr, bod.first)
	for num := 0; err == nil && num < len(bod.segments); num++ {
		var more int64
		more, err = writePieces(wtr, bod.filled(num))
		sum += more
		bod.releaseSegment(num)
	}
	return sum, err
}

func writePieces(wtr io.Writer, data []byte) (int64, error) {
	sum := int64(0)
	for len(data) > 0 {
		num, err := wtr.Write(data[:min(len(data), pieceBytes)])
		sum += int64(num)
		if err != nil {
			return sum, errors.Trace(err)
		}
		data = data[num:]
	}
	return sum, nil
}

func (bod *Body) releaseSegment(num int) {
	if bod.segments[num] == nil {
		return
	}
	segments.Put(bod.segments[num])
	bod.segments[num] = nil
	bod.held -= segmentBytes
	bod.col.bud.Release(segmentBytes)
}

// Release drops the body and the memory that it holds; further calls do nothing.
func (bod *Body) Release() {
	if bod == nil {
		return
	}
	for num := range bod.segments {
		bod.releaseSegment(num)
	}
	bod.col.bud.Release(bod.held)
	bod.segments, bod.first, bod.held = nil, nil, 0
}
