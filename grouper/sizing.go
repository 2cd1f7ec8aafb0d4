package grouper

import (
	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/router"
)

const (
	// maxUtilization is the utilization at which a group still keeps up with its requests.
	maxUtilization = 1.0
	// comfortUtilization is the utilization up to which more groups hardly shorten the time to the first event.
	comfortUtilization = 0.3
	// fitSteps is the number of halvings by which the common utilization is found, to less than a thousandth.
	fitSteps = 10
)

// sizing says how many groups each model needs for the work that callers ask for.
type sizing struct {
	models     []router.Model
	estimators map[string]*estimator.Estimator
	// peaks holds the demand at its recent peak, means that of the last seconds.
	peaks map[string]estimator.Demand
	means map[string]estimator.Demand
}

// newSizing returns the sizing for the engine and the forecasts of a plan's input, nil if a forecast is unknown or the engine's figures do not suffice.
func newSizing(inp Input) *sizing {
	siz := &sizing{models: inp.Engine.Models, estimators: map[string]*estimator.Estimator{}, peaks: map[string]estimator.Demand{}, means: map[string]estimator.Demand{}}
	for _, mod := range siz.models {
		fco, known := inp.Forecasts[mod.Name]
		est, err := estimator.New(inp.Engine, mod)
		if err != nil || !known {
			return nil
		}
		siz.estimators[mod.Name], siz.peaks[mod.Name], siz.means[mod.Name] = est, fco.Peak(), fco.Mean
	}
	return siz
}

// targets returns the number of groups of each model for a number of servers, of which some stand by as far as the demand allows; limits bounds the groups of a model. While each model is comfortable with what the shares of the configuration give it, these are the targets.
func (siz *sizing) targets(servers, standby int, limits map[string]int) map[string]int {
	spare := float64(servers) - siz.servers(donorUtilization)
	servers -= max(0, min(standby, int(spare)))
	usual := divide(siz.models, servers, shareLoads(siz.models), limits)
	if siz.suffices(usual) {
		return usual
	}
	utl := siz.utilization(servers)
	loads := map[string]float64{}
	for _, mod := range siz.models {
		loads[mod.Name] = siz.needed(mod.Name, utl)
	}
	return divide(siz.models, servers, loads, limits)
}

// needed returns how many groups serve the demand of a model at a utilization.
func (siz *sizing) needed(model string, utilization float64) float64 {
	return siz.estimators[model].GroupsNeeded(siz.peaks[model], utilization)
}

// overloads reports whether the mean demand of a model exceeds what a number of groups serves at a utilization.
func (siz *sizing) overloads(model string, groups int, utilization float64) bool {
	return siz.estimators[model].GroupsNeeded(siz.means[model], utilization) > float64(groups)
}

// utilization returns the lowest utilization, the same for all models, at which the groups fit into a number of servers, at most maxUtilization.
func (siz *sizing) utilization(servers int) float64 {
	low, high := 0.0, maxUtilization
	for range fitSteps {
		mid := (low + high) / 2
		if siz.servers(mid) > float64(servers) {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// servers returns how many servers all models need at a utilization.
func (siz *sizing) servers(utilization float64) float64 {
	sum := 0.0
	for _, mod := range siz.models {
		sum += float64(mod.Size) * siz.needed(mod.Name, utilization)
	}
	return sum
}

// suffices reports whether each model is comfortable with a number of groups.
func (siz *sizing) suffices(groups map[string]int) bool {
	for _, mod := range siz.models {
		if siz.needed(mod.Name, comfortUtilization) > float64(groups[mod.Name]) {
			return false
		}
	}
	return true
}

// divide divides servers among the models, so that the model with the highest load per group gets the next one; loads are in groups, and limits bounds the groups of a model. Each model gets at least one group.
func divide(models []router.Model, servers int, loads map[string]float64, limits map[string]int) map[string]int {
	out := map[string]int{}
	for _, mod := range models {
		out[mod.Name] = 1
		servers -= mod.Size
	}
	for {
		best, highest := -1, 0.0
		for num, mod := range models {
			if mod.Size > servers || out[mod.Name] >= limits[mod.Name] {
				continue
			}
			if ratio := loads[mod.Name] / float64(out[mod.Name]); ratio > highest {
				best, highest = num, ratio
			}
		}
		if best < 0 {
			return out
		}
		out[models[best].Name]++
		servers -= models[best].Size
	}
}

// shareLoads returns the loads of the models by the shares of the configuration, in groups.
func shareLoads(models []router.Model) map[string]float64 {
	shares := 0.0
	for _, mod := range models {
		shares += mod.Share
	}
	out := map[string]float64{}
	for _, mod := range models {
		share := 1 / float64(len(models))
		if shares > 0 {
			share = mod.Share / shares
		}
		out[mod.Name] = share / float64(mod.Size)
	}
	return out
}
