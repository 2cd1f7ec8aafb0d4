package claimer

import "time"

// Table is the serializable state that a stopping incarnation hands over to its successor.
type Table struct {
	Origins  []Origin
	Outcomes []KeyOutcome
}

// Origin describes an incarnation that has stopped running calls: Age is the time since its window 0 began, Window the length of a window.
type Origin struct {
	Incarnation string
	Age         time.Duration
	Window      time.Duration
}

// KeyOutcome holds the outcome of a key and the fingerprint of its request.
type KeyOutcome struct {
	Key         string
	Fingerprint string
	Outcome     Outcome
}

// Handover returns the table for a successor and stops this incarnation from running new calls; calls that are still running are exported as StateUnknown.
func (cla *Claimer) Handover() Table {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	cla.handedOver = true
	now := cla.clk.Now()
	var tab Table
	for inc, ori := range cla.origins {
		tab.Origins = append(tab.Origins, Origin{Incarnation: inc, Age: now.Sub(ori.start), Window: ori.window})
	}
	for _, ent := range cla.tab.entries {
		if ent.out.State == StateClaiming {
			continue
		}
		out := ent.out
		if out.State == StateRunning {
			out = Outcome{State: StateUnknown}
		}
		tab.Outcomes = append(tab.Outcomes, KeyOutcome{Key: ent.key.Text, Fingerprint: ent.fingerprint, Outcome: out})
	}
	return tab
}

// Adopt merges the table of a stopped incarnation, even beyond MaxKeys and MaxBytes; it returns a Refusal once this incarnation has handed over its own table.
func (cla *Claimer) Adopt(tab Table) error {
	keys := make([]Key, 0, len(tab.Outcomes))
	for _, out := range tab.Outcomes {
		key, err := ParseKey(out.Key)
		if err != nil {
			return err
		}
		keys = append(keys, key)
	}
	cla.mu.Lock()
	defer cla.mu.Unlock()
	if cla.handedOver {
		return refuse(KindNotRun, "the entry is stopping")
	}
	for _, ori := range tab.Origins {
		cla.adoptOrigin(ori)
	}
	for pos, out := range tab.Outcomes {
		cla.adoptOutcome(keys[pos], out)
	}
	return nil
}

func (cla *Claimer) adoptOrigin(ori Origin) {
	if _, known := cla.origins[ori.Incarnation]; known || ori.Window <= 0 {
		return
	}
	now := cla.clk.Now()
	cla.origins[ori.Incarnation] = origin{start: now.Add(-ori.Age), window: ori.Window, adopted: true, adoptedAt: now}
}

func (cla *Claimer) adoptOutcome(key Key, out KeyOutcome) {
	own, known := cla.tab.entries[key.Text]
	if known && own.out.State != StateClaiming {
		return
	}
	if known {
		cla.tab.abandon(own, nil)
	}
	ent := &keyEntry{key: key, fingerprint: out.Fingerprint, settled: make(chan struct{}), adoptedAt: cla.clk.Now()}
	cla.tab.entries[key.Text] = ent
	cla.tab.finish(ent, out.Outcome)
}
