package claimer

import "net/http"

// State is the progress of the call of a key.
type State string

// States of a key; StateNotRun is passed to Finish when no backend server can have received the call.
const (
	StateClaiming State = "claiming"
	StateRunning  State = "running"
	StateDone     State = "done"
	StateUnknown  State = "unknown"
	StateNotRun   State = "not_run"
)

// Outcome is the result of a call; Truncated means that header and body were dropped because they exceeded the size limit.
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

// limitedTo returns a copy of the outcome, without header and body unless the state is StateDone and both together have at most limit bytes.
func (out Outcome) limitedTo(limit int) Outcome {
	if out.State == StateDone && out.size() <= limit {
		out.Header = out.Header.Clone()
		out.Body = append([]byte(nil), out.Body...)
		return out
	}
	return Outcome{State: out.State, Status: out.Status, Truncated: out.State == StateDone}
}

// Verdict is the action to take for a call.
type Verdict string

// Verdicts of Begin.
const (
	VerdictRun     Verdict = "run"
	VerdictReplay  Verdict = "replay"
	VerdictForward Verdict = "forward"
)

// Decision is the result of Begin: run the call, replay Outcome, or forward the call to Incarnation.
type Decision struct {
	Verdict     Verdict
	Outcome     Outcome
	Incarnation string
}
