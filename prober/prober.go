package prober

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

// ErrUnavailable says that a backend server did not answer as expected.
const ErrUnavailable = errors.ConstError("backend server is unavailable")

// Status is a backend server's report of itself.
type Status struct {
	VM      string  `json:"vm"`
	Service string  `json:"service,omitempty"`
	Group   string  `json:"group"`
	Fence   int64   `json:"fence"`
	Model   string  `json:"model"`
	Version string  `json:"version"`
	State   string  `json:"state"`
	Reason  string  `json:"reason,omitempty"`
	Warm    bool    `json:"warm"`
	Running int     `json:"running"`
	Queued  int     `json:"queued"`
	StepMS  float64 `json:"step_ms"`
	Started string  `json:"started"`
	// Weights names the models whose weights the engine holds, as MODEL@VERSION.
	Weights []string `json:"weights"`
}

// Ready is the state of an engine that has loaded its weights.
const Ready = "ready"

// Probe is the newest result for one VM; Asked is when the newest answer was asked for, FailingSince is zero while it answers.
type Probe struct {
	Status       Status
	Asked        time.Time
	FailingSince time.Time
	Tried        time.Time
}

// Target is a VM to probe.
type Target struct {
	VM      string
	Address string
}

// Options are what a prober needs; Targets names the VMs that this entry probes now.
type Options struct {
	Client   *http.Client
	Clock    clockwork.Clock
	Interval time.Duration
	Targets  func() []Target
	OnProbe  func(vm string, pro Probe)
}

// Prober probes the VMs of one entry.
type Prober struct {
	opt    Options
	mtx    sync.Mutex
	probes map[string]Probe
	busy   map[string]bool
}

// New returns a prober.
func New(opt Options) *Prober {
	return &Prober{opt: opt, probes: map[string]Probe{}, busy: map[string]bool{}}
}

// Run probes all targets once in each interval until the context ends.
func (pro *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pro.Round(ctx)
		select {
		case <-ctx.Done():
		case <-pro.opt.Clock.After(pro.opt.Interval):
		}
	}
}

// Round starts a probe of each target that has none under way, and forgets VMs that are no target.
func (pro *Prober) Round(ctx context.Context) {
	targets := pro.opt.Targets()
	wanted := make(map[string]bool, len(targets))
	for _, tar := range targets {
		wanted[tar.VM] = true
		if pro.begin(tar.VM) {
			go pro.probe(ctx, tar)
		}
	}
	pro.mtx.Lock()
	defer pro.mtx.Unlock()
	for vm := range pro.probes {
		if !wanted[vm] {
			delete(pro.probes, vm)
		}
	}
}

// Get returns the newest probe of a VM.
func (pro *Prober) Get(vm string) (Probe, bool) {
	pro.mtx.Lock()
	defer pro.mtx.Unlock()
	prb, known := pro.probes[vm]
	return prb, known
}

func (pro *Prober) begin(vm string) bool {
	pro.mtx.Lock()
	defer pro.mtx.Unlock()
	if pro.busy[vm] {
		return false
	}
	pro.busy[vm] = true
	return true
}

func (pro *Prober) probe(ctx context.Context, tar Target) {
	asked := pro.opt.Clock.Now()
	sta, err := pro.ask(ctx, tar)
	pro.mtx.Lock()
	delete(pro.busy, tar.VM)
	prb := pro.probes[tar.VM]
	prb.Tried = asked
	if err != nil {
		if prb.FailingSince.IsZero() {
			prb.FailingSince = asked
		}
	} else {
		prb = Probe{Status: sta, Asked: asked, Tried: asked}
	}
	pro.probes[tar.VM] = prb
	pro.mtx.Unlock()
	pro.opt.OnProbe(tar.VM, prb)
}

func (pro *Prober) ask(ctx context.Context, tar Target) (Status, error) {
	ctx, stop := context.WithTimeout(ctx, pro.opt.Interval)
	defer stop()
	return Ask(ctx, pro.opt.Client, tar)
}

// Ask asks one VM for its status; it fails with ErrUnavailable, or errors.NotValid when another VM answers.
func Ask(ctx context.Context, cli *http.Client, tar Target) (Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+tar.Address+"/v1/status", http.NoBody)
	if err != nil {
		return Status{}, errors.Annotate(err, "prober: make request")
	}
	res, err := cli.Do(req)
	if err != nil {
		return Status{}, errors.WithType(errors.Annotate(err, string(ErrUnavailable)), ErrUnavailable)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return Status{}, errors.Annotatef(ErrUnavailable, "status %d", res.StatusCode)
	}
	var sta Status
	if err := json.NewDecoder(res.Body).Decode(&sta); err != nil {
		return Status{}, errors.WithType(errors.Annotate(err, string(ErrUnavailable)), ErrUnavailable)
	}
	if sta.VM != tar.VM {
		return Status{}, errors.NotValidf("prober: answer of VM %q", sta.VM)
	}
	return sta, nil
}
