package orderer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const timeout = 2 * time.Second

// What an order asks for.
const (
	Load   = "load"
	Stage  = "stage"
	Unload = "unload"
)

// ErrStaleFence says that the engine has seen a newer fencing number.
const ErrStaleFence = errors.ConstError("engine has seen a newer fencing number")

// ErrNoAnswer says that the engine may or may not have taken the order.
const ErrNoAnswer = errors.ConstError("engine did not answer the order")

// Member is a VM of a group in the order of ranks.
type Member struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// Order is one order to one engine; Fence is the offset of the record that it follows from.
type Order struct {
	Order    string   `json:"order"`
	Group    string   `json:"group"`
	Fence    int64    `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Weights  float64  `json:"weights_gigabytes"`
	Members  []Member `json:"members"`
	Rank     int      `json:"rank"`
}

// Orderer sends orders.
type Orderer struct {
	cli *http.Client
}

// New returns an orderer.
func New(cli *http.Client) *Orderer {
	return &Orderer{cli: cli}
}

// Send sends an order to the engine at the address IP:PORT; it fails with ErrStaleFence or ErrNoAnswer.
func (ord *Orderer) Send(ctx context.Context, address string, one Order) error {
	data, err := json.Marshal(one)
	if err != nil {
		return errors.Annotate(err, "orderer: encode")
	}
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/order", bytes.NewReader(data))
	if err != nil {
		return errors.Annotate(err, "orderer: make request")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := ord.cli.Do(req)
	if err != nil {
		return errors.WithType(errors.Annotate(err, string(ErrNoAnswer)), ErrNoAnswer)
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 1<<16))
	switch res.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return errors.Trace(ErrStaleFence)
	default:
		return errors.Annotatef(ErrNoAnswer, "status %d", res.StatusCode)
	}
}
