package gossiper

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fingerprintBytes is the size of a fingerprint; two facts collide with a probability of 2^-64.
const fingerprintBytes = 8

// maxRemembered is how many of the fingerprints that a requester has sent are kept.
const maxRemembered = 512

// fingerprint is a hash of the subject, origin and Seq of a fact.
type fingerprint [fingerprintBytes]byte

func fingerprintOf(fac Fact) fingerprint {
	dig := xxhash.New()
	_, _ = dig.WriteString(fac.Subject)
	_, _ = dig.WriteString("\x00" + fac.Origin)
	var seq [8]byte
	binary.BigEndian.PutUint64(seq[:], fac.Seq)
	_, _ = dig.Write(seq[:])
	var fpr fingerprint
	binary.BigEndian.PutUint64(fpr[:], dig.Sum64())
	return fpr
}

// containsFingerprint reports whether a list of concatenated fingerprints contains one.
func containsFingerprint(list []byte, fpr fingerprint) bool {
	for at := 0; at+fingerprintBytes <= len(list); at += fingerprintBytes {
		if fingerprint(list[at:at+fingerprintBytes]) == fpr {
			return true
		}
	}
	return false
}

// remember adds the fingerprints in a request to those kept for the requester, and returns all of them.
func (gos *Gossiper) remember(req Request) []byte {
	if len(req.Held) == 0 && !req.Relay {
		return nil
	}
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	all := slices.Concat(gos.remembered[req.From], req.Held)
	gos.remembered[req.From] = slices.Clone(all[max(0, len(all)-maxRemembered*fingerprintBytes):])
	return all
}

// fingerprintsAfter returns the fingerprints of the facts stored after a version that came neither from this entry
// nor from the peer, and the newest version.
func (gos *Gossiper) fingerprintsAfter(version uint64, peer string) ([]byte, uint64) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	var out []byte
	for _, fac := range gos.factsAfter(version) {
		if fac.sender != peer && fac.Origin != gos.self {
			out = append(out, fac.fingerprint[:]...)
		}
	}
	return out, gos.version
}
