package claimer

// Kind classifies a Refusal for the caller.
type Kind string

// Kinds of refusal.
const (
	KindNotRun         Kind = "not_run"
	KindOutcomeUnknown Kind = "outcome_unknown"
	KindInvalid        Kind = "invalid"
	KindExpired        Kind = "expired"
	KindConflict       Kind = "conflict"
)

// Refusal is the error for a call that this incarnation does not run.
//
// ThisSendOnly limits KindNotRun to this send: the entry could not catch up with
// the log, so an earlier send of the key through another entry may have run.
type Refusal struct {
	Kind         Kind
	Reason       string
	ThisSendOnly bool
}

// Error returns the kind and the reason.
func (ref *Refusal) Error() string {
	return "claimer: " + string(ref.Kind) + ": " + ref.Reason
}

func refuse(kind Kind, reason string) *Refusal {
	return &Refusal{Kind: kind, Reason: reason}
}
