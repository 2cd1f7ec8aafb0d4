package gateway

import (
	"slices"

	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/forecaster"
	"github.com/lovagelever/lovagelever/router"
)

// Demand records the work that callers ask for, and which part of it was refused.
type Demand interface {
	Record(poo forecaster.Pool, siz estimator.Request)
	Refuse(poo forecaster.Pool, siz estimator.Request)
}

// noDemand records nothing.
type noDemand struct{}

func (noDemand) Record(forecaster.Pool, estimator.Request) {}

func (noDemand) Refuse(forecaster.Pool, estimator.Request) {}

// recordDemand records the work of a generation of a known model.
func (job *job) recordDemand() {
	if job.ser.Engine == nil || !slices.ContainsFunc(job.ser.Engine.Models, func(mod router.Model) bool { return mod.Name == job.cal.Model }) {
		return
	}
	job.gat.opt.Demand.Record(job.demandPool(), job.size())
	job.inDemand = true
}

// recordRefusedDemand records that a request was refused whose work was recorded.
func (job *job) recordRefusedDemand() {
	if job.inDemand {
		job.gat.opt.Demand.Refuse(job.demandPool(), job.size())
	}
}

func (job *job) demandPool() forecaster.Pool {
	return forecaster.Pool{Service: job.ser.Name, Model: job.cal.Model}
}
