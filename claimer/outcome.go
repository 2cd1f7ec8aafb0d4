package claimer

import "net/http"

// State says how far the call of a key has come.
type State string

// The states of a key; StateNotRun is given to Finish when certainly nothing was handed to a backend server.
const (
	StateClaiming State = "claiming"
	StateRunning  State = "running"
	StateDone     State = "done"
	StateUnknown  State = "unknown"
	StateNotRun   State = "not_run"
)

// Outcome is what a call ended with; Truncated says that header and body were too large to be kept.
type Outcome struct {
	State     State
	Status    int
	Header    http.Header
	Body      []byte
	Truncated bool
}

func (out Outcome) size() int {
	size := len(out.Body)
	for name, vals := range out.Header {
		size += len(name)
		for _, val := range vals {
			size += len(val)
		}
	}
	return size
}

func (out Outcome) bounded(limit int) Outcome {
	if out.State == StateDone && out.size() <= limit {
		out.Header = out.Header.Clone()
		out.Body = append([]byte(nil), out.Body...)
		return out
	}
	return Outcome{State: out.State, Status: out.Status, Truncated: out.State == StateDone}
}

// Verdict says what is to be done with a call.
type Verdict string

// The verdicts on a call.
const (
	VerdictRun     Verdict = "run"
	VerdictReplay  Verdict = "replay"
	VerdictForward Verdict = "forward"
)

// Decision is the answer to Begin: run the call, replay Outcome, or ask Incarnation.
type Decision struct {
	Verdict     Verdict
	Outcome     Outcome
	Incarnation string
}
