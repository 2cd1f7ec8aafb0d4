package estimator

import (
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/router"
)

// Bounds of figures that a configuration or a caller names, against predictions that overflow.
const (
	maxStep          = time.Minute
	maxTokens        = 100_000_000
	maxTimeFactor    = 1000.0
	maxPairNS        = 1e6
	maxRequestTokens = 10_000_000
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
	// step, stepPerRequest, stepPerContext and readToken are durations in seconds at a time factor of 1.
	step           float64
	stepPerRequest float64
	stepPerContext float64
	readToken      float64
	chunk          float64
}

// New returns the estimator of a model; it fails with errors.NotValid if the engine's figures do not suffice for predictions.
func New(eng router.Engine, mod router.Model) (*Estimator, error) {
	if err := check(eng, mod); err != nil {
		return nil, err
	}
	return &Estimator{
		eng: eng, pace: mod.TimeFactor, steps: float64(max(1, eng.StepsPerPass)),
		step: eng.Step.Seconds(), stepPerRequest: eng.StepPerRequest.Seconds(), stepPerContext: eng.StepPerContextToken * time.Nanosecond.Seconds(),
		readToken: 1/eng.PromptTokensPerSecond + eng.PromptPairTime*float64(eng.UsualPromptTokens)/2*time.Nanosecond.Seconds(),
		chunk:     float64(eng.ChunkTokens),
	}, nil
}

func check(eng router.Engine, mod router.Model) error {
	switch {
	case eng.Step <= 0 || eng.Step > maxStep || eng.StepPerRequest < 0 || eng.StepPerRequest > maxStep:
		return errors.NotValidf("estimator: duration of a step, %s and %s for each request,", eng.Step, eng.StepPerRequest)
	case eng.Slots <= 0 || eng.Slots > maxTokens || eng.StepsPerPass < 0 || eng.StepsPerPass > maxTokens:
		return errors.NotValidf("estimator: %d slots with %d steps in a pass", eng.Slots, eng.StepsPerPass)
	case !within(eng.PromptTokensPerSecond, 1, math.MaxInt32) || eng.ChunkTokens <= 0 || eng.ChunkTokens > maxTokens:
		return errors.NotValidf("estimator: reading of %g prompt tokens per second, %d in a pass,", eng.PromptTokensPerSecond, eng.ChunkTokens)
	case !within(eng.PromptPairTime, 0, maxPairNS) || !within(eng.StepPerContextToken, 0, maxPairNS):
		return errors.NotValidf("estimator: %g ns for each pair of tokens and %g ns for each token of context", eng.PromptPairTime, eng.StepPerContextToken)
	case eng.MemoryTokens < 0 || eng.UsualPromptTokens < 0 || eng.UsualPromptTokens > maxTokens || eng.UsualAnswerTokens < 0 || eng.UsualAnswerTokens > maxTokens:
		return errors.NotValidf("estimator: memory or usual sizes of requests")
	case mod.TimeFactor <= 0 || !within(mod.TimeFactor, 0, maxTimeFactor):
		return errors.NotValidf("estimator: time factor %g of model %s", mod.TimeFactor, mod.Name)
	}
	return nil
}

// within reports whether a figure is a number between two bounds.
func within(val, low, high float64) bool {
	return val >= low && val <= high
}

// Predict returns what a unit with some work does with one more request; slowness multiplies all times.
func (est *Estimator) Predict(wor Work, req Request, slowness float64) Prediction {
	prompt, answer := bounded(req.PromptTokens), bounded(req.AnswerTokens)
	writing := est.writingTime(wor)
	// The request arrives in the middle of a pass, which reads a chunk of what waits.
	running := min(float64(wor.Unread), est.chunk)
	unread := float64(wor.Unread+prompt) - running
	passes := max(1, math.Ceil(unread/est.chunk))
	chunk := min(float64(wor.Unread+prompt), est.chunk) * est.readToken
	first := (writing+running*est.readToken)/2 + passes*writing + unread*est.readToken + est.pairTime(prompt)
	factor := est.pace * slowness
	return Prediction{
		FirstEvent:    seconds(first * factor),
		EventInterval: seconds((writing + chunk) * factor),
		Memory:        wor.Committed + prompt + answer,
	}
}

// ReadingRate returns how many prompt tokens a unit with some work reads per second while more wait than it reads in a pass.
func (est *Estimator) ReadingRate(wor Work, slowness float64) float64 {
	return est.chunk / (est.PassTime(wor).Seconds() * slowness)
}

// PassTime returns the duration of a pass of a unit with some work that reads as much as it can.
func (est *Estimator) PassTime(wor Work) time.Duration {
	return seconds((est.writingTime(wor) + est.chunk*est.readToken) * est.pace)
}

// UsualRequest returns the mean size of requests.
func (est *Estimator) UsualRequest() Request {
	return Request{PromptTokens: est.eng.UsualPromptTokens, AnswerTokens: est.eng.UsualAnswerTokens}
}

// MemoryTokens returns the number of tokens that a unit has memory for, zero if unknown.
func (est *Estimator) MemoryTokens() int {
	return est.eng.MemoryTokens
}

// GroupsNeeded returns how many groups serve a demand so that each uses at most a share of its slots and of the prompt tokens that it can read in a pass. A request holds its slot for the steps of its answer and of the pass that reads it.
func (est *Estimator) GroupsNeeded(dem Demand, utilization float64) float64 {
	context := est.stepPerContext * float64(est.eng.UsualPromptTokens+est.eng.UsualAnswerTokens/2)
	busy := dem.AnswerTokens*(est.stepPerRequest+context) + dem.PromptTokens*est.readToken
	write := (dem.AnswerTokens + dem.Requests*est.steps) * est.step / (utilization * float64(est.eng.Slots))
	read := dem.PromptTokens * est.steps * est.step / (utilization * est.chunk)
	return est.pace * (busy + max(write, read))
}

// writingTime returns the duration in seconds of a pass in which no prompt is read, at a time factor of 1. The context of the requests is what they have committed and do not read any more.
func (est *Estimator) writingTime(wor Work) float64 {
	context := max(0, wor.Committed-wor.Unread)
	return est.steps * (est.step + float64(wor.Requests)*est.stepPerRequest + float64(context)*est.stepPerContext)
}

// pairTime returns how much longer in seconds a prompt takes to read than one of the usual size, for each of its tokens.
func (est *Estimator) pairTime(prompt int) float64 {
	longer := float64(prompt - est.eng.UsualPromptTokens)
	return max(0, float64(prompt)*longer/2*est.eng.PromptPairTime*time.Nanosecond.Seconds())
}

func bounded(tokens int) int {
	return min(max(0, tokens), maxRequestTokens)
}

func seconds(val float64) time.Duration {
	return time.Duration(min(val, time.Hour.Seconds()) * float64(time.Second))
}
