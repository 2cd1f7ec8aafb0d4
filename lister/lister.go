package lister

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/collector"
)

// The states of a VM in the list.
const (
	Live    = "live"
	Leaving = "leaving"
)

const (
	turnLength        = 2 * time.Second
	turnCheckInterval = 500 * time.Millisecond
	readTimeout       = 2 * time.Second
	// maxListBytes is the maximum size of a list in bytes; one VM has about 150.
	maxListBytes = 4 << 20
)

// ErrUnavailable means that the VM list service returned an unexpected status code.
const ErrUnavailable = errors.ConstError("VM list is unavailable")

// VM is one item of the VM list.
type VM struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	State      string `json:"state"`
	LeavesInMS int64  `json:"leaves_in_ms"`
}

// Options configures a Lister; ReaderRank returns the rank of this entry among those that take turns, and their number.
type Options struct {
	Address    string
	Client     *http.Client
	ReaderRank func() (rank, size int)
	Clock      clockwork.Clock
	Logger     logrus.FieldLogger
}

// Lister holds the leaving VMs from the last list that it read.
type Lister struct {
	opt      Options
	mtx      sync.Mutex
	leaving  map[string]time.Time
	lastTurn int64
}

// New returns a lister for the list service at the address IP:PORT in the options.
func New(opt Options) *Lister {
	return &Lister{opt: opt}
}

// Run reads the list whenever it is this entry's turn, until the context ends.
func (lis *Lister) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if lis.startTurn() {
			if err := lis.Read(ctx); err != nil {
				lis.opt.Logger.WithError(err).Debug("VM list not read")
			}
		}
		select {
		case <-ctx.Done():
		case <-lis.opt.Clock.After(turnCheckInterval):
		}
	}
}

// startTurn reports, once in each of this entry's turns, that the turn has begun.
func (lis *Lister) startTurn() bool {
	turn := lis.opt.Clock.Now().UnixNano() / int64(turnLength)
	rank, size := lis.opt.ReaderRank()
	if size == 0 || turn == lis.lastTurn || turn%int64(size) != int64(rank) {
		return false
	}
	lis.lastTurn = turn
	return true
}

// Read fetches the list once; it fails with ErrUnavailable on an unexpected status code.
func (lis *Lister) Read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+lis.opt.Address+"/v1/vms", http.NoBody)
	if err != nil {
		return errors.Annotate(err, "lister: create request")
	}
	res, err := lis.opt.Client.Do(req)
	if err != nil {
		return errors.Annotate(err, "lister: request VM list")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Annotatef(ErrUnavailable, "status %d", res.StatusCode)
	}
	data, err := collector.ReadAll(res.Body, maxListBytes)
	if err != nil {
		return errors.Annotate(err, "lister: read VM list")
	}
	var ans struct {
		VMs []VM `json:"vms"`
	}
	if err := json.Unmarshal(data, &ans); err != nil {
		return errors.Annotate(err, "lister: decode VM list")
	}
	lis.update(ans.VMs)
	return nil
}

func (lis *Lister) update(list []VM) {
	now := lis.opt.Clock.Now()
	leaving := map[string]time.Time{}
	for _, vm := range list {
		if vm.State == Leaving {
			leaving[vm.Name] = now.Add(time.Duration(vm.LeavesInMS) * time.Millisecond).Truncate(time.Second)
		}
	}
	lis.mtx.Lock()
	defer lis.mtx.Unlock()
	lis.leaving = leaving
}

// Leaving returns the VMs that are leaving, and when they leave.
func (lis *Lister) Leaving() map[string]time.Time {
	lis.mtx.Lock()
	defer lis.mtx.Unlock()
	return maps.Clone(lis.leaving)
}
