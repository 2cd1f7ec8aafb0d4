package claimer

import "time"

// Table is what a stopping incarnation knows about keys, in a form that can be sent.
type Table struct {
	Origins  []Origin
	Outcomes []KeyOutcome
}

// Origin is an incarnation that runs nothing any more, with the age and length of its windows.
type Origin struct {
	Incarnation string
	Age         time.Duration
	Window      time.Duration
}

// KeyOutcome is the outcome of a key and the fingerprint of its request.
type KeyOutcome struct {
	Key         string
	Fingerprint string
	Outcome     Outcome
}

// Handover returns the table for a successor; from then on this incarnation begins no call, and calls still running are exported as unknown.
func (cla *Claimer) Handover() Table {
	cla.mu.Lock()
	defer cla.mu.Unlock()
	cla.handed = true
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

// Adopt takes in the table of an incarnation that stopped; it may pass the limits of the own table, and fails with a Refusal once the own table was handed over.
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
	if cla.handed {
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
	cla.origins[ori.Incarnation] = origin{start: now.Add(-ori.Age), window: ori.Window, adopted: true, since: now}
}

func (cla *Claimer) adoptOutcome(key Key, out KeyOutcome) {
	own, known := cla.tab.entries[key.Text]
	if known && own.out.State != StateClaiming {
		return
	}
	if known {
		cla.tab.giveUp(own, nil)
	}
	ent := &entry{key: key, fingerprint: out.Fingerprint, settled: make(chan struct{}), adopted: cla.clk.Now()}
	cla.tab.entries[key.Text] = ent
	cla.tab.finish(ent, out.Outcome)
}
