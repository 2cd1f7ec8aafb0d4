package claimer

// Kind says what a refusal means to the caller.
type Kind string

// The kinds of refusal.
const (
	KindNotRun         Kind = "not_run"
	KindOutcomeUnknown Kind = "outcome_unknown"
	KindInvalid        Kind = "invalid"
	KindExpired        Kind = "expired"
	KindConflict       Kind = "conflict"
)

// Refusal is the error of a call that this incarnation does not run.
//
// ThisSendOnly says that KindNotRun is known of this send alone: the fold could
// not be brought up to date, so an earlier send at another entry may have run.
type Refusal struct {
	Kind         Kind
	Reason       string
	ThisSendOnly bool
}

// Error gives the kind and the reason.
func (ref *Refusal) Error() string {
	return "claimer: " + string(ref.Kind) + ": " + ref.Reason
}

func refuse(kind Kind, reason string) *Refusal {
	return &Refusal{Kind: kind, Reason: reason}
}
