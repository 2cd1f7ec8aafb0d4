package dispatcher

import (
	"time"
)

// memoryReserve is the share of a unit's memory that is left for what the other entries commit unseen.
const memoryReserve = 0.25

// growth is the memory in tokens that this entry has committed on a unit within the age of loads.
type growth struct {
	tokens float64
	at     time.Time
}

// recent returns what is left of the growth after it has shrunk by an allowance in each period.
func (gro *growth) recent(allowance float64, period time.Duration, now time.Time) float64 {
	return max(0, gro.tokens-allowance*now.Sub(gro.at).Seconds()/max(period, time.Millisecond).Seconds())
}

// fitsMemory reports whether a unit has memory for the longest answer of a request beside all that is committed. Entries see each other's commitments late: each adds at most its part of the reserve within the age of loads, or the part of one slot.
func (dis *Dispatcher) fitsMemory(sta *unitState, req Request, now time.Time) bool {
	memory := float64(sta.Estimator.MemoryTokens())
	if memory <= 0 || req.MemoryTokens <= 0 {
		return true
	}
	allowance := dis.memoryAllowance(sta)
	recent := sta.grown.recent(allowance, dis.remoteAge(), now)
	if recent > 0 && recent+float64(req.MemoryTokens) > allowance {
		return false
	}
	reserve := memory * memoryReserve
	if dis.entries == 1 {
		reserve = 0
	}
	return float64(sta.own.Committed+sta.remote.Committed+req.MemoryTokens) <= memory-reserve
}

// memoryAllowance returns how many tokens of memory this entry may commit on a unit within the age of loads.
func (dis *Dispatcher) memoryAllowance(sta *unitState) float64 {
	memory := float64(sta.Estimator.MemoryTokens())
	return max(memory*memoryReserve/float64(dis.entries), memory/float64(max(1, sta.Slots)))
}

// commit records the memory that a request needs on a unit.
func (dis *Dispatcher) commit(sta *unitState, tokens int, now time.Time) {
	sta.own.Committed += tokens
	if sta.Estimator == nil || sta.Estimator.MemoryTokens() <= 0 {
		return
	}
	sta.grown.tokens = sta.grown.recent(dis.memoryAllowance(sta), dis.remoteAge(), now) + float64(tokens)
	sta.grown.at = now
}
