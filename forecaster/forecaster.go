package forecaster

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lovagelever/lovagelever/estimator"
)

const (
	// recentMemory is the time over which the recent mean decays. It covers some requests of each entry and follows a burst.
	recentMemory = time.Second
	// meanMemory is the same for the longer mean. It is longer than converting a group takes.
	meanMemory = 6 * time.Second
	// refusedWeight is the share of a refused request that is taken off again: its caller usually sends it once more, as a new request.
	refusedWeight = 0.5
	// negligibleRequests is the number of requests per second below which a pool is forgotten.
	negligibleRequests = 1e-3
)

// Pool is a model of a service.
type Pool struct {
	Service string
	Model   string
}

// Forecast is the work that callers ask of a pool over all entries. Recent is the mean of about a second, Mean that of several seconds, and ZoneShares the share of it by the availability zone of the entries that were asked.
type Forecast struct {
	Recent     estimator.Demand
	Mean       estimator.Demand
	ZoneShares map[string]float64
}

// Peak returns the larger of the two means, so that a rise counts at once and a fall slowly.
func (fco Forecast) Peak() estimator.Demand {
	return estimator.Demand{
		Requests:     max(fco.Recent.Requests, fco.Mean.Requests),
		PromptTokens: max(fco.Recent.PromptTokens, fco.Mean.PromptTokens),
		AnswerTokens: max(fco.Recent.AnswerTokens, fco.Mean.AnswerTokens),
	}
}

// report is the demand that an entry states, by a hash of the pool.
type report struct {
	demands map[uint64]estimator.Demand
	at      time.Time
}

// Forecaster measures the demand of its own entry and sums up that of all entries; it is safe for concurrent use.
type Forecaster struct {
	clk     clockwork.Clock
	mux     sync.Mutex
	own     map[Pool]*rate
	reports map[string]report
	means   map[uint64]*mean
}

// New returns a forecaster that knows of no demand.
func New(clk clockwork.Clock) *Forecaster {
	return &Forecaster{clk: clk, own: map[Pool]*rate{}, reports: map[string]report{}, means: map[uint64]*mean{}}
}

// Record counts a request that has arrived at this entry.
func (frc *Forecaster) Record(poo Pool, siz estimator.Request) {
	frc.add(poo, siz, 1)
}

// Refuse counts that a recorded request was refused.
func (frc *Forecaster) Refuse(poo Pool, siz estimator.Request) {
	frc.add(poo, siz, -refusedWeight)
}

func (frc *Forecaster) add(poo Pool, siz estimator.Request, weight float64) {
	dem := estimator.Demand{Requests: 1, PromptTokens: float64(siz.PromptTokens), AnswerTokens: float64(siz.AnswerTokens)}
	frc.mux.Lock()
	defer frc.mux.Unlock()
	rat := frc.own[poo]
	if rat == nil {
		rat = &rate{}
		frc.own[poo] = rat
	}
	rat.add(scale(dem, weight), frc.clk.Now())
}

// Own returns the recent mean of the demand of this entry, by pool, and forgets pools without any.
func (frc *Forecaster) Own() map[Pool]estimator.Demand {
	frc.mux.Lock()
	defer frc.mux.Unlock()
	now := frc.clk.Now()
	out := map[Pool]estimator.Demand{}
	for poo, rat := range frc.own {
		dem := rat.perSecond(now)
		if dem.Requests < negligibleRequests {
			delete(frc.own, poo)
			continue
		}
		out[poo] = dem
	}
	return out
}

// Put replaces the demand that an entry states, by a hash of the pool.
func (frc *Forecaster) Put(entry string, demands map[uint64]estimator.Demand) {
	frc.mux.Lock()
	defer frc.mux.Unlock()
	frc.reports[entry] = report{demands: demands, at: frc.clk.Now()}
}

// Expire removes the entries that have stated nothing for a time, and returns how many are left.
func (frc *Forecaster) Expire(age time.Duration) int {
	frc.mux.Lock()
	defer frc.mux.Unlock()
	now := frc.clk.Now()
	for entry, rep := range frc.reports {
		if now.Sub(rep.at) > age {
			delete(frc.reports, entry)
		}
	}
	return len(frc.reports)
}

// Sum returns the forecast of a pool, by its hash, from what the entries state; zones holds their availability zones. The longer mean covers the calls of the last seconds.
func (frc *Forecaster) Sum(key uint64, zones map[string]string) Forecast {
	frc.mux.Lock()
	defer frc.mux.Unlock()
	out := Forecast{ZoneShares: map[string]float64{}}
	for entry, rep := range frc.reports {
		dem := rep.demands[key]
		out.Recent = out.Recent.Plus(dem)
		if dem.PromptTokens > 0 {
			out.ZoneShares[zones[entry]] += dem.PromptTokens
		}
	}
	for zone := range out.ZoneShares {
		out.ZoneShares[zone] /= out.Recent.PromptTokens
	}
	mea := frc.means[key]
	if mea == nil {
		mea = &mean{}
		frc.means[key] = mea
	}
	mea.update(out.Recent, frc.clk.Now())
	out.Mean = mea.val
	return out
}
