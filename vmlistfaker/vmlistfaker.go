package vmlistfaker

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/disturber"
	"github.com/lovagelever/lovagelever/jsoncoder"
)

// States of a VM in the list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// VM is an entry of the list; LeavesInMS is the time until a leaving VM is gone, in milliseconds.
type VM struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	State      string `json:"state"`
	LeavesInMS int64  `json:"leaves_in_ms,omitempty"`
}

// Options configure a list; readers see a change Lag after it was made.
type Options struct {
	Clock clockwork.Clock
	Lag   time.Duration
	VMs   []VM
}

type change struct {
	at   time.Time
	name string
	vm   *VM
}

type entry struct {
	vm       VM
	leavesAt time.Time
}

// Lister serves a list of VMs in which changes become visible after a delay.
type Lister struct {
	opt        Options
	dis        *disturber.FaultInjector
	mut        sync.Mutex
	visibleVMs map[string]entry
	pending    []change
}

type listAnswer struct {
	VMs []VM `json:"vms"`
}

// New returns a list in which the VMs of the options are visible at once.
func New(opt Options) *Lister {
	if opt.Clock == nil {
		opt.Clock = clockwork.NewRealClock()
	}
	lst := &Lister{opt: opt, dis: disturber.New(opt.Clock), visibleVMs: map[string]entry{}}
	for _, vm := range opt.VMs {
		lst.apply(change{at: opt.Clock.Now(), name: vm.Name, vm: &vm})
	}
	return lst
}

// Handler returns the HTTP handler of the list, its changes and its faults.
func (lst *Lister) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/vms", lst.dis.Wrap(http.HandlerFunc(lst.serveList)))
	mux.HandleFunc("POST /v1/vms", lst.serveSet)
	mux.HandleFunc("DELETE /v1/vms/{name}", lst.serveRemove)
	mux.HandleFunc("POST /v1/faults", disturber.FaultsHandler(lst.dis.Faults, lst.dis.SetFaults))
	return mux
}

func (lst *Lister) serveList(wtr http.ResponseWriter, _ *http.Request) {
	jsoncoder.Write(wtr, http.StatusOK, listAnswer{VMs: lst.visible()})
}

func (lst *Lister) serveSet(wtr http.ResponseWriter, req *http.Request) {
	vm, err := jsoncoder.Read[VM](req)
	if err == nil && (vm.Name == "" || (vm.State != StateLive && vm.State != StateLeaving)) {
		err = errors.NotValidf("vmlistfaker: VM %q with state %q", vm.Name, vm.State)
	}
	if err != nil {
		jsoncoder.WriteError(wtr, http.StatusBadRequest, err)
		return
	}
	lst.addChange(vm.Name, &vm)
	jsoncoder.Write(wtr, http.StatusOK, vm)
}

func (lst *Lister) serveRemove(wtr http.ResponseWriter, req *http.Request) {
	lst.addChange(req.PathValue("name"), nil)
	wtr.WriteHeader(http.StatusOK)
}

func (lst *Lister) addChange(name string, vm *VM) {
	lst.mut.Lock()
	defer lst.mut.Unlock()
	lst.pending = append(lst.pending, change{at: lst.opt.Clock.Now(), name: name, vm: vm})
}

func (lst *Lister) visible() []VM {
	lst.mut.Lock()
	defer lst.mut.Unlock()
	now := lst.opt.Clock.Now()
	for len(lst.pending) > 0 && !lst.pending[0].at.Add(lst.opt.Lag).After(now) {
		lst.apply(lst.pending[0])
		lst.pending = lst.pending[1:]
	}
	vms := make([]VM, 0, len(lst.visibleVMs))
	for _, name := range slices.Sorted(maps.Keys(lst.visibleVMs)) {
		vms = append(vms, lst.visibleVMs[name].vmAt(now))
	}
	return vms
}

func (lst *Lister) apply(chg change) {
	if chg.vm == nil {
		delete(lst.visibleVMs, chg.name)
		return
	}
	leaves := chg.at.Add(time.Duration(chg.vm.LeavesInMS) * time.Millisecond)
	lst.visibleVMs[chg.name] = entry{vm: *chg.vm, leavesAt: leaves}
}

func (ent entry) vmAt(now time.Time) VM {
	vm := ent.vm
	if vm.State == StateLeaving {
		vm.LeavesInMS = max(0, ent.leavesAt.Sub(now).Milliseconds())
	}
	return vm
}
