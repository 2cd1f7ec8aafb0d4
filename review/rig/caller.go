package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Host and Key are those of the routes and of their caller. Requests to Path may run once, those to StreamPath are streams that may be resumed.
const (
	Host       = "review.example"
	Path       = "/book/x"
	StreamPath = "/chat/x"
	Key        = "key-of-the-review"
	timeout    = 8 * time.Second
)

// Caller sends requests that may run once, each on a new connection.
type Caller struct {
	rec *Record
	cli *http.Client
	num atomic.Int64
}

// NewCaller returns a caller.
func NewCaller(rec *Record) *Caller {
	return &Caller{rec: rec, cli: &http.Client{Timeout: timeout + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Send sends one request that may run once to an entry and returns its ID and the status, 0 if there was no answer.
func (cal *Caller) Send(gat *Gate, body string) (id string, status int) {
	return cal.SendTo(gat, Path, body)
}

// SendTo sends one request for a path, like Send.
func (cal *Caller) SendTo(gat *Gate, path, body string) (id string, status int) {
	id, status, _ = cal.send(gat, path, body, nil)
	return id, status
}

// Request sends one request for a stream, and reports whether its answer came whole.
func (cal *Caller) Request(gat *Gate, stm Stream) (id string, status int, whole bool) {
	return cal.send(gat, StreamPath, fmt.Sprintf("stream of %d tokens", stm.Has), stm.header())
}

func (cal *Caller) send(gat *Gate, path, body string, head http.Header) (id string, status int, whole bool) {
	id = fmt.Sprintf("%016x", 1000+cal.num.Add(1))
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+gat.Callers+path, strings.NewReader(body))
	if err != nil {
		return id, 0, false
	}
	for name, vals := range head {
		req.Header[name] = vals
	}
	req.Host = Host
	req.Header.Set("Lovagelever-Request-Id", id)
	req.Header.Set("Lovagelever-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+Key)
	cal.rec.Logf("client sends %s (%s) to %s", id, body, gat.Name)
	res, err := cal.cli.Do(req)
	if err != nil {
		cal.rec.Logf("client gets no answer to %s: %v", id, err)
		return id, 0, false
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	cal.rec.Logf("client gets %d for %s: %.60q, %d bytes, end: %v", res.StatusCode, id, text, len(text), err)
	return id, res.StatusCode, err == nil
}
