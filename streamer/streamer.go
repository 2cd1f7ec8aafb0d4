package streamer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"

	"github.com/juju/errors"
)

// MaxRefusal bounds what is read of an engine's refusal, in bytes.
const MaxRefusal = 4 << 10

// Call is a chat completion to be streamed; ResumeFrom counts the tokens that the caller has already, and an engine that is cold refuses the call when it would run more than ColdLimit requests at once.
type Call struct {
	Address    string
	Group      string
	Fence      int64
	RequestID  string
	ResumeFrom int
	Priority   int
	ColdLimit  int
	Body       []byte
}

// Result is the end of a whole answer; Tokens includes those resumed from.
type Result struct {
	Tokens       int
	PromptTokens int
	Finish       string
}

// Sink gets each token once and in order; content is valid during the call only, and an error ends the stream.
type Sink interface {
	Token(index int, content []byte) error
}

// Streamer asks engines for streamed chat completions.
type Streamer struct {
	cli *http.Client
}

// New returns a Streamer that sends by cli, which chooses the local address.
func New(cli *http.Client) *Streamer {
	return &Streamer{cli: cli}
}

// Stream runs a call and passes its tokens to the sink; it fails with NotStartedError, RejectedError or BrokenError.
func (str *Streamer) Stream(ctx context.Context, cal Call, sink Sink) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	handed := false
	tra := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { handed = true }}
	req, err := cal.request(httptrace.WithClientTrace(ctx, tra))
	if err != nil {
		return Result{}, &NotStartedError{Reason: ReasonMalformed, Cause: errors.Trace(err)}
	}
	res, err := str.cli.Do(req)
	if err != nil && !handed {
		return Result{}, &NotStartedError{Reason: ReasonDial, Cause: errors.Trace(err)}
	}
	if err != nil {
		return Result{}, &BrokenError{Tokens: cal.ResumeFrom, Reason: ReasonConnection, Cause: errors.Trace(err)}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return Result{}, refusal(res, cal.ResumeFrom)
	}
	rea := reader{ctx: ctx, sink: sink, id: []byte(cal.RequestID), next: cal.ResumeFrom}
	if err := rea.read(res.Body); err != nil {
		return Result{}, err
	}
	return rea.result, nil
}

func (cal Call) request(ctx context.Context) (*http.Request, error) {
	url := "http://" + cal.Address + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(cal.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set("X-Request-Id", cal.RequestID)
	req.Header.Set("X-Group", cal.Group)
	req.Header.Set("X-Fence", strconv.FormatInt(cal.Fence, 10))
	req.Header.Set("X-Resume-From", strconv.Itoa(cal.ResumeFrom))
	req.Header.Set("X-Priority", strconv.Itoa(cal.Priority))
	req.Header.Set("X-Cold-Limit", strconv.Itoa(cal.ColdLimit))
	return req, nil
}

func refusal(res *http.Response, resumed int) error {
	body, _ := io.ReadAll(io.LimitReader(res.Body, MaxRefusal))
	if res.StatusCode == http.StatusConflict {
		return &NotStartedError{Reason: ReasonFence}
	}
	if rsn, known := unavailable(res.StatusCode, body); known {
		return &NotStartedError{Reason: rsn}
	}
	if res.StatusCode >= 400 && res.StatusCode < 500 {
		return &RejectedError{Status: res.StatusCode, Body: body}
	}
	return &BrokenError{Tokens: resumed, Reason: ReasonStatus, Cause: errors.NotSupportedf("status %d", res.StatusCode)}
}

func unavailable(status int, body []byte) (Reason, bool) {
	if status != http.StatusServiceUnavailable {
		return "", false
	}
	var said struct {
		Reason Reason `json:"reason"`
	}
	if json.Unmarshal(body, &said) != nil {
		return "", false
	}
	known := said.Reason == ReasonCold || said.Reason == ReasonNotReady || said.Reason == ReasonOverloaded
	return said.Reason, known
}
