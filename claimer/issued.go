package claimer

import "time"

// origin is an incarnation whose issued keys this one answers for; its times are on the local clock.
type origin struct {
	start     time.Time
	window    time.Duration
	adopted   bool
	adoptedAt time.Time
}

// windowAt returns the number of the window at a time.
func (ori origin) windowAt(now time.Time) int64 {
	return int64(now.Sub(ori.start) / ori.window)
}

func (cla *Claimer) decideIssuedKey(key Key, fpr string) (stepResult, *Refusal) {
	ori, found := cla.origins[key.Incarnation]
	if !found {
		return cla.decideRemoteKey(key.Incarnation)
	}
	now := ori.windowAt(cla.clk.Now())
	if key.Window <= now-RunnableWindows {
		return stepResult{}, refuse(KindExpired, "the key's window has passed")
	}
	if key.Incarnation != cla.set.Incarnation {
		return stepResult{}, refuse(KindNotRun, "the entry that issued the key has stopped")
	}
	if key.Window > now || key.Name != cla.set.Name {
		return stepResult{}, refuse(KindInvalid, "the key's prefix is not one that was issued")
	}
	ent, ref := cla.addKey(key, fpr)
	if ref != nil {
		return stepResult{}, ref
	}
	return cla.startRun(ent), nil
}

func (cla *Claimer) startRun(ent *keyEntry) stepResult {
	cla.tab.markRunning(ent)
	return stepResult{decision: Decision{Verdict: VerdictRun}}
}
