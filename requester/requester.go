package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/burner"
)

const (
	connectTimeout = time.Second
	answerTimeout  = 5 * time.Second
	maxAnswerBytes = 64 << 20
	maxRefusal     = 1 << 20
)

// Requester asks the entries at the addresses, which are IP:PORT, in their order.
type Requester struct {
	addresses []string
	client    *http.Client
}

// New makes a requester of the entries at the addresses; it fails with ErrNoEntry.
func New(addresses []string) (*Requester, error) {
	if len(addresses) == 0 {
		return nil, errors.Trace(ErrNoEntry)
	}
	dialer := net.Dialer{Timeout: connectTimeout}
	return &Requester{
		addresses: addresses,
		client:    &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DialContext: dialer.DialContext}},
	}, nil
}

// Addresses returns the addresses of the entries in the order in which they are asked.
func (req *Requester) Addresses() []string {
	return req.addresses
}

// Catalog returns the catalog in force with its revision.
func (req *Requester) Catalog(ctx context.Context) (Revision, error) {
	return get[Revision](ctx, req, "/v1/catalog")
}

// Status returns what the first entry that answers knows.
func (req *Requester) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, req, "/v1/status")
}

// Locate returns the entry to use for a workspace; the model may be empty.
func (req *Requester) Locate(ctx context.Context, workspace, model string) (Location, error) {
	query := url.Values{"workspace": {workspace}}
	if model != "" {
		query.Set("model", model)
	}
	return get[Location](ctx, req, "/v1/locate?"+query.Encode())
}

// Publish sends a publication to the entry at one address; it fails with a Refusal, or with ErrNoAnswer if nothing was sent, or with ErrLostAnswer if it may have taken effect.
func (req *Requester) Publish(ctx context.Context, address string, pub Publication) (Accepted, error) {
	body, err := json.Marshal(pub)
	if err != nil {
		return Accepted{}, errors.Annotate(err, "requester: encode publication")
	}
	return send[Accepted](ctx, req.client, http.MethodPost, address, "/v1/publications", body)
}

func get[T any](ctx context.Context, req *Requester, path string) (T, error) {
	var ans T
	var err error
	for _, address := range req.addresses {
		ans, err = send[T](ctx, req.client, http.MethodGet, address, path, nil)
		if err == nil || final(err) {
			return ans, err
		}
	}
	return ans, err
}

// final reports whether another entry would answer the same.
func final(err error) bool {
	ref, refused := errors.AsType[*Refusal](err)
	return refused && ref.Final()
}

func send[T any](ctx context.Context, client *http.Client, method, address, path string, body []byte) (T, error) {
	var ans T
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return ans, errors.Annotatef(err, "requester: entry %s", address)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return ans, errors.Annotatef(errors.WithType(err, lossOf(err)), "requester: entry %s", address)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return ans, errors.Annotatef(refusal(res), "requester: entry %s", address)
	}
	data, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return ans, errors.Annotatef(errors.WithType(err, ErrLostAnswer), "requester: entry %s", address)
	}
	if err := json.Unmarshal(data, &ans); err != nil {
		return ans, errors.Annotatef(errors.WithType(err, ErrMalformed), "requester: entry %s", address)
	}
	return ans, nil
}

// lossOf tells a request that was never sent from one whose answer was lost.
func lossOf(err error) errors.ConstError {
	opr, typed := errors.AsType[*net.OpError](err)
	if typed && opr.Op == "dial" {
		return ErrNoAnswer
	}
	return ErrLostAnswer
}

func refusal(res *http.Response) *Refusal {
	data, err := io.ReadAll(io.LimitReader(res.Body, maxRefusal))
	if err != nil {
		return &Refusal{Status: res.StatusCode, Body: err.Error()}
	}
	var body struct {
		Error Refusal `json:"error"`
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return &Refusal{Status: res.StatusCode, Body: string(data)}
	}
	body.Error.Status, body.Error.Body = res.StatusCode, string(data)
	return &body.Error
}

// Burn returns what the entry at an address has counted for the report on service-level burn.
func (req *Requester) Burn(ctx context.Context, address string) ([]burner.Line, error) {
	return send[[]burner.Line](ctx, req.client, http.MethodGet, address, "/v1/burn", nil)
}
