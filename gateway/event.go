package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

// event is one complete server-sent event with its unmodified bytes.
type event struct {
	id   string
	data []byte
	// hasData is false for comments and blank lines, which a unit may send without making progress.
	hasData bool
	// hasField is false for comments and blank lines only.
	hasField bool
}

// readEvent reads up to the blank line that ends an event; it returns io.EOF only between two events, and fails with errors.NotValid for bytes of another format.
func readEvent(rea *bufio.Reader) (event, error) {
	var eve event
	lineStart := 0
	for {
		line, err := rea.ReadSlice('\n')
		eve.data = append(eve.data, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(eve.data) <= maxEventBytes:
			continue
		case errors.Is(err, io.EOF) && len(eve.data) == 0:
			return eve, io.EOF
		case errors.Is(err, io.EOF) && len(eve.data) == lineStart && !eve.hasField:
			// Comments at the end of a stream belong to no event.
			return eve, nil
		case errors.Is(err, io.EOF):
			return eve, io.ErrUnexpectedEOF
		case err != nil:
			return eve, errors.Trace(err)
		case len(eve.data) > maxEventBytes:
			return eve, errors.NotValidf("event of more than %d bytes", maxEventBytes)
		}
		line, lineStart = eve.data[lineStart:], len(eve.data)
		if bytes.HasPrefix(line, []byte("data")) {
			eve.hasData = true
		}
		if val, found := bytes.CutPrefix(line, []byte("id:")); found {
			eve.id = string(bytes.TrimSpace(val))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return eve, nil
		}
		if !isField(line) {
			return eve, errors.NotValidf("line of an event stream")
		}
		eve.hasField = eve.hasField || line[0] != ':'
	}
}

// isField reports whether a line can be a field or a comment of an event; the names of fields are in lower case, unlike those in the head of a response.
func isField(line []byte) bool {
	for _, chr := range line {
		switch {
		case chr == ':':
			return true
		case chr == ' ' || 'A' <= chr && chr <= 'Z':
			return false
		}
	}
	return true
}

// continues reports whether an event can belong to a stream that was resumed after an ID, as opposed to an error in the format of an event.
func (eve event) continues(last string) bool {
	return !eve.hasField || eve.id != "" && (last == "" || isNumber(eve.id) == isNumber(last))
}

func isNumber(id string) bool {
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}

// follows reports whether an event comes after the last relayed one; it is true for IDs that are not numbers.
func follows(id, last string) bool {
	if last == "" {
		return true
	}
	one, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	two, err := strconv.ParseInt(last, 10, 64)
	return err != nil || one > two
}
