package logcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/recorder"
)

const maxAnswerBytes = 16 << 20

// ErrUnavailable says that the log service did not answer as expected; an append may have taken effect.
const ErrUnavailable = errors.ConstError("log service is unavailable")

// Page is what the log service answers to a read; Next is the offset that the next append gets.
type Page struct {
	First   int64
	Next    int64
	Entries []recorder.Entry
}

// GoneError says that the records asked for are no longer retained.
type GoneError struct {
	First int64
	Next  int64
}

// Error names the first offset that is still retained.
func (gon *GoneError) Error() string {
	return fmt.Sprintf("records are gone: the log begins at offset %d", gon.First)
}

// Caller calls one log service.
type Caller struct {
	base string
	cli  *http.Client
}

// New returns a caller of the log service at the address IP:PORT.
func New(address string, cli *http.Client) *Caller {
	return &Caller{base: "http://" + address + "/v1/records", cli: cli}
}

// Append adds a record and returns its offset; it fails with ErrUnavailable, and then the record may stand in the log.
func (cal *Caller) Append(ctx context.Context, rec recorder.Record) (int64, error) {
	data, err := json.Marshal(rec)
	if err != nil {
		return 0, errors.Annotate(err, "logcaller: encode record")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, cal.base, bytes.NewReader(data))
	if err != nil {
		return 0, errors.Annotate(err, "logcaller: make request")
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

// Read returns records from an offset on and waits for one at most so long; it fails with ErrUnavailable or a GoneError.
func (cal *Caller) Read(ctx context.Context, from int64, limit int, wait time.Duration) (Page, error) {
	url := fmt.Sprintf("%s?from=%d&limit=%d&wait_ms=%d", cal.base, from, limit, wait.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return Page{}, errors.Annotate(err, "logcaller: make request")
	}
	var ans page
	if err := cal.do(req, &ans); err != nil {
		return Page{}, errors.Trace(err)
	}
	return ans.decode(), nil
}

type page struct {
	First   int64 `json:"first"`
	Next    int64 `json:"next"`
	Records []struct {
		Offset int64           `json:"offset"`
		At     time.Time       `json:"at"`
		Data   json.RawMessage `json:"data"`
	} `json:"records"`
}

// decode keeps a foreign record as one without kind, which the fold skips and counts.
func (pag page) decode() Page {
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
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return errors.WithType(errors.Annotate(err, string(ErrUnavailable)), ErrUnavailable)
	}
	if res.StatusCode == http.StatusGone {
		var gon page
		if err := json.Unmarshal(data, &gon); err != nil {
			return errors.WithType(errors.Annotate(err, string(ErrUnavailable)), ErrUnavailable)
		}
		return &GoneError{First: gon.First, Next: gon.Next}
	}
	if res.StatusCode != http.StatusOK {
		return errors.Annotatef(ErrUnavailable, "status %d", res.StatusCode)
	}
	if err := json.Unmarshal(data, ans); err != nil {
		return errors.WithType(errors.Annotate(err, string(ErrUnavailable)), ErrUnavailable)
	}
	return nil
}
