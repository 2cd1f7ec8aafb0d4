package heartbeater

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/quarantiner"
)

const (
	// evidenceVersion is the first byte of the datagrams that carry evidence about crashes; entries of earlier versions ignore them.
	evidenceVersion = 3
	// crashItem and proofItem are the first bytes of the items of such a datagram.
	crashItem = 1
	proofItem = 2
	// maxNameBytes bounds the IDs of crashes and subjects, so that each item fits into a datagram.
	maxNameBytes = 200
)

// EncodeEvidence returns evidence as datagrams of at most one packet each; names that are too long are omitted.
func EncodeEvidence(evi quarantiner.Evidence) [][]byte {
	var out [][]byte
	add := func(item []byte) {
		if last := len(out) - 1; last >= 0 && len(out[last])+len(item) <= maxDatagramBytes {
			out[last] = append(out[last], item...)
			return
		}
		out = append(out, append([]byte{evidenceVersion}, item...))
	}
	for _, cra := range evi.Crashes {
		for _, sub := range cra.Subjects {
			if len(cra.ID) <= maxNameBytes && len(sub) <= maxNameBytes {
				add(appendName(appendName(appendAge([]byte{crashItem}, cra.Age), cra.ID), sub))
			}
		}
	}
	for _, pro := range evi.Proofs {
		if len(pro.Subject) <= maxNameBytes {
			add(appendName(appendAge([]byte{proofItem}, pro.Age), pro.Subject))
		}
	}
	return out
}

func appendAge(out []byte, age time.Duration) []byte {
	return binary.AppendUvarint(out, uint64(max(0, age.Microseconds())))
}

func appendName(out []byte, name string) []byte {
	return append(binary.AppendUvarint(out, uint64(len(name))), name...)
}

// DecodeEvidence parses a datagram with evidence; it fails with errors.NotValid.
func DecodeEvidence(data []byte) (quarantiner.Evidence, error) {
	rea := reader{data: data}
	if rea.readByte() != evidenceVersion {
		return quarantiner.Evidence{}, errors.NotValidf("heartbeater: version of evidence")
	}
	var evi quarantiner.Evidence
	for len(rea.data) > 0 && !rea.malformed {
		kind, age := rea.readByte(), rea.readAge()
		switch kind {
		case crashItem:
			evi.Crashes = append(evi.Crashes, quarantiner.Crash{Age: age, ID: rea.readName(), Subjects: []string{rea.readName()}})
		case proofItem:
			evi.Proofs = append(evi.Proofs, quarantiner.Proof{Age: age, Subject: rea.readName()})
		default:
			rea.malformed = true
		}
	}
	if rea.malformed {
		return quarantiner.Evidence{}, errors.NotValidf("heartbeater: evidence of %d bytes", len(data))
	}
	return evi, nil
}

func (rea *reader) readAge() time.Duration {
	return time.Duration(min(rea.readUvarint(), math.MaxInt64/uint64(time.Microsecond))) * time.Microsecond
}

func (rea *reader) readName() string {
	return string(rea.readBytes(int(min(rea.readUvarint(), maxNameBytes+1))))
}
