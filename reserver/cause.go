package reserver

// Cause says what memory is held for.
type Cause int

// The causes: bodies of requests, bodies of responses, and events of streams that callers have not read yet.
const (
	Requests Cause = iota
	Responses
	Events
)

// Causes lists all causes.
var Causes = []Cause{Requests, Responses, Events}

// String returns the name of the cause in metrics.
func (cau Cause) String() string {
	return [...]string{"requests", "responses", "events"}[cau]
}

// Refusal says why new requests are refused; it is empty if they are not.
type Refusal string

// The reasons: the budget of held bytes, or the memory of the whole process.
const (
	HeldBytes     Refusal = "held_bytes"
	ProcessMemory Refusal = "process_memory"
)

// Refusals lists all reasons.
var Refusals = []Refusal{HeldBytes, ProcessMemory}
