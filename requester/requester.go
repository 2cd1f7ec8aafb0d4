package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/collector"
	"github.com/lovagelever/lovagelever/slocounter"
)

const (
	connectTimeout  = time.Second
	answerTimeout   = 5 * time.Second
	idlePerEntry    = 2
	maxAnswerBytes  = 64 << 20
	maxRefusalBytes = 1 << 20
)

// Requester sends requests to the entries at its addresses, which have the form IP:PORT.
type Requester struct {
	addresses []string
	client    *http.Client
}

// New returns a requester for the entries at the addresses; it fails with ErrNoEntry if there are none.
func New(addresses []string) (*Requester, error) {
	if len(addresses) == 0 {
		return nil, errors.Trace(ErrNoEntry)
	}
	dialer := net.Dialer{Timeout: connectTimeout}
	return &Requester{
		addresses: addresses,
		client:    &http.Client{Timeout: answerTimeout, Transport: collector.CheckResponses(collector.NewTransport(dialer.DialContext, idlePerEntry))},
	}, nil
}

// Addresses returns the addresses of the entries in the order in which they are tried.
func (req *Requester) Addresses() []string {
	return req.addresses
}

// Catalog returns the catalog in force and its revision number.
func (req *Requester) Catalog(ctx context.Context) (Revision, error) {
	return get[Revision](ctx, req, "/v1/catalog")
}

// Status returns the status from the first entry that answers.
func (req *Requester) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, req, "/v1/status")
}

// Locate returns the entry to use for a workspace and a model; an empty model stands for the first model of the workspace.
func (req *Requester) Locate(ctx context.Context, workspace, model string) (Location, error) {
	query := url.Values{"workspace": {workspace}}
	if model != "" {
		query.Set("model", model)
	}
	return get[Location](ctx, req, "/v1/locate?"+query.Encode())
}

// Publish sends a publication to the entry at one address; it fails with a Refusal, or with ErrNoAnswer if nothing was sent, or with ErrLostAnswer or ErrMalformed if the publication may have taken effect.
func (req *Requester) Publish(ctx context.Context, address string, pub Publication) (PublicationResult, error) {
	body, err := json.Marshal(pub)
	if err != nil {
		return PublicationResult{}, errors.Annotate(err, "requester: encode publication")
	}
	return send[PublicationResult](ctx, req.client, http.MethodPost, address, "/v1/publications", body)
}

// get tries the entries in order until one answers or the error is final.
func get[T any](ctx context.Context, req *Requester, path string) (T, error) {
	var ans T
	var err error
	for _, address := range req.addresses {
		ans, err = send[T](ctx, req.client, http.MethodGet, address, path, nil)
		if err == nil || isFinal(err) {
			return ans, err
		}
	}
	return ans, err
}

// isFinal reports whether another entry would return the same error.
func isFinal(err error) bool {
	ref, refused := errors.AsType[*Refusal](err)
	return refused && ref.Permanent()
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
		return ans, errors.Annotatef(errors.WithType(err, transportErrorType(err)), "requester: entry %s", address)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return ans, errors.Annotatef(readRefusal(res), "requester: entry %s", address)
	}
	data, err := collector.ReadAll(res.Body, maxAnswerBytes)
	if err != nil {
		return ans, errors.Annotatef(errors.WithType(err, ErrLostAnswer), "requester: entry %s", address)
	}
	if err := json.Unmarshal(data, &ans); err != nil {
		return ans, errors.Annotatef(errors.WithType(err, ErrMalformed), "requester: entry %s", address)
	}
	return ans, nil
}

// transportErrorType returns ErrNoAnswer for a failed connection, over which nothing was sent, and ErrLostAnswer for any other error, after which the request may have run.
func transportErrorType(err error) errors.ConstError {
	opr, isNetError := errors.AsType[*net.OpError](err)
	if isNetError && opr.Op == "dial" {
		return ErrNoAnswer
	}
	return ErrLostAnswer
}

func readRefusal(res *http.Response) *Refusal {
	data, err := collector.ReadAll(res.Body, maxRefusalBytes)
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

// Burn returns the request counts of the entry at an address for the report on error-budget burn.
func (req *Requester) Burn(ctx context.Context, address string) ([]slocounter.SeriesCounts, error) {
	return send[[]slocounter.SeriesCounts](ctx, req.client, http.MethodGet, address, "/v1/burn", nil)
}
