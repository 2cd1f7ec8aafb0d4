package gossiper

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// markBytes is the size of a mark; two facts share one with a chance of 2 to the power of -64.
const markBytes = 8

// recalled is how many marks that an asker named are kept.
const recalled = 512

// mark names a fact as it is, with its origin and Seq.
type mark [markBytes]byte

func markOf(fac Fact) mark {
	dig := xxhash.New()
	_, _ = dig.WriteString(fac.Subject)
	_, _ = dig.WriteString("\x00" + fac.Origin)
	var seq [8]byte
	binary.BigEndian.PutUint64(seq[:], fac.Seq)
	_, _ = dig.Write(seq[:])
	var mar mark
	binary.BigEndian.PutUint64(mar[:], dig.Sum64())
	return mar
}

// names reports whether a list of marks holds one.
func names(list []byte, mar mark) bool {
	for at := 0; at+markBytes <= len(list); at += markBytes {
		if mark(list[at:at+markBytes]) == mar {
			return true
		}
	}
	return false
}

// recall returns what an asker named lately, with what it names now.
func (gos *Gossiper) recall(req Request) []byte {
	if len(req.Held) == 0 && !req.Relay {
		return nil
	}
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	all := slices.Concat(gos.named[req.From], req.Held)
	gos.named[req.From] = slices.Clone(all[max(0, len(all)-recalled*markBytes):])
	return all
}

// held returns the marks of the facts that came from others than a peer after a version, and the newest version.
func (gos *Gossiper) held(version uint64, peer string) ([]byte, uint64) {
	gos.mtx.Lock()
	defer gos.mtx.Unlock()
	var out []byte
	for _, fac := range gos.after(version) {
		if fac.from != peer && fac.Origin != gos.self {
			out = append(out, fac.mark[:]...)
		}
	}
	return out, gos.version
}
