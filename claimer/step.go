package claimer

import (
	"context"

	"github.com/lovagelever/lovagelever/reducer"
)

// step is a decision, or what has to be waited for before there is one.
type step struct {
	dec   Decision
	wait  *entry
	claim *entry
}

func (cla *Claimer) step(key Key, fpr string) (step, *Refusal) {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	cla.prune()
	if ent, known := cla.tab.entries[key.Text]; known {
		return ent.step(fpr)
	}
	if key.Logged {
		return cla.stepLogged(key, fpr)
	}
	return cla.stepIssued(key, fpr)
}

func (ent *entry) step(fpr string) (step, *Refusal) {
	if ent.fingerprint != fpr {
		return step{}, refuse(KindConflict, "the key was used for another request")
	}
	switch ent.out.State {
	case StateClaiming, StateRunning:
		return step{wait: ent}, nil
	case StateDone:
		return step{dec: Decision{Verdict: VerdictReplay, Outcome: ent.out}}, nil
	default:
		return step{}, refuse(KindOutcomeUnknown, "the call may have run")
	}
}

func await(ctx context.Context, ent *entry) *Refusal {
	select {
	case <-ent.settled:
		return ent.refusal
	case <-ctx.Done():
		return refuse(KindOutcomeUnknown, "an earlier send of the key is still running")
	}
}

// admit takes in a key that this incarnation may run.
func (cla *Claimer) admit(key Key, fpr string) (*entry, *Refusal) {
	if cla.handed {
		return nil, refuse(KindNotRun, "the entry is stopping")
	}
	ent := cla.tab.add(key, fpr)
	if ent == nil {
		return nil, refuse(KindNotRun, "the table of outcomes is full")
	}
	ent.claimable = key.Logged
	return ent, nil
}

// elsewhere answers for another incarnation's keys that the own table lacks.
func (cla *Claimer) elsewhere(inc string) (step, *Refusal) {
	holder, found := cla.holder(inc)
	_, here := cla.origins[inc]
	switch {
	case !found || holder == cla.set.Incarnation && !here:
		return step{}, refuse(KindOutcomeUnknown, "the entry that holds the key is gone")
	case holder == cla.set.Incarnation:
		return step{}, refuse(KindNotRun, "the entry that held the key has stopped")
	default:
		return step{dec: Decision{Verdict: VerdictForward, Incarnation: holder}}, nil
	}
}

// holder follows the successors of an incarnation to the live one, or to this one.
//
// That the fold names this one means that it has passed all that the stopped incarnation's fold had.
func (cla *Claimer) holder(inc string) (string, bool) {
	for range reducer.MaxDeparted {
		if cla.mem.Live(inc) {
			return inc, true
		}
		suc, left := cla.mem.Successor(inc)
		if !left || suc == "" {
			return "", false
		}
		if suc == cla.set.Incarnation {
			return suc, true
		}
		inc = suc
	}
	return "", false
}
