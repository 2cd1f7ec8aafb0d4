package forwarder

import (
	"strconv"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/claimer"
	"github.com/lovagelever/lovagelever/refuser"
)

func refusalAnswer(ref refuser.Refusal) Answer {
	return Answer{Refusal: &ref}
}

func replayAnswer(out claimer.Outcome) Answer {
	if out.Truncated {
		return refusalAnswer(refuser.OutcomeUnknown("the call ran and was answered with status " + strconv.Itoa(out.Status) + "; its answer was too large to be kept"))
	}
	return Answer{Status: out.Status, Header: out.Header, Body: out.Body, Replayed: true}
}

func outcomeOf(ans Answer) claimer.Outcome {
	if ans.Refusal == nil {
		return claimer.Outcome{State: claimer.StateDone, Status: ans.Status, Header: ans.Header, Body: ans.Body}
	}
	if ans.Refusal.Type == refuser.TypeNotRun {
		return claimer.Outcome{State: claimer.StateNotRun}
	}
	return claimer.Outcome{State: claimer.StateUnknown}
}

func claimRefusal(err error) refuser.Refusal {
	ref, isRefusal := errors.AsType[*claimer.Refusal](err)
	if !isRefusal {
		return refuser.OutcomeUnknown(err.Error())
	}
	// This send did not run, but an earlier send of the same key may have run.
	if ref.ThisSendOnly {
		unk := refuser.OutcomeUnknown(ref.Reason + ": this send did not run, an earlier send of the key may have")
		unk.RetryAfter = retryAfter
		return unk
	}
	switch ref.Kind {
	case claimer.KindNotRun:
		return refuser.NotRun(ref.Reason, retryAfter)
	case claimer.KindInvalid:
		return refuser.Invalid(ref.Reason)
	case claimer.KindExpired:
		return refuser.Expired(ref.Reason)
	case claimer.KindConflict:
		return refuser.Conflict(ref.Reason)
	default:
		return refuser.OutcomeUnknown(ref.Reason)
	}
}
