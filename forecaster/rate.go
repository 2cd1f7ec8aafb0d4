package forecaster

import (
	"math"
	"time"

	"github.com/lovagelever/lovagelever/estimator"
)

// rate is a decaying sum of work.
type rate struct {
	sum estimator.Demand
	at  time.Time
}

func (rat *rate) add(dem estimator.Demand, now time.Time) {
	rat.sum, rat.at = rat.decayed(now).Plus(dem), now
}

func (rat *rate) decayed(now time.Time) estimator.Demand {
	return scale(rat.sum, math.Exp(-now.Sub(rat.at).Seconds()/recentMemory.Seconds()))
}

// perSecond returns the mean over about recentMemory; refusals may bring it below zero for a moment.
func (rat *rate) perSecond(now time.Time) estimator.Demand {
	dem := scale(rat.decayed(now), 1/recentMemory.Seconds())
	return estimator.Demand{Requests: max(0, dem.Requests), PromptTokens: max(0, dem.PromptTokens), AnswerTokens: max(0, dem.AnswerTokens)}
}

// mean is a decaying mean of a demand that is known from time to time.
type mean struct {
	val estimator.Demand
	at  time.Time
}

// update moves the mean towards a value. It starts again from the value after a pause of meanMemory.
func (mea *mean) update(val estimator.Demand, now time.Time) {
	keep := math.Exp(-now.Sub(mea.at).Seconds() / meanMemory.Seconds())
	if mea.at.IsZero() || now.Sub(mea.at) > meanMemory {
		keep = 0
	}
	mea.val, mea.at = scale(mea.val, keep).Plus(scale(val, 1-keep)), now
}

func scale(dem estimator.Demand, factor float64) estimator.Demand {
	return estimator.Demand{Requests: factor * dem.Requests, PromptTokens: factor * dem.PromptTokens, AnswerTokens: factor * dem.AnswerTokens}
}
