package claimer

import (
	"context"

	"github.com/lovagelever/lovagelever/recorder"
)

// batch collects claims for one record; done is closed once the record was read back from the log or failed.
type batch struct {
	claims []recorder.Claim
	done   chan struct{}
	err    error
}

func (cla *Claimer) decideClientKey(key Key, fpr string) (stepResult, *Refusal) {
	if !cla.claims.Claimable(key.IssuedMS) {
		return stepResult{}, refuse(KindExpired, "the key's timestamp is outside the window in which keys are accepted")
	}
	recorded, claimed := cla.claims.Claim(key.Text)
	if claimed && recorded.Owner != cla.set.Incarnation {
		return cla.decideRemoteKey(recorded.Owner)
	}
	ent, ref := cla.addKey(key, fpr)
	if ref != nil {
		ref.ThisSendOnly = !claimed
		return stepResult{}, ref
	}
	if claimed {
		return cla.startRun(ent), nil
	}
	return stepResult{claimFor: ent}, nil
}

// appendClaim appends a claim of the key and waits until this entry has applied it.
//
// A Decision without a verdict means that another incarnation owns the key, or that
// its outcome was adopted meanwhile, and that Begin must decide again.
func (cla *Claimer) appendClaim(ctx context.Context, ent *keyEntry) (Decision, *Refusal) {
	bat := cla.addToBatch(ent.key)
	select {
	case <-bat.done:
	case <-ctx.Done():
		return Decision{}, cla.abandonClaim(ent, "the deadline passed before the claim was read back")
	}
	if bat.err != nil {
		return Decision{}, cla.abandonClaim(ent, "the claim could not be appended to the log and read back: "+bat.err.Error())
	}
	return cla.resolveClaim(ent)
}

// abandonClaim removes a key whose claim was not read back; the claim may still be applied later.
func (cla *Claimer) abandonClaim(ent *keyEntry, reason string) *Refusal {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	if !cla.tab.contains(ent) {
		return nil
	}
	cla.stats.AbandonedClaims++
	ref := refuse(KindNotRun, reason)
	ref.ThisSendOnly = true
	cla.tab.abandon(ent, ref)
	return ref
}

// resolveClaim decides on a key after its claim was read back.
func (cla *Claimer) resolveClaim(ent *keyEntry) (Decision, *Refusal) {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	if !cla.tab.contains(ent) {
		return Decision{}, nil
	}
	recorded, claimed := cla.claims.Claim(ent.key.Text)
	if claimed && recorded.Owner != cla.set.Incarnation {
		cla.tab.abandon(ent, nil)
		return Decision{}, nil
	}
	if claimed && !cla.handedOver {
		return cla.startRun(ent).decision, nil
	}
	ref := refuse(KindNotRun, "the log did not accept the claim, or the entry is stopping")
	if !cla.claims.Claimable(ent.key.IssuedMS) {
		ref = refuse(KindExpired, "the key expired before its claim was read back")
	}
	cla.tab.abandon(ent, ref)
	return Decision{}, ref
}

func (cla *Claimer) addToBatch(key Key) *batch {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	bat := cla.pending
	if bat == nil {
		bat = &batch{done: make(chan struct{})}
		cla.pending = bat
		cla.clk.AfterFunc(cla.set.BatchWait, func() { cla.flushBatch(bat) })
	}
	bat.claims = append(bat.claims, recorder.Claim{Key: key.Text, IssuedMS: key.IssuedMS})
	if len(bat.claims) >= cla.set.BatchKeys {
		cla.pending = nil
		go cla.appendBatch(bat)
	}
	return bat
}

func (cla *Claimer) flushBatch(bat *batch) {
	cla.mu.Lock()
	stillPending := cla.pending == bat
	if stillPending {
		cla.pending = nil
	}
	cla.mu.Unlock()
	if stillPending {
		cla.appendBatch(bat)
	}
}

func (cla *Claimer) appendBatch(bat *batch) {
	defer close(bat.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer cla.clk.AfterFunc(cla.set.ReadBackWait, cancel).Stop()
	rec, err := recorder.New(cla.clk.Now(), recorder.KindClaims, cla.set.Incarnation, recorder.Claims{Claims: bat.claims})
	if err != nil {
		bat.err = err
		return
	}
	cla.recordAppend(len(bat.claims))
	if bat.err = cla.appender.Append(ctx, rec); bat.err != nil {
		return
	}
	_, bat.err = cla.claims.WaitApplied(ctx, rec.ID)
}

func (cla *Claimer) recordAppend(claims int) {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	cla.stats.Appends++
	cla.stats.Claims += int64(claims)
}
