package claimer

import "time"

// origin is an incarnation whose keys this one answers for, on the clock of this one.
type origin struct {
	start   time.Time
	window  time.Duration
	adopted bool
	since   time.Time
}

func (ori origin) at(now time.Time) int64 {
	return int64(now.Sub(ori.start) / ori.window)
}

func (cla *Claimer) stepIssued(key Key, fpr string) (step, *Refusal) {
	ori, here := cla.origins[key.Incarnation]
	if !here {
		return cla.elsewhere(key.Incarnation)
	}
	now := ori.at(cla.clk.Now())
	if key.Window <= now-WindowsRun {
		return step{}, refuse(KindExpired, "the key's window has passed")
	}
	if key.Incarnation != cla.set.Incarnation {
		return step{}, refuse(KindNotRun, "the entry that issued the key has stopped")
	}
	if key.Window > now || key.Name != cla.set.Name {
		return step{}, refuse(KindInvalid, "the key's prefix is not one that was issued")
	}
	ent, ref := cla.admit(key, fpr)
	if ref != nil {
		return step{}, ref
	}
	return cla.start(ent), nil
}

func (cla *Claimer) start(ent *entry) step {
	cla.tab.run(ent)
	return step{dec: Decision{Verdict: VerdictRun}}
}
