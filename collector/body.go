package collector

import (
	"sync"

	"github.com/juju/errors"
)

type segment [segmentBytes]byte

// segments are reused, since bodies without end would leave garbage faster than it is collected.
var segments = sync.Pool{New: func() any { return new(segment) }}

// body is the part of a body that was read so far: the first buffer grows up to freeBytes, then segments are added.
type body struct {
	col      *Collector
	size     int64
	first    []byte
	segments []*segment
	// used is how many bytes of the last segment are filled.
	used int
}

// firstSize returns the size of the first buffer: a stated length is not trusted beyond freeBytes.
func firstSize(length int64) int64 {
	// One byte more than the length, so that the end is found without another buffer.
	return max(smallestBuffer, min(length+1, freeBytes))
}

// space returns where the next bytes go; it fails with ErrTooLarge if the collector's total is used up.
func (bod *body) space() ([]byte, error) {
	if len(bod.first) == cap(bod.first) && cap(bod.first) < freeBytes {
		bod.first = append(make([]byte, 0, min(2*cap(bod.first), freeBytes)), bod.first...)
	}
	if len(bod.first) < cap(bod.first) {
		return bod.first[len(bod.first):cap(bod.first)], nil
	}
	if len(bod.segments) == 0 || bod.used == segmentBytes {
		if bod.col.total.Add(segmentBytes) > bod.col.maxTotal {
			bod.col.total.Add(-segmentBytes)
			return nil, errors.Annotatef(ErrTooLarge, "collector: all bodies that are being read, after %d bytes of this one", bod.size)
		}
		bod.segments, bod.used = append(bod.segments, segments.Get().(*segment)), 0
	}
	return bod.segments[len(bod.segments)-1][bod.used:], nil
}

// add counts bytes that were read into the last space.
func (bod *body) add(num int) {
	bod.size += int64(num)
	if len(bod.segments) == 0 {
		bod.first = bod.first[:len(bod.first)+num]
		return
	}
	bod.used += num
}

// bytes returns the whole body in one slice.
func (bod *body) bytes() []byte {
	if len(bod.segments) == 0 {
		return bod.first
	}
	out := append(make([]byte, 0, bod.size), bod.first...)
	for num, seg := range bod.segments {
		end := segmentBytes
		if num == len(bod.segments)-1 {
			end = bod.used
		}
		out = append(out, seg[:end]...)
	}
	return out
}

func (bod *body) release() {
	for _, seg := range bod.segments {
		segments.Put(seg)
	}
	bod.col.total.Add(-int64(len(bod.segments)) * segmentBytes)
}
