package enginecaller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const sendTimeout = 2 * time.Second

// Values of Order.Order.
const (
	Load   = "load"
	Stage  = "stage"
	Unload = "unload"
)

// ErrStaleFence is returned when the engine has seen a newer fencing number.
const ErrStaleFence = errors.ConstError("engine has seen a newer fencing number")

// ErrNoAnswer is returned when the engine may or may not have accepted the order.
const ErrNoAnswer = errors.ConstError("engine did not answer the order")

// Member is a VM of a group; Order.Members lists them by rank.
type Member struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// Order is an order to one engine; Fence is the offset of the log record that caused it, and WeightsGigabytes is the size of the model's weights in gigabytes.
type Order struct {
	Order            string   `json:"order"`
	Group            string   `json:"group"`
	Fence            int64    `json:"fence"`
	Model            string   `json:"model"`
	Version          string   `json:"version"`
	Adapters         []string `json:"adapters"`
	WeightsGigabytes float64  `json:"weights_gigabytes"`
	Members          []Member `json:"members"`
	Rank             int      `json:"rank"`
}

// Caller sends orders to engines over HTTP.
type Caller struct {
	cli *http.Client
}

// New returns a Caller that sends with cli.
func New(cli *http.Client) *Caller {
	return &Caller{cli: cli}
}

// Send sends an order to the engine at the address IP:PORT; it returns ErrStaleFence if the engine rejects the fencing number, and ErrNoAnswer if it did not confirm the order.
func (ord *Caller) Send(ctx context.Context, address string, order Order) error {
	data, err := json.Marshal(order)
	if err != nil {
		return errors.Annotate(err, "enginecaller: encode order")
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/order", bytes.NewReader(data))
	if err != nil {
		return errors.Annotate(err, "enginecaller: create request")
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
