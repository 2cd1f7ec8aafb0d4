package gateway

import (
	"bytes"
	"io"
	"time"

	"github.com/juju/errors"
)

const (
	// defaultBodyBytes bounds a body where the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// waitShare is the part of a route's objective that a request may wait for a place; the rest is left for the backend server's own work.
	waitShare = 0.6
	// resumeWait is how long a request that has run in part may wait for another place; callers leave a silent stream after 2 s.
	resumeWait = 1200 * time.Millisecond
	// stopFactor times the expected work of a request, and stopSpare, must be left of a stopping entry's time to take it: streams on a full unit take up to three times as long.
	stopFactor = 3
	stopSpare  = time.Second
	// retryElsewhere is the advice where another entry can take the request at once.
	retryElsewhere = 20 * time.Millisecond
	// costPerSecond scales the expected work of a request to whole numbers for the queue.
	costPerSecond = 100.0
	// plainWork is the expected work of a plain call, from the work column of the sheets in docs/ADAPTER.md.
	plainWork = 60 * time.Millisecond
	// mostSends bounds the backend servers that one request is sent to, those that turned it away included.
	mostSends = 4
	// repeatAfter is after how many objectives without an answer a plain call that may be repeated is sent once more.
	repeatAfter = 2.5
	// firstCheck is the part of a stream's objective after which a unit that has sent no first event is checked.
	firstCheck = 0.75
	// pauseCheck is the part of a stream's longest good pause after which a silent unit is checked.
	pauseCheck = 0.6
	// silenceLimit is how long a stream may be silent before it is resumed elsewhere though its unit answers checks; callers leave after 2 s.
	silenceLimit = 1300 * time.Millisecond
	// eventBytes bounds one event of a stream; the largest in the sites of docs/ADAPTER.md has 390.
	eventBytes = 256 << 10
)

// readAll reads a body to its end; a known length saves growing the buffer.
func readAll(src io.Reader, length int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	var buf bytes.Buffer
	if length > 0 && length <= defaultBodyBytes {
		buf.Grow(int(length) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(src)
	return buf.Bytes(), errors.Trace(err)
}
