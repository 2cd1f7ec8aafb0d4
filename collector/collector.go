package collector

import (
	"io"
	"sync/atomic"

	"github.com/juju/errors"
)

const (
	// MaxHeadBytes is the maximum size in bytes of the heads of one response, interim ones (1xx) included.
	MaxHeadBytes = 64 << 10
	// MaxControlBytes is the maximum size in bytes of the response to a health check or an order.
	MaxControlBytes = 64 << 10
	// MaxBodyBytes is the maximum size in bytes of the body of a plain call's response, which is read whole before it is forwarded.
	MaxBodyBytes = 4 << 20
	// MaxTotalBytes is the maximum size in bytes of all bodies of plain calls that are being read at once, beyond freeBytes of each.
	MaxTotalBytes = 16 << 20
	// freeBytes is the size of a body that is not charged to the total, so that ordinary responses are read while large ones use it up.
	freeBytes = 64 << 10
	// segmentBytes is the size of the pooled buffers that the rest of a body is read into.
	segmentBytes = 64 << 10
	// smallestBuffer is the size of the first buffer for a body of unknown length.
	smallestBuffer = 512
)

// ErrTooLarge means that a response, or all that are being read at once, exceeded the maximum size.
const ErrTooLarge = errors.ConstError("response is too large")

// Collector reads bodies within a limit for each and one for all; it is safe for concurrent use.
type Collector struct {
	maxBody  int64
	maxTotal int64
	total    atomic.Int64
}

// New returns a collector of bodies of at most maxBody bytes each; bodies that are being read may use maxTotal bytes together, beyond the first 64 KiB of each.
func New(maxBody, maxTotal int64) *Collector {
	return &Collector{maxBody: maxBody, maxTotal: maxTotal}
}

// Read reads a body to its end, with its length if known, otherwise -1; it fails with ErrTooLarge or the error of src.
func (col *Collector) Read(src io.Reader, length int64) ([]byte, error) {
	if length > col.maxBody {
		return nil, errors.Annotatef(ErrTooLarge, "collector: body of %d bytes", length)
	}
	bod := body{col: col, first: make([]byte, 0, firstSize(length))}
	defer bod.release()
	for {
		spa, err := bod.space()
		if err != nil {
			return nil, err
		}
		num, err := src.Read(spa)
		bod.add(num)
		if bod.size > col.maxBody {
			return nil, errors.Annotatef(ErrTooLarge, "collector: body of more than %d bytes", col.maxBody)
		}
		if errors.Is(err, io.EOF) {
			return bod.bytes(), nil
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
	}
}

// ReadAll reads a single body of at most limit bytes; it fails with ErrTooLarge or the error of src.
func ReadAll(src io.Reader, limit int64) ([]byte, error) {
	return New(limit, limit).Read(src, -1)
}
