package heartbeater

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/estimator"
	"github.com/lovagelever/lovagelever/sharer"
)

const (
	// totalsVersion is the first byte of the datagrams that carry totals for entries of earlier versions, workTotalsVersion that of totals with the work in tokens; those of heartbeats begin with heartbeatVersion.
	totalsVersion     = 2
	workTotalsVersion = 5
	// unitBytes is the size of a unit in a datagram with totals: the hash, and a count in at most three bytes.
	unitBytes = 7
)

// Totals is the load that an entry has summed up for another one: the work that all entries but the receiver have on each unit. Units are identified by the lower half of their hashes.
type Totals struct {
	Name        string
	Incarnation uint64
	Seq         uint64
	// Running is the number of requests on each unit.
	Running map[uint32]int
	// Work is the work on the units. In a datagram that is too small for all, these are other units each time.
	Work map[uint32]estimator.Work
	// Silent lists the entries from which the sender has heard nothing for a while, by the lower half of the hashes of their names.
	Silent []uint32
	// Limits are the limits of workspaces that follow from the use of all entries.
	Limits []sharer.Limit
	// RequestsOnly says that the receiver is of a version that does not know of work in tokens.
	RequestsOnly bool
}

// EncodeTotals returns the wire format of totals; units that do not fit into one packet are omitted.
func EncodeTotals(tot Totals) []byte {
	out := []byte{workTotalsVersion}
	if tot.RequestsOnly {
		out[0] = totalsVersion
	}
	out = binary.AppendUvarint(out, uint64(len(tot.Name)))
	out = append(out, tot.Name...)
	out = binary.BigEndian.AppendUint64(out, tot.Incarnation)
	out = binary.AppendUvarint(out, tot.Seq)
	out = binary.AppendUvarint(out, uint64(len(tot.Silent)))
	for _, name := range tot.Silent {
		out = binary.BigEndian.AppendUint32(out, name)
	}
	if !tot.RequestsOnly {
		out = appendLimits(out, tot.Limits)
	}
	units := make([]uint32, 0, len(tot.Running))
	for uni := range tot.Running {
		units = append(units, uni)
	}
	slices.Sort(units)
	units = units[:max(0, min(len(units), (maxDatagramBytes-len(out)-2)/unitBytes))]
	out = binary.AppendUvarint(out, uint64(len(units)))
	for _, uni := range units {
		out = binary.BigEndian.AppendUint32(out, uni)
		out = binary.AppendUvarint(out, uint64(min(max(0, tot.Running[uni]), maxRunning)))
	}
	if tot.RequestsOnly {
		return out
	}
	return appendTotalWork(out, tot, units)
}

// appendTotalWork appends the work on as many units as there is room for. The position of the first one moves on with each datagram, so that the receiver gets the work on all units in turn.
func appendTotalWork(out []byte, tot Totals, units []uint32) []byte {
	const positionBytes, lengthBytes = 2, 2
	num := max(0, min(len(units), (maxDatagramBytes-len(out)-positionBytes-lengthBytes)/workBytes))
	first := 0
	if num < len(units) {
		first = int(tot.Seq * uint64(num) % uint64(len(units)))
	}
	out = binary.AppendUvarint(out, uint64(first))
	out = binary.AppendUvarint(out, uint64(num))
	for pos := range num {
		wor := tot.Work[units[(first+pos)%len(units)]]
		out = binary.AppendUvarint(out, quanta(wor.Unread, unreadQuantum))
		out = binary.AppendUvarint(out, quanta(wor.Committed, committedQuantum))
	}
	return out
}

// DecodeTotals parses totals; it fails with errors.NotValid.
func DecodeTotals(data []byte) (Totals, error) {
	rea := reader{data: data}
	version := rea.readByte()
	if version != totalsVersion && version != workTotalsVersion {
		return Totals{}, errors.NotValidf("heartbeater: version of totals")
	}
	tot := Totals{Running: map[uint32]int{}, Work: map[uint32]estimator.Work{}, RequestsOnly: version == totalsVersion}
	tot.Name = string(rea.readBytes(int(min(rea.readUvarint(), math.MaxInt32))))
	tot.Incarnation = rea.readUint64()
	tot.Seq = rea.readUvarint()
	for num := rea.readUvarint(); num > 0 && !rea.malformed; num-- {
		tot.Silent = append(tot.Silent, rea.readUint32())
	}
	if !tot.RequestsOnly {
		tot.Limits = rea.readShareLimits()
	}
	var units []uint32
	for num := rea.readUvarint(); num > 0 && !rea.malformed; num-- {
		uni := rea.readUint32()
		tot.Running[uni] = int(min(rea.readUvarint(), maxRunning))
		units = append(units, uni)
	}
	if !tot.RequestsOnly {
		rea.readTotalWork(tot, units)
	}
	if rea.malformed || len(rea.data) > 0 || tot.Name == "" {
		return Totals{}, errors.NotValidf("heartbeater: totals of %d bytes", len(data))
	}
	return tot, nil
}

func (rea *reader) readTotalWork(tot Totals, units []uint32) {
	first, num := rea.readUvarint(), rea.readUvarint()
	if num > uint64(len(units)) || len(units) > 0 && first >= uint64(len(units)) {
		rea.malformed = true
		return
	}
	for pos := range num {
		uni := units[(first+pos)%uint64(len(units))]
		wor := estimator.Work{Requests: tot.Running[uni]}
		wor.Unread = tokens(rea.readUvarint(), unreadQuantum)
		wor.Committed = tokens(rea.readUvarint(), committedQuantum)
		tot.Work[uni] = wor
	}
}
