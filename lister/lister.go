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
)

// VM states of the list.
const (
	Live    = "live"
	Leaving = "leaving"
)

const (
	slot        = 2 * time.Second
	checkEvery  = 500 * time.Millisecond
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

// Options are what a lister needs; Turn gives the rank of this entry among those that take turns, and their number.
type Options struct {
	Address string
	Client  *http.Client
	Turn    func() (rank, size int)
	Clock   clockwork.Clock
	Logger  logrus.FieldLogger
}

// Lister holds what the newest list that it could read says of leaving VMs.
type Lister struct {
	opt     Options
	mtx     sync.Mutex
	leaving map[string]time.Time
	slot    int64
}

// New returns a lister of the list service at an address IP:PORT.
func New(opt Options) *Lister {
	return &Lister{opt: opt}
}

// Run reads the list whenever it is this entry's turn, until the context ends.
func (lis *Lister) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if lis.due() {
			if err := lis.Read(ctx); err != nil {
				lis.opt.Logger.WithError(err).Debug("VM list not read")
			}
		}
		select {
		case <-ctx.Done():
		case <-lis.opt.Clock.After(checkEvery):
		}
	}
}

// due reports once in each of this entry's time slots that it is its turn.
func (lis *Lister) due() bool {
	now := lis.opt.Clock.Now().UnixNano() / int64(slot)
	rank, size := lis.opt.Turn()
	if size == 0 || now == lis.slot || now%int64(size) != int64(rank) {
		return false
	}
	lis.slot = now
	return true
}

// Read reads the list once.
func (lis *Lister) Read(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, readTimeout)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+lis.opt.Address+"/v1/vms", http.NoBody)
	if err != nil {
		return errors.Annotate(err, "lister: make request")
	}
	res, err := lis.opt.Client.Do(req)
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

// Leaving returns the VMs that leave, and when.
func (lis *Lister) Leaving() map[string]time.Time {
	lis.mtx.Lock()
	defer lis.mtx.Unlock()
	return maps.Clone(lis.leaving)
}
