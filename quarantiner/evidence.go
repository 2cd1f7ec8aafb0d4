package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// proofTolerance is by how much proofs for the same subject that came from several entries may differ by their time on the way alone.
const proofTolerance = 250 * time.Millisecond

// Crash is one crash of a unit, how long ago it was, and the subjects of the requests that may have caused it.
type Crash struct {
	ID       string
	Age      time.Duration
	Subjects []string
}

// Proof says how long ago a request with a subject began that proved sound.
type Proof struct {
	Subject string
	Age     time.Duration
}

// Evidence is what entries tell each other about crashes. Times are ages, so that it does not depend on the clocks of the entries.
type Evidence struct {
	Crashes []Crash
	Proofs  []Proof
}

// Evidence returns all crashes that count, and the proofs for their subjects.
func (qua *Quarantiner) Evidence() Evidence {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	qua.dropExpired()
	now := qua.clk.Now()
	crashes := map[string]*Crash{}
	var out Evidence
	for _, sub := range slices.Sorted(maps.Keys(qua.observations)) {
		for id, obs := range qua.observations[sub] {
			cra := crashes[id]
			if cra == nil {
				cra = &Crash{ID: id, Age: now.Sub(obs.At)}
				crashes[id] = cra
			}
			cra.Age = max(cra.Age, now.Sub(obs.At))
			cra.Subjects = append(cra.Subjects, sub)
		}
		if at := qua.lastSound(sub); !at.IsZero() {
			out.Proofs = append(out.Proofs, Proof{Subject: sub, Age: now.Sub(at)})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(crashes)) {
		out.Crashes = append(out.Crashes, *crashes[id])
	}
	return out
}

// Apply adds the evidence of another entry.
func (qua *Quarantiner) Apply(evi Evidence) {
	now := qua.clk.Now()
	for _, pro := range evi.Proofs {
		qua.applyProof(pro.Subject, now.Add(-max(0, pro.Age)))
	}
	for _, cra := range evi.Crashes {
		qua.RecordSuspects(cra.Subjects, cra.ID, now.Add(-max(0, cra.Age)))
	}
}

// applyProof takes a proof of another entry unless it is hardly newer than the known one.
func (qua *Quarantiner) applyProof(sub string, at time.Time) {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	if at.Sub(qua.lastSound(sub)) > proofTolerance {
		qua.clear(sub, at)
	}
}

// Digest returns a hash of the crashes that count and their subjects; entries with the same digest have nothing to tell each other.
func (qua *Quarantiner) Digest() uint64 {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	qua.dropExpired()
	var sum uint64
	for sub, byCrash := range qua.observations {
		for id := range byCrash {
			sum ^= xxhash.Sum64String(sub + "/" + id)
		}
	}
	return sum
}

// Uncleared returns those of the subjects that a proof of the given time would clear, with the time of the last crash that it would clear them of.
func (qua *Quarantiner) Uncleared(subs []string, at time.Time) map[string]time.Time {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	out := map[string]time.Time{}
	for _, sub := range subs {
		for _, obs := range qua.observations[sub] {
			if !obs.Cleared && !obs.At.After(at) && obs.At.After(out[sub]) && !qua.expired(obs) {
				out[sub] = obs.At
			}
		}
	}
	return out
}

// Proofs returns the proofs for subjects that requests of this entry gave. Those of other entries would seem newer with each entry that passes them on, by the time on the way.
func (qua *Quarantiner) Proofs(subs []string) []Proof {
	qua.mu.Lock()
	defer qua.mu.Unlock()
	var out []Proof
	for _, sub := range subs {
		if at := qua.ownHistory(sub).last(sub); !at.IsZero() {
			out = append(out, Proof{Subject: sub, Age: qua.clk.Since(at)})
		}
	}
	slices.SortFunc(out, func(one, two Proof) int { return cmp.Compare(one.Subject, two.Subject) })
	return out
}
