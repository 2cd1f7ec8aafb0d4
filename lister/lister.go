package lister

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// VM states of the list.
const (
	Live    = "live"
	Leaving = "leaving"
)

const (
	readEvery   = 2 * time.Second
	readTimeout = 2 * time.Second
)

// ErrUnavailable says that the VM list did not answer as expected.
const ErrUnavailable = errors.ConstError("VM list is unavailable")

// VM is one line of the list.
type VM struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	State      string `json:"state"`
	LeavesInMS int64  `json:"leaves_in_ms"`
}

// Lister holds the newest list that it could read.
type Lister struct {
	url string
	cli *http.Client
	clk clockwork.Clock
	log logrus.FieldLogger
	mtx sync.Mutex
	vms map[string]VM
	at  time.Time
}

// New returns a lister of the list service at the address IP:PORT.
func New(address string, cli *http.Client, clk clockwork.Clock, log logrus.FieldLogger) *Lister {
	return &Lister{url: "http://" + address + "/v1/vms", cli: cli, clk: clk, log: log}
}

// Run reads the list until the context ends.
func (lis *Lister) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := lis.Read(ctx); err != nil {
			lis.log.WithError(err).Debug("VM list not read")
		}
		select {
		case <-ctx.Done():
		case <-lis.clk.After(readEvery):
		}
	}
}

// Read reads the list once.
func (lis *Lister) Read(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, readTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, lis.url, http.NoBody)
	if err != nil {
		return errors.Annotate(err, "lister: make request")
	}
	res, err := lis.cli.Do(req)
	if err != nil {
		return errors.Annotate(err, "lister: call")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Annotatef(ErrUnavailable, "status %d", res.StatusCode)
	}
	var ans struct {
		VMs []VM `json:"vms"`
	}
	if err := json.NewDecoder(res.Body).Decode(&ans); err != nil {
		return errors.Annotate(err, "lister: decode")
	}
	lis.hold(ans.VMs)
	return nil
}

func (lis *Lister) hold(list []VM) {
	vms := make(map[string]VM, len(list))
	for _, vm := range list {
		vms[vm.Name] = vm
	}
	lis.mtx.Lock()
	defer lis.mtx.Unlock()
	lis.vms, lis.at = vms, lis.clk.Now()
}

// Leaving returns how long a VM has until it leaves; it reports false for one that is not leaving.
func (lis *Lister) Leaving(name string) (time.Duration, bool) {
	lis.mtx.Lock()
	defer lis.mtx.Unlock()
	vm, listed := lis.vms[name]
	if !listed || vm.State != Leaving {
		return 0, false
	}
	return time.Duration(vm.LeavesInMS)*time.Millisecond - lis.clk.Since(lis.at), true
}
