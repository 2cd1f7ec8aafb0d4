package streamer

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"sync"

	"github.com/juju/errors"
)

// MaxLine is the size limit of one line of a stream, in bytes.
const MaxLine = 32 << 10

var (
	dataField = []byte("data:")
	endMarker = []byte("[DONE]")
)

var buffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, MaxLine) }}

// reader validates one stream and delivers its tokens.
type reader struct {
	ctx           context.Context
	sink          Sink
	id            []byte
	next          int
	lastChunkRead bool
	result        Result
	chu           chunk
}

// read delivers the tokens of a body to the sink until the end marker.
func (rea *reader) read(body io.Reader) error {
	buf := buffers.Get().(*bufio.Reader)
	defer buffers.Put(buf)
	defer buf.Reset(nil)
	buf.Reset(body)
	for {
		line, err := buf.ReadSlice('\n')
		if rea.ctx.Err() != nil {
			return rea.brokenError(ReasonCancelled, rea.ctx.Err())
		}
		if err != nil {
			return rea.readError(err)
		}
		data, isData := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), dataField)
		if !isData {
			continue
		}
		complete, err := rea.handleEvent(bytes.TrimSpace(data))
		if err != nil || complete {
			return err
		}
	}
}

func (rea *reader) readError(err error) error {
	if errors.Is(err, bufio.ErrBufferFull) {
		return rea.brokenError(ReasonLineSize, errors.Trace(err))
	}
	if errors.Is(err, io.EOF) {
		return rea.brokenError(ReasonNoEnd, errors.Trace(err))
	}
	return rea.brokenError(ReasonConnection, errors.Trace(err))
}

func (rea *reader) brokenError(rsn Reason, cause error) error {
	return &BrokenError{Tokens: rea.next, Reason: rsn, Cause: cause}
}

// handleEvent processes one event and reports whether the answer is complete.
func (rea *reader) handleEvent(data []byte) (bool, error) {
	if bytes.Equal(data, endMarker) {
		if !rea.lastChunkRead {
			return false, rea.brokenError(ReasonNoEnd, nil)
		}
		return true, nil
	}
	if rea.lastChunkRead || !rea.chu.parse(data) {
		return false, rea.brokenError(ReasonMalformed, nil)
	}
	if !bytes.Equal(rea.chu.id, rea.id) {
		return false, rea.brokenError(ReasonOtherRequest, nil)
	}
	if rea.chu.index < rea.next {
		return false, rea.brokenError(ReasonRepeated, nil)
	}
	if rea.chu.index > rea.next {
		return false, rea.brokenError(ReasonGap, nil)
	}
	return false, rea.acceptChunk()
}

// acceptChunk delivers the token of the parsed chunk; the last chunk may have none.
func (rea *reader) acceptChunk() error {
	last := len(rea.chu.finishReason) > 0
	if !last || len(rea.chu.content) > 0 {
		if err := rea.sink.Token(rea.next, rea.chu.content); err != nil {
			return rea.brokenError(ReasonSink, errors.Trace(err))
		}
		rea.next++
	}
	if !last {
		return nil
	}
	if rea.chu.completionTokens != rea.next {
		return rea.brokenError(ReasonUsage, nil)
	}
	rea.lastChunkRead = true
	rea.result = Result{Tokens: rea.next, PromptTokens: rea.chu.promptTokens, Finish: string(rea.chu.finishReason)}
	return nil
}
