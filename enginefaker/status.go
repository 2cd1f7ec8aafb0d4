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

// report is the part of the status that lags.
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

type datedReport struct {
	at time.Time
	report
}

func (eng *engine) serveStatus(wtr http.ResponseWriter, _ *http.Request) {
	eng.fkr.mut.Lock()
	sta := status{
		VM: eng.name, Group: eng.ord.Group, Fence: eng.ord.Fence, State: eng.state,
		report: eng.lagged(), Weights: append([]string{}, eng.held...),
	}
	eng.fkr.mut.Unlock()
	jsoncoder.Write(wtr, http.StatusOK, sta)
}

// note keeps the present report for the status calls that come after the lag.
func (eng *engine) note() {
	rep := report{
		Model: eng.ord.Model, Version: eng.ord.Version, Reason: eng.reason, Warm: eng.warm(),
		Running: len(eng.running), Queued: len(eng.queue),
		StepMS: float64(eng.step) / float64(time.Millisecond), Started: eng.started,
	}
	last := len(eng.reports) - 1
	if last >= 0 && eng.reports[last].report == rep {
		return
	}
	eng.reports = append(eng.reports, datedReport{at: eng.fkr.opt.Clock.Now(), report: rep})
	eng.lagged()
}

func (eng *engine) lagged() report {
	latest := eng.fkr.opt.Clock.Now().Add(-eng.fkr.opt.ReportLag)
	for len(eng.reports) > 1 && !eng.reports[1].at.After(latest) {
		eng.reports = eng.reports[1:]
	}
	return eng.reports[0].report
}
