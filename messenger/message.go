package messenger

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
)

// messageTimeout is the time from the first byte of a message to its last.
const messageTimeout = 5 * time.Second

// ErrTooLarge means that a message was announced that is larger than any call.
const ErrTooLarge = errors.ConstError("message is too large")

// ErrNoRoom means that there is no memory for another message or call on a connection.
const ErrNoRoom = errors.ConstError("no room for the message")

// messageReader reads messages of package gob, each with its length before it, and looks at the lengths before the decoder does.
type messageReader struct {
	con net.Conn
	acc account
	max int64
	len length
	// left is how many bytes of the message are still to come, and timed says that they must come soon.
	left  int64
	timed bool

	mtx sync.Mutex
	// calls is the number of calls without a response, and size the size of the message that is being received.
	calls int
	size  int64
}

// Read reads from the connection; it fails with ErrTooLarge or ErrNoRoom before the decoder makes a buffer for a message.
func (rea *messageReader) Read(buf []byte) (int, error) {
	if err := rea.limitTime(); err != nil {
		return 0, err
	}
	num, err := rea.con.Read(buf)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		rea.acc.Late()
	}
	for data := buf[:num]; len(data) > 0; {
		if rea.left == 0 {
			if data = rea.len.add(data); !rea.len.whole() {
				break
			}
			if err := rea.begin(rea.len.take()); err != nil {
				return 0, err
			}
			continue
		}
		part := min(rea.left, int64(len(data)))
		data = data[part:]
		if rea.left -= part; rea.left == 0 {
			if err := rea.begin(0); err != nil {
				return 0, err
			}
		}
	}
	return num, err
}

// limitTime sets the read deadline: a message that has begun must end soon, and the next one may begin at any time.
func (rea *messageReader) limitTime() error {
	begun := rea.left > 0 || rea.len.begun()
	if begun == rea.timed {
		return nil
	}
	rea.timed = begun
	if !begun {
		return rea.con.SetReadDeadline(time.Time{})
	}
	return rea.con.SetReadDeadline(time.Now().Add(messageTimeout))
}

// begin begins a message; a size of 0 ends the last one.
func (rea *messageReader) begin(size int64) error {
	if size < 0 || size > rea.max {
		rea.acc.Refused()
		return errors.Annotatef(ErrTooLarge, "messenger: %d bytes", size)
	}
	rea.left = size
	rea.mtx.Lock()
	defer rea.mtx.Unlock()
	rea.size = size
	return rea.count()
}

// setCalls records how many calls have no response.
func (rea *messageReader) setCalls(num int) error {
	rea.mtx.Lock()
	defer rea.mtx.Unlock()
	rea.calls = num
	return rea.count()
}

// count tells the account what the connection needs.
func (rea *messageReader) count() error {
	var open bool
	switch need := rea.size + callBytes*int64(rea.calls); {
	case rea.size > 0:
		open = rea.acc.Message(need)
	case rea.calls > 0:
		open = rea.acc.Calls(need)
	default:
		open = rea.acc.Idle()
	}
	if !open {
		return errors.Trace(ErrNoRoom)
	}
	return nil
}

// length decodes an unsigned integer of package gob: a byte below 128, or the negated number of the bytes that follow, most significant first.
type length struct {
	need  int
	have  int
	value uint64
	done  bool
}

// maxLengthBytes is the size of the largest integer.
const maxLengthBytes = 8

// begun reports whether a part of the integer was read, and whole whether all of it was.
func (le *length) begun() bool { return le.need > 0 }

func (le *length) whole() bool { return le.done }

// add takes the bytes of the integer from data and returns the rest.
func (le *length) add(data []byte) []byte {
	for num, one := range data {
		switch {
		case le.need > 0:
			le.value = le.value<<8 | uint64(one)
			le.have++
			le.done = le.have == le.need
		case one < 0x80:
			le.value, le.done = uint64(one), true
		default:
			le.need = -int(int8(one))
			if le.need > maxLengthBytes {
				// No message has this length.
				le.value, le.done = 1<<63, true
			}
		}
		if le.done {
			return data[num+1:]
		}
	}
	return nil
}

// take returns the integer and begins the next one.
func (le *length) take() int64 {
	out := int64(le.value)
	*le = length{}
	return out
}
