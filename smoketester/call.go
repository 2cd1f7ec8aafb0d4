package smoketester

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/requester"
)

const (
	callTimeout      = 30 * time.Second
	maxAttempts      = 5
	minPause         = 200 * time.Millisecond
	maxPause         = 2 * time.Second
	maxErrorBodySize = 1 << 20
)

// request is one HTTP request of a workspace; read parses a successful response.
type request struct {
	method    string
	path      string
	workspace string
	model     string
	key       string
	body      []byte
	read      func(*http.Response) error
}

// call locates an entry for the request and sends it; it retries only a request that was refused as not run.
func (tri *Trial) call(ctx context.Context, req request) error {
	for attempt := 1; ; attempt++ {
		loc, err := tri.requester.Locate(ctx, req.workspace, req.model)
		if err != nil {
			return err
		}
		err = tri.send(ctx, loc.Entry, req)
		ref, refused := errors.AsType[*requester.Refusal](err)
		retry := refused && ref.Type == requester.RefusedNotRun && attempt < maxAttempts
		if !retry {
			return err
		}
		tri.printf("%s: not run, tried again: %s", req.workspace, ref.Message)
		if err := tri.pause(ctx, time.Duration(ref.RetryAfterMS)*time.Millisecond); err != nil {
			return err
		}
	}
}

func (tri *Trial) send(ctx context.Context, address string, req request) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	msg, err := http.NewRequestWithContext(ctx, req.method, "http://"+address+req.path, bytes.NewReader(req.body))
	if err != nil {
		return errors.Annotate(err, "smoketester: create request")
	}
	msg.Header.Set("Content-Type", "application/json")
	msg.Header.Set("X-Workspace", req.workspace)
	if req.key != "" {
		msg.Header.Set("Idempotency-Key", req.key)
	}
	res, err := tri.client.Do(msg)
	if err != nil {
		return errors.Annotatef(err, "smoketester: entry %s", address)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusMultipleChoices {
		return errors.Annotatef(readRefusal(res), "smoketester: entry %s", address)
	}
	return errors.Annotatef(req.read(res), "smoketester: entry %s", address)
}

func readRefusal(res *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBodySize))
	if err != nil {
		return errors.WithType(err, ErrRefused)
	}
	var body struct {
		Error requester.Refusal `json:"error"`
	}
	if json.Unmarshal(data, &body) != nil {
		body.Error.Body = string(data)
	}
	body.Error.Status = res.StatusCode
	return errors.WithType(&body.Error, ErrRefused)
}

func (tri *Trial) pause(ctx context.Context, dur time.Duration) error {
	select {
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "smoketester: wait")
	case <-tri.Clock.After(min(max(dur, minPause), maxPause)):
		return nil
	}
}
