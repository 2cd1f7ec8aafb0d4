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

// ErrNoRoom is an ErrTooLarge because all bodies together use up the budget.
var ErrNoRoom = errors.WithType(errors.ConstError("no room for more of the body"), ErrTooLarge)

// Budget limits the memory of all bodies, in bytes.
type Budget interface {
	// Hold counts bytes that are held in any case.
	Hold(num int64)
	// TryHold counts bytes if there is room for them, and reports whether there is.
	TryHold(num int64) bool
	// Release counts bytes that are no longer held.
	Release(num int64)
}

// Collector reads bodies within a limit for each and one for all; it is safe for concurrent use.
type Collector struct {
	maxBody int64
	bud     Budget
	// countAll says that the budget counts the beginnings of bodies, too.
	countAll bool
}

// New returns a collector of bodies of at most maxBody bytes each; bodies that are being read may use maxTotal bytes together, beyond the first 64 KiB of each.
func New(maxBody, maxTotal int64) *Collector {
	return &Collector{maxBody: maxBody, bud: &largeBodies{limit: maxTotal}}
}

// NewWithin returns a collector of bodies of at most maxBody bytes each within a budget that may be shared; the first 64 KiB of each body are held in any case.
func NewWithin(maxBody int64, bud Budget) *Collector {
	return &Collector{maxBody: maxBody, bud: bud, countAll: true}
}

// largeBodies is the budget of a collector that shares none.
type largeBodies struct {
	limit int64
	total atomic.Int64
}

func (lar *largeBodies) Hold(num int64) { lar.total.Add(num) }

func (lar *largeBodies) TryHold(num int64) bool {
	if lar.total.Add(num) > lar.limit {
		lar.total.Add(-num)
		return false
	}
	return true
}

func (lar *largeBodies) Release(num int64) { lar.total.Add(-num) }

// Read reads a body to its end, with its length if known, otherwise -1; it fails with ErrTooLarge or the error of src. The bytes are not counted once they are returned.
func (col *Collector) Read(src io.Reader, length int64) ([]byte, error) {
	bod, err := col.ReadBody(src, length)
	if err != nil {
		return nil, err
	}
	defer bod.Release()
	return bod.bytes(), nil
}

// ReadBody reads a body as Read does; it counts until its Release is called.
func (col *Collector) ReadBody(src io.Reader, length int64) (*Body, error) {
	if length > col.maxBody {
		return nil, errors.Annotatef(ErrTooLarge, "collector: body of %d bytes", length)
	}
	bod := &Body{col: col}
	bod.first = make([]byte, 0, firstSize(length))
	bod.hold(cap(bod.first))
	err := bod.read(src)
	if err != nil {
		bod.Release()
		return nil, err
	}
	return bod, nil
}

// read reads to the end of src.
func (bod *Body) read(src io.Reader) error {
	for {
		spa, err := bod.space()
		if err != nil {
			return err
		}
		num, err := src.Read(spa)
		bod.add(num)
		if bod.size > bod.col.maxBody {
			return errors.Annotatef(ErrTooLarge, "collector: body of more than %d bytes", bod.col.maxBody)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
	}
}

// ReadAll reads a single body of at most limit bytes; it fails with ErrTooLarge or the error of src.
func ReadAll(src io.Reader, limit int64) ([]byte, error) {
	return New(limit, limit).Read(src, -1)
}
