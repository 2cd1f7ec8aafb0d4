package sharer

import (
	"math"
	"slices"
	"time"
)

// class is the state of a pool's requests of one priority.
type class struct {
	// refusedAt is when a request was last refused, as far as this entry knows, shortSince since when the class is short of room, zero if it is not.
	refusedAt  time.Time
	shortSince time.Time
	// capacity is the work per second that the pool serves, as far as is known.
	capacity float64
	// refused is the rate of refusals for lack of room at the last update, recent that of the last updates alone.
	refused float64
	recent  float64
	// excess is the share by which more work is admitted than was served last.
	excess float64
	// parts holds, by workspace, which part of the work is admitted; workspaces that are not in it are served whole.
	parts map[uint32]float64
}

// refresh computes the limits of all classes from the use of all entries.
func (sha *Sharer) refresh(now time.Time) {
	if now.Sub(sha.refreshedAt) < refreshInterval {
		return
	}
	sha.refreshedAt = now
	uses := sha.sums(now)
	for id, cla := range sha.classes {
		if now.Sub(cla.refusedAt) >= reportWindow {
			delete(sha.classes, id)
			continue
		}
		cla.update(uses[id], now)
	}
}

// sums returns the use of all entries by class and workspace.
func (sha *Sharer) sums(now time.Time) map[uint32]map[uint32]Use {
	out := map[uint32]map[uint32]Use{}
	add := func(list []Use) {
		for _, use := range list {
			if out[use.Class] == nil {
				out[use.Class] = map[uint32]Use{}
			}
			sum := out[use.Class][use.Workspace]
			out[use.Class][use.Workspace] = Use{Key: use.Key, Started: sum.Started + use.Started, Refused: sum.Refused + use.Refused, Limited: sum.Limited + use.Limited}
		}
	}
	add(sha.ownUses(now))
	for _, list := range sha.remote {
		add(list)
	}
	return out
}

// update computes which part of each workspace's work is admitted.
func (cla *class) update(uses map[uint32]Use, now time.Time) {
	started, refused, asked := 0.0, 0.0, 0.0
	for _, use := range uses {
		started, refused, asked = started+use.Started, refused+use.Refused, asked+use.asked()
	}
	if len(uses) < 2 || started <= 0 || asked-started <= shortShare*asked {
		cla.shortSince, cla.capacity, cla.excess, cla.parts = time.Time{}, 0, 0, nil
		return
	}
	if cla.shortSince.IsZero() {
		cla.shortSince = now
	}
	if now.Sub(cla.shortSince) < settleTime {
		return
	}
	cla.addRefused(refused)
	if cla.recent > idleShare*started {
		cla.capacity, cla.excess = started, 0
	} else {
		cla.capacity = max(cla.capacity, started)
		cla.excess = min(maxExcess, max(cla.excess+excessStep, excessGrowth*cla.excess))
	}
	lev := level(uses, cla.capacity*(1+cla.excess))
	cla.parts = map[uint32]float64{}
	for wsp, use := range uses {
		if use.asked() > lev {
			cla.parts[wsp] = lev / use.asked()
		}
	}
}

// addRefused updates the rate of recent refusals, without those that the averaged rate still contains from before.
func (cla *class) addRefused(refused float64) {
	const smoothing = 0.5
	kept := math.Exp(-refreshInterval.Seconds() / window.Seconds())
	fresh := max(0, refused-cla.refused*kept) / (1 - kept)
	cla.refused = refused
	cla.recent += smoothing * (fresh - cla.recent)
}

// level returns the work per second up to which each workspace is served whole, so that all together get an amount of work per second.
func level(uses map[uint32]Use, amount float64) float64 {
	asked := make([]float64, 0, len(uses))
	for _, use := range uses {
		asked = append(asked, use.asked())
	}
	slices.Sort(asked)
	for num, one := range asked {
		even := amount / float64(len(asked)-num)
		if one >= even {
			return even
		}
		amount -= one
	}
	return math.Inf(1)
}

// meter measures the work per second of one workspace at this entry.
type meter struct {
	started average
	refused average
	limited average
	// credit is the sum of the parts of requests that were admitted, less the requests that were.
	credit float64
}

// average is a rate averaged over the window.
type average struct {
	sum     float64
	updated time.Time
}

func (avg *average) add(now time.Time, work float64) {
	avg.sum = avg.decayed(now) + work
	avg.updated = now
}

// at returns the rate per second.
func (avg *average) at(now time.Time) float64 {
	return avg.decayed(now) / window.Seconds()
}

func (avg *average) decayed(now time.Time) float64 {
	return avg.sum * math.Exp(-now.Sub(avg.updated).Seconds()/window.Seconds())
}
