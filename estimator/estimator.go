package estimator

import (
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/router"
)

// Request is the size of a request in tokens; AnswerTokens is the expected length of its answer.
type Request struct {
	PromptTokens int
	AnswerTokens int
}

// Prediction is what a unit does with one more request. FirstEvent is the time until the request's first event leaves the unit, EventInterval the longest time between two events of a stream on the unit meanwhile, and Memory the number of tokens that the unit holds at its peak.
type Prediction struct {
	FirstEvent    time.Duration
	EventInterval time.Duration
	Memory        int
}

// Estimator predicts the times of one model on an engine; it is safe for concurrent use and does not allocate.
type Estimator struct {
	eng   router.Engine
	pace  float64
	steps float64
}

// New returns the estimator of a model; it fails with errors.NotValid if the engine's figures do not suffice for predictions.
func New(eng router.Engine, mod router.Model) (*Estimator, error) {
	switch {
	case eng.Step <= 0 || eng.StepPerRequest < 0 || eng.Slots <= 0:
		return nil, errors.NotValidf("estimator: steps of the engine")
	case eng.PromptTokensPerSecond <= 0 || eng.ChunkTokens <= 0:
		return nil, errors.NotValidf("estimator: reading speed of the engine")
	case mod.TimeFactor <= 0:
		return nil, errors.NotValidf("estimator: time factor of model %s", mod.Name)
	}
	return &Estimator{eng: eng, pace: mod.TimeFactor, steps: float64(max(1, eng.StepsPerPass))}, nil
}

// Predict returns what a unit with some work does with one more request; slowness multiplies all times and is at least 1.
func (est *Estimator) Predict(wor Work, req Request, slowness float64) Prediction {
	unread := float64(wor.Unread + req.PromptTokens)
	passes := math.Ceil(unread / float64(est.eng.ChunkTokens))
	writing := est.writingTime(wor.Requests)
	reading := unread / est.eng.PromptTokensPerSecond
	// The request arrives in the middle of a pass.
	first := (passes+0.5)*writing + reading
	interval := writing + min(unread, float64(est.eng.ChunkTokens))/est.eng.PromptTokensPerSecond
	factor := est.pace * max(1, slowness)
	return Prediction{
		FirstEvent:    seconds(first * factor),
		EventInterval: seconds(interval * factor),
		Memory:        wor.Committed + req.PromptTokens + req.AnswerTokens,
	}
}

// GroupsNeeded returns how many groups serve a demand so that each uses at most a share of its slots and of the prompt tokens that it can read in a pass.
func (est *Estimator) GroupsNeeded(dem Demand, utilization float64) float64 {
	step := est.eng.Step.Seconds()
	busy := dem.AnswerTokens*est.eng.StepPerRequest.Seconds() + dem.PromptTokens/est.eng.PromptTokensPerSecond
	write := dem.AnswerTokens * step / (utilization * float64(est.eng.Slots))
	read := dem.PromptTokens * est.steps * step / (utilization * float64(est.eng.ChunkTokens))
	return est.pace * (busy + max(write, read))
}

// writingTime returns the duration in seconds of a pass in which no prompt is read, at a time factor of 1.
func (est *Estimator) writingTime(requests int) float64 {
	return est.steps * (est.eng.Step.Seconds() + float64(requests)*est.eng.StepPerRequest.Seconds())
}

func seconds(val float64) time.Duration {
	return time.Duration(val * float64(time.Second))
}
