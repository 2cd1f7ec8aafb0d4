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

// MaxErrorBody is the maximum number of bytes that are read of an error response.
const MaxErrorBody = 4 << 10

// Call is a chat completion to stream; ResumeFrom is the number of tokens that the caller already has, and a cold engine refuses the call if it would exceed ColdLimit concurrent requests.
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

// Result describes a complete answer; Tokens includes the tokens before ResumeFrom.
type Result struct {
	Tokens       int
	PromptTokens int
	Finish       string
}

// Sink receives each token once and in order; content is only valid during the call, and an error ends the stream.
type Sink interface {
	Token(index int, content []byte) error
}

// Streamer requests streamed chat completions from engines.
type Streamer struct {
	cli *http.Client
}

// New returns a Streamer that sends with cli, which determines the local address.
func New(cli *http.Client) *Streamer {
	return &Streamer{cli: cli}
}

// Stream runs a call and delivers its tokens to the sink; errors are of type NotStartedError, RejectedError or BrokenError.
func (str *Streamer) Stream(ctx context.Context, cal Call, sink Sink) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	gotConn := false
	tra := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn = true }}
	req, err := cal.request(httptrace.WithClientTrace(ctx, tra))
	if err != nil {
		return Result{}, &NotStartedError{Reason: ReasonMalformed, Cause: errors.Trace(err)}
	}
	res, err := str.cli.Do(req)
	if err != nil && !gotConn {
		return Result{}, &NotStartedError{Reason: ReasonDial, Cause: errors.Trace(err)}
	}
	if err != nil {
		return Result{}, &BrokenError{Tokens: cal.ResumeFrom, Reason: ReasonConnection, Cause: errors.Trace(err)}
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return Result{}, statusError(res, cal.ResumeFrom)
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

func statusError(res *http.Response, resumeFrom int) error {
	body, _ := io.ReadAll(io.LimitReader(res.Body, MaxErrorBody))
	if res.StatusCode == http.StatusConflict {
		return &NotStartedError{Reason: ReasonFence}
	}
	if rsn, known := unavailableReason(res.StatusCode, body); known {
		return &NotStartedError{Reason: rsn}
	}
	if res.StatusCode >= 400 && res.StatusCode < 500 {
		return &RejectedError{Status: res.StatusCode, Body: body}
	}
	return &BrokenError{Tokens: resumeFrom, Reason: ReasonStatus, Cause: errors.NotSupportedf("status %d", res.StatusCode)}
}

func unavailableReason(status int, body []byte) (Reason, bool) {
	if status != http.StatusServiceUnavailable {
		return "", false
	}
	var answer struct {
		Reason Reason `json:"reason"`
	}
	if json.Unmarshal(body, &answer) != nil {
		return "", false
	}
	known := answer.Reason == ReasonCold || answer.Reason == ReasonNotReady || answer.Reason == ReasonOverloaded
	return answer.Reason, known
}
