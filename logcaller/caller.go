package logcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/collector"
	"github.com/lovagelever/lovagelever/recorder"
)

const maxAnswerBytes = 16 << 20

// ErrUnavailable means that the log service did not answer as expected; an append may still have taken effect.
const ErrUnavailable = errors.ConstError("log service is unavailable")

// Page is the result of a read; First is the first offset still retained and Next is the offset of the next append.
type Page struct {
	First   int64
	Next    int64
	Entries []recorder.Entry
}

// GoneError means that the requested records are no longer retained; First is the first offset that is.
type GoneError struct {
	First int64
	Next  int64
}

// Error returns a message with the first offset that is still retained.
func (gon *GoneError) Error() string {
	return fmt.Sprintf("records are no longer retained: the log begins at offset %d", gon.First)
}

// Caller is a client of one log service.
type Caller struct {
	base string
	cli  *http.Client
}

// New returns a Caller for the log service at the address IP:PORT.
func New(address string, cli *http.Client) *Caller {
	return &Caller{base: "http://" + address + "/v1/records", cli: cli}
}

// Append appends a record and returns its offset; after ErrUnavailable the record may be in the log or not.
func (cal *Caller) Append(ctx context.Context, rec recorder.Record) (int64, error) {
	data, err := json.Marshal(rec)
	if err != nil {
		return 0, errors.Annotate(err, "logcaller: encode record")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, cal.base, bytes.NewReader(data))
	if err != nil {
		return 0, errors.Annotate(err, "logcaller: create request")
	}
	req.Header.Set("Content-Type", "application/json")
	var ans struct {
		Offset int64 `json:"offset"`
	}
	if err := cal.do(req, &ans); err != nil {
		return 0, errors.Trace(err)
	}
	return ans.Offset, nil
}

// Read returns up to limit records from an offset on, waiting up to wait if there are none yet.
// It returns ErrUnavailable or a GoneError.
func (cal *Caller) Read(ctx context.Context, from int64, limit int, wait time.Duration) (Page, error) {
	url := fmt.Sprintf("%s?from=%d&limit=%d&wait_ms=%d", cal.base, from, limit, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return Page{}, errors.Annotate(err, "logcaller: create request")
	}
	var ans readAnswer
	if err := cal.do(req, &ans); err != nil {
		return Page{}, errors.Trace(err)
	}
	return ans.decode(), nil
}

type readAnswer struct {
	First   int64 `json:"first"`
	Next    int64 `json:"next"`
	Records []struct {
		Offset int64           `json:"offset"`
		At     time.Time       `json:"at"`
		Data   json.RawMessage `json:"data"`
	} `json:"records"`
}

// decode replaces a record that can't be decoded by one without a kind, which the reducer rejects and counts.
func (pag readAnswer) decode() Page {
	out := Page{First: pag.First, Next: pag.Next}
	for _, raw := range pag.Records {
		ent := recorder.Entry{Offset: raw.Offset, At: raw.At}
		if err := json.Unmarshal(raw.Data, &ent.Record); err != nil {
			ent.Record = recorder.Record{}
		}
		out.Entries = append(out.Entries, ent)
	}
	return out
}

func (cal *Caller) do(req *http.Request, ans any) error {
	res, err := cal.cli.Do(req)
	if err != nil {
		return errors.WithType(errors.Annotate(err, string(ErrUnavailable)), ErrUnavailable)
	}
	defer func() { _ = res.Body.Close() }()
	data, err := collector.ReadAll(res.Body, maxAnswerBytes)
	if err != nil {
		return errors.WithType(errors.Annotate(err, string(ErrUnavailable)), ErrUnavailable)
	}
	if res.StatusCode == http.StatusGone {
		var body readAnswer
		if err := json.Unmarshal(data, &body); err != nil {
			return errors.WithType(errors.Annotate(err, string(ErrUnavailable)), ErrUnavailable)
		}
		return &GoneError{First: body.First, Next: body.Next}
	}
	if res.StatusCode != http.StatusOK {
		return errors.Annotatef(ErrUnavailable, "status %d", res.StatusCode)
	}
	if err := json.Unmarshal(data, ans); err != nil {
		return errors.WithType(errors.Annotate(err, string(ErrUnavailable)), ErrUnavailable)
	}
	return nil
}
