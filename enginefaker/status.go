package enginefaker

import (
	"net/http"
	"time"

	"github.com/lovagelever/lovagelever/jsoncoder"
)

type status struct {
	VM    string `json:"vm"`
	Group string `json:"group"`
	Fence int64  `json:"fence"`
	State string `json:"state"`
	report
	Weights []string `json:"weights"`
}

// report is the part of the status that callers see only after Options.ReportLag.
type report struct {
	Model   string  `json:"model"`
	Version string  `json:"version"`
	Reason  string  `json:"reason"`
	Warm    bool    `json:"warm"`
	Running int     `json:"running"`
	Queued  int     `json:"queued"`
	StepMS  float64 `json:"step_ms"`
	Started string  `json:"started"`
}

type timedReport struct {
	at time.Time
	report
}

func (eng *engine) serveStatus(wtr http.ResponseWriter, _ *http.Request) {
	eng.sim.mut.Lock()
	sta := status{
		VM: eng.name, Group: eng.ord.Group, Fence: eng.ord.Fence, State: eng.state,
		report: eng.laggedReport(), Weights: append([]string{}, eng.heldWeights...),
	}
	eng.sim.mut.Unlock()
	jsoncoder.Write(wtr, http.StatusOK, sta)
}

// recordReport stores the current report, which status calls return once the lag has passed.
func (eng *engine) recordReport() {
	rep := report{
		Model: eng.ord.Model, Version: eng.ord.Version, Reason: eng.reason, Warm: eng.warm(),
		Running: len(eng.running), Queued: len(eng.queue),
		StepMS: float64(eng.lastStep) / float64(time.Millisecond), Started: eng.started,
	}
	last := len(eng.reports) - 1
	if last >= 0 && eng.reports[last].report == rep {
		return
	}
	eng.reports = append(eng.reports, timedReport{at: eng.sim.opt.Clock.Now(), report: rep})
	eng.laggedReport()
}

func (eng *engine) laggedReport() report {
	latest := eng.sim.opt.Clock.Now().Add(-eng.sim.opt.ReportLag)
	for len(eng.reports) > 1 && !eng.reports[1].at.After(latest) {
		eng.reports = eng.reports[1:]
	}
	return eng.reports[0].report
}
