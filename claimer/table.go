package claimer

import "time"

const entryOverhead = 512

type entry struct {
	key         Key
	fingerprint string
	out         Outcome
	size        int
	runs        int
	refusal     *Refusal
	settled     chan struct{}
	claimable   bool
	adopted     time.Time
}

// table keeps the keys that are claimed, running or ended.
type table struct {
	entries  map[string]*entry
	bytes    int
	maxKeys  int
	maxBytes int
	reserve  int
}

// add takes a key in with room for its outcome; it returns nil when the table is full.
func (tab *table) add(key Key, fpr string) *entry {
	size := entryOverhead + len(key.Text) + len(fpr) + tab.reserve
	if len(tab.entries) >= tab.maxKeys || tab.bytes+size > tab.maxBytes {
		return nil
	}
	ent := &entry{key: key, fingerprint: fpr, size: size, settled: make(chan struct{})}
	ent.out.State = StateClaiming
	tab.entries[key.Text] = ent
	tab.bytes += size
	return ent
}

func (tab *table) holds(ent *entry) bool {
	return tab.entries[ent.key.Text] == ent
}

func (tab *table) remove(ent *entry) {
	delete(tab.entries, ent.key.Text)
	tab.bytes -= ent.size
}

// run moves a key to running, which it does at most once.
func (tab *table) run(ent *entry) {
	if !tab.holds(ent) || ent.out.State != StateClaiming || ent.runs != 0 {
		panic("claimer: a key would run twice")
	}
	ent.runs++
	ent.out.State = StateRunning
}

func (tab *table) finish(ent *entry, out Outcome) {
	out = out.bounded(tab.reserve)
	size := entryOverhead + len(ent.key.Text) + len(ent.fingerprint) + out.size()
	tab.bytes += size - ent.size
	ent.size = size
	ent.out = out
	close(ent.settled)
}

func (tab *table) giveUp(ent *entry, ref *Refusal) {
	tab.remove(ent)
	ent.refusal = ref
	close(ent.settled)
}
