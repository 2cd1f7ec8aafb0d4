package prober

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/collector"
)

// ErrUnavailable means that a backend server did not answer, or not with a valid status.
const ErrUnavailable = errors.ConstError("backend server is unavailable")

// Status is the status that a backend server reports.
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
	// Weights lists the models whose weights the engine holds, as MODEL@VERSION.
	Weights []string `json:"weights"`
}

// Ready is the state of an engine that has loaded its weights.
const Ready = "ready"

// Probe is the latest result for one VM; LastSuccess is when the last answered probe was sent, LastAttempt when the last probe was sent, and FailingSince when the first of the current failures was sent, or zero while the VM answers.
type Probe struct {
	Status       Status
	LastSuccess  time.Time
	FailingSince time.Time
	LastAttempt  time.Time
}

// Target is a VM to probe.
type Target struct {
	VM      string
	Address string
}

// Options configures a Prober; Targets returns the VMs that this entry currently probes.
type Options struct {
	Client   *http.Client
	Clock    clockwork.Clock
	Interval time.Duration
	Targets  func() []Target
	OnProbe  func(vm string, pro Probe)
}

// Prober periodically probes the VMs of one entry.
type Prober struct {
	opt      Options
	mtx      sync.Mutex
	probes   map[string]Probe
	inFlight map[string]bool
}

// New returns a prober.
func New(opt Options) *Prober {
	return &Prober{opt: opt, probes: map[string]Probe{}, inFlight: map[string]bool{}}
}

// Run probes all targets once in each interval until the context ends.
func (pro *Prober) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pro.ProbeAll(ctx)
		select {
		case <-ctx.Done():
		case <-pro.opt.Clock.After(pro.opt.Interval):
		}
	}
}

// ProbeAll starts a probe of each target that has none in flight, and drops the results of VMs that are no longer targets.
func (pro *Prober) ProbeAll(ctx context.Context) {
	targets := pro.opt.Targets()
	wanted := make(map[string]bool, len(targets))
	for _, tar := range targets {
		wanted[tar.VM] = true
		if pro.tryStart(tar.VM) {
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

// Get returns the latest result for a VM.
func (pro *Prober) Get(vm string) (Probe, bool) {
	pro.mtx.Lock()
	defer pro.mtx.Unlock()
	prb, known := pro.probes[vm]
	return prb, known
}

func (pro *Prober) tryStart(vm string) bool {
	pro.mtx.Lock()
	defer pro.mtx.Unlock()
	if pro.inFlight[vm] {
		return false
	}
	pro.inFlight[vm] = true
	return true
}

func (pro *Prober) probe(ctx context.Context, tar Target) {
	startedAt := pro.opt.Clock.Now()
	sta, err := pro.fetchStatus(ctx, tar)
	pro.mtx.Lock()
	delete(pro.inFlight, tar.VM)
	prb := pro.probes[tar.VM]
	prb.LastAttempt = startedAt
	if err != nil {
		if prb.FailingSince.IsZero() {
			prb.FailingSince = startedAt
		}
	} else {
		prb = Probe{Status: sta, LastSuccess: startedAt, LastAttempt: startedAt}
	}
	pro.probes[tar.VM] = prb
	pro.mtx.Unlock()
	pro.opt.OnProbe(tar.VM, prb)
}

func (pro *Prober) fetchStatus(ctx context.Context, tar Target) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, pro.opt.Interval)
	defer cancel()
	return FetchStatus(ctx, pro.opt.Client, tar)
}

// FetchStatus requests the status of one VM; it fails with ErrUnavailable, or with errors.NotValid when another VM answers.
func FetchStatus(ctx context.Context, cli *http.Client, tar Target) (Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+tar.Address+"/v1/status", http.NoBody)
	if err != nil {
		return Status{}, errors.Annotate(err, "prober: create request")
	}
	res, err := cli.Do(req)
	if err != nil {
		return Status{}, errors.WithType(errors.Annotate(err, string(ErrUnavailable)), ErrUnavailable)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return Status{}, errors.Annotatef(ErrUnavailable, "status %d", res.StatusCode)
	}
	data, err := collector.ReadAll(res.Body, collector.MaxControlBytes)
	if err != nil {
		return Status{}, errors.WithType(errors.Annotate(err, string(ErrUnavailable)), ErrUnavailable)
	}
	var sta Status
	if err := json.Unmarshal(data, &sta); err != nil {
		return Status{}, errors.WithType(errors.Annotate(err, string(ErrUnavailable)), ErrUnavailable)
	}
	if sta.VM != tar.VM {
		return Status{}, errors.NotValidf("prober: status from another VM %q", sta.VM)
	}
	return sta, nil
}
