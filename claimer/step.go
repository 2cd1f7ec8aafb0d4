package claimer

import (
	"context"

	"github.com/lovagelever/lovagelever/reducer"
)

// stepResult is a decision, or the key to wait for or to claim before Begin decides again.
type stepResult struct {
	decision Decision
	waitFor  *keyEntry
	claimFor *keyEntry
}

func (cla *Claimer) decide(key Key, fpr string) (stepResult, *Refusal) {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	cla.prune()
	if ent, known := cla.tab.entries[key.Text]; known {
		return ent.decide(fpr)
	}
	if key.ClientGenerated {
		return cla.decideClientKey(key, fpr)
	}
	return cla.decideIssuedKey(key, fpr)
}

func (ent *keyEntry) decide(fpr string) (stepResult, *Refusal) {
	if ent.fingerprint != fpr {
		return stepResult{}, refuse(KindConflict, "the key was used for another request")
	}
	switch ent.out.State {
	case StateClaiming, StateRunning:
		return stepResult{waitFor: ent}, nil
	case StateDone:
		return stepResult{decision: Decision{Verdict: VerdictReplay, Outcome: ent.out}}, nil
	default:
		return stepResult{}, refuse(KindOutcomeUnknown, "the call may have run")
	}
}

func waitSettled(ctx context.Context, ent *keyEntry) *Refusal {
	select {
	case <-ent.settled:
		return ent.refusal
	case <-ctx.Done():
		return refuse(KindOutcomeUnknown, "an earlier send of the key is still running")
	}
}

// addKey adds a key that this incarnation may run to the table.
func (cla *Claimer) addKey(key Key, fpr string) (*keyEntry, *Refusal) {
	if cla.handedOver {
		return nil, refuse(KindNotRun, "the entry is stopping")
	}
	ent := cla.tab.add(key, fpr)
	if ent == nil {
		return nil, refuse(KindNotRun, "the outcome table is full")
	}
	ent.wasClaimable = key.ClientGenerated
	return ent, nil
}

// decideRemoteKey decides on a key of another incarnation that is not in the local table.
func (cla *Claimer) decideRemoteKey(inc string) (stepResult, *Refusal) {
	holder, found := cla.findHolder(inc)
	_, known := cla.origins[inc]
	switch {
	case !found || holder == cla.set.Incarnation && !known:
		return stepResult{}, refuse(KindOutcomeUnknown, "the entry that holds the outcome of the key is gone")
	case holder == cla.set.Incarnation:
		return stepResult{}, refuse(KindNotRun, "the entry that held the key has stopped")
	default:
		return stepResult{decision: Decision{Verdict: VerdictForward, Incarnation: holder}}, nil
	}
}

// findHolder follows the chain of successors of an incarnation to a live one or to this one.
//
// When the applied state names this incarnation as successor, it already includes
// everything that the stopped incarnation had applied.
func (cla *Claimer) findHolder(inc string) (string, bool) {
	for range reducer.MaxDeparted {
		if cla.members.Live(inc) {
			return inc, true
		}
		suc, departed := cla.members.Successor(inc)
		if !departed || suc == "" {
			return "", false
		}
		if suc == cla.set.Incarnation {
			return suc, true
		}
		inc = suc
	}
	return "", false
}
