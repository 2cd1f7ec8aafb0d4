package claimer

import "time"

// entryOverhead is the size in bytes counted for each key besides its text, fingerprint and outcome.
const entryOverhead = 512

// keyEntry is the state of one key; settled is closed when the call finished or was refused.
type keyEntry struct {
	key          Key
	fingerprint  string
	out          Outcome
	size         int
	runs         int
	refusal      *Refusal
	settled      chan struct{}
	wasClaimable bool
	adoptedAt    time.Time
}

// table holds the keys that are being claimed, running or finished, and bounds their number and size in bytes.
type table struct {
	entries        map[string]*keyEntry
	bytes          int
	maxKeys        int
	maxBytes       int
	outcomeReserve int
}

// add inserts a key and reserves space for its outcome; it returns nil when the table is full.
func (tab *table) add(key Key, fpr string) *keyEntry {
	size := entryOverhead + len(key.Text) + len(fpr) + tab.outcomeReserve
	if len(tab.entries) >= tab.maxKeys || tab.bytes+size > tab.maxBytes {
		return nil
	}
	ent := &keyEntry{key: key, fingerprint: fpr, size: size, settled: make(chan struct{})}
	ent.out.State = StateClaiming
	tab.entries[key.Text] = ent
	tab.bytes += size
	return ent
}

func (tab *table) contains(ent *keyEntry) bool {
	return tab.entries[ent.key.Text] == ent
}

func (tab *table) remove(ent *keyEntry) {
	delete(tab.entries, ent.key.Text)
	tab.bytes -= ent.size
}

// markRunning sets a key to StateRunning; it panics when the key has run before.
func (tab *table) markRunning(ent *keyEntry) {
	if !tab.contains(ent) || ent.out.State != StateClaiming || ent.runs != 0 {
		panic("claimer: a key would run twice")
	}
	ent.runs++
	ent.out.State = StateRunning
}

func (tab *table) finish(ent *keyEntry, out Outcome) {
	out = out.limitedTo(tab.outcomeReserve)
	size := entryOverhead + len(ent.key.Text) + len(ent.fingerprint) + out.size()
	tab.bytes += size - ent.size
	ent.size = size
	ent.out = out
	close(ent.settled)
}

// abandon removes a key and wakes the sends that wait for it; they decide again when ref is nil.
func (tab *table) abandon(ent *keyEntry, ref *Refusal) {
	tab.remove(ent)
	ent.refusal = ref
	close(ent.settled)
}
