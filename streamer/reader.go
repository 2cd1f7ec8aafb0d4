package streamer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"sync"

	"github.com/juju/errors"
)

// MaxLine bounds one line of a stream, in bytes.
const MaxLine = 32 << 10

var (
	dataField = []byte("data:")
	endMarker = []byte("[DONE]")
)

var buffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, MaxLine) }}

// reader holds one stream to its rules.
type reader struct {
	ctx    context.Context
	sink   Sink
	id     []byte
	next   int
	ended  bool
	result Result
	chu    chunk
}

// read passes the tokens of a body on until the end marker.
func (rea *reader) read(body io.Reader) error {
	buf := buffers.Get().(*bufio.Reader)
	defer buffers.Put(buf)
	defer buf.Reset(nil)
	buf.Reset(body)
	for {
		line, err := buf.ReadSlice('\n')
		if rea.ctx.Err() != nil {
			return rea.broken(ReasonCancelled, rea.ctx.Err())
		}
		if err != nil {
			return rea.cut(err)
		}
		data, isData := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataField)
		if !isData {
			continue
		}
		whole, err := rea.event(bytes.TrimSpace(data))
		if err != nil || whole {
			return err
		}
	}
}

func (rea *reader) cut(err error) error {
	if errors.Is(err, bufio.ErrBufferFull) {
		return rea.broken(ReasonLineSize, errors.Trace(err))
	}
	if errors.Is(err, io.EOF) {
		return rea.broken(ReasonNoEnd, errors.Trace(err))
	}
	return rea.broken(ReasonConnection, errors.Trace(err))
}

func (rea *reader) broken(rsn Reason, cause error) error {
	return &BrokenError{Tokens: rea.next, Reason: rsn, Cause: cause}
}

// event takes in one event and reports whether the answer is whole with it.
func (rea *reader) event(data []byte) (bool, error) {
	if bytes.Equal(data, endMarker) {
		if !rea.ended {
			return false, rea.broken(ReasonNoEnd, nil)
		}
		return true, nil
	}
	if rea.ended || !rea.chu.parse(data) {
		return false, rea.broken(ReasonMalformed, nil)
	}
	if !bytes.Equal(rea.chu.id, rea.id) {
		return false, rea.broken(ReasonCrossed, nil)
	}
	if rea.chu.index < rea.next {
		return false, rea.broken(ReasonRepeated, nil)
	}
	if rea.chu.index > rea.next {
		return false, rea.broken(ReasonGap, nil)
	}
	return false, rea.take()
}

// take passes the token on; the last chunk may come without one.
func (rea *reader) take() error {
	last := len(rea.chu.finish) > 0
	if !last || len(rea.chu.content) > 0 {
		if err := rea.sink.Token(rea.next, rea.chu.content); err != nil {
			return rea.broken(ReasonSink, errors.Trace(err))
		}
		rea.next++
	}
	if !last {
		return nil
	}
	if rea.chu.completion != rea.next {
		return rea.broken(ReasonUsage, nil)
	}
	rea.ended = true
	rea.result = Result{Tokens: rea.next, PromptTokens: rea.chu.prompt, Finish: string(rea.chu.finish)}
	return nil
}
