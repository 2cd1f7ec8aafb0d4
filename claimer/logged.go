package claimer

import (
	"context"

	"github.com/lovagelever/lovagelever/recorder"
)

// batch is a record of claims that is collected, appended and read back.
type batch struct {
	claims []recorder.Claim
	done   chan struct{}
	err    error
}

func (cla *Claimer) stepLogged(key Key, fpr string) (step, *Refusal) {
	if !cla.fol.Claimable(key.IssuedMS) {
		return step{}, refuse(KindExpired, "the key was made outside the window of keys that are run")
	}
	fold, claimed := cla.fol.Claim(key.Text)
	if claimed && fold.Owner != cla.set.Incarnation {
		return cla.elsewhere(fold.Owner)
	}
	ent, ref := cla.admit(key, fpr)
	if ref != nil {
		ref.ThisSendOnly = !claimed
		return step{}, ref
	}
	if claimed {
		return cla.start(ent), nil
	}
	return step{claim: ent}, nil
}

// claim waits until the fold has passed the key's claim; no verdict means that another incarnation owns the key, or that its outcome was adopted.
func (cla *Claimer) claim(ctx context.Context, ent *entry) (Decision, *Refusal) {
	bat := cla.join(ent.key)
	select {
	case <-bat.done:
	case <-ctx.Done():
		return Decision{}, cla.giveUp(ent, "the deadline passed before the claim was read back")
	}
	if bat.err != nil {
		return Decision{}, cla.giveUp(ent, "the log does not take claims: "+bat.err.Error())
	}
	return cla.settle(ent)
}

func (cla *Claimer) giveUp(ent *entry, reason string) *Refusal {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	if !cla.tab.holds(ent) {
		return nil
	}
	cla.stats.GivenUp++
	ref := refuse(KindNotRun, reason)
	ref.ThisSendOnly = true
	cla.tab.giveUp(ent, ref)
	return ref
}

func (cla *Claimer) settle(ent *entry) (Decision, *Refusal) {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	if !cla.tab.holds(ent) {
		return Decision{}, nil
	}
	fold, claimed := cla.fol.Claim(ent.key.Text)
	if claimed && fold.Owner != cla.set.Incarnation {
		cla.tab.giveUp(ent, nil)
		return Decision{}, nil
	}
	if claimed && !cla.handed {
		return cla.start(ent).dec, nil
	}
	ref := refuse(KindNotRun, "the claim is void")
	if !cla.fol.Claimable(ent.key.IssuedMS) {
		ref = refuse(KindExpired, "the key became too old before its claim was read back")
	}
	cla.tab.giveUp(ent, ref)
	return Decision{}, ref
}

func (cla *Claimer) join(key Key) *batch {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	bat := cla.pending
	if bat == nil {
		bat = &batch{done: make(chan struct{})}
		cla.pending = bat
		cla.clk.AfterFunc(cla.set.BatchWait, func() { cla.flush(bat) })
	}
	bat.claims = append(bat.claims, recorder.Claim{Key: key.Text, IssuedMS: key.IssuedMS})
	if len(bat.claims) >= cla.set.BatchKeys {
		cla.pending = nil
		go cla.send(bat)
	}
	return bat
}

func (cla *Claimer) flush(bat *batch) {
	cla.mu.Lock()
	open := cla.pending == bat
	if open {
		cla.pending = nil
	}
	cla.mu.Unlock()
	if open {
		cla.send(bat)
	}
}

func (cla *Claimer) send(bat *batch) {
	defer close(bat.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer cla.clk.AfterFunc(cla.set.ReadBackWait, cancel).Stop()
	rec, err := recorder.New(cla.clk.Now(), recorder.KindClaims, cla.set.Incarnation, recorder.Claims{Claims: bat.claims})
	if err != nil {
		bat.err = err
		return
	}
	cla.count(len(bat.claims))
	if bat.err = cla.app.Append(ctx, rec); bat.err != nil {
		return
	}
	_, bat.err = cla.fol.WaitFolded(ctx, rec.ID)
}

func (cla *Claimer) count(claims int) {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	cla.stats.Appends++
	cla.stats.Claims += int64(claims)
}
