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
	heartbeatVersion = 1
	// maxDatagramBytes keeps a datagram within one packet.
	maxDatagramBytes = 1400
	// aliveBit is the lowest bit of a unit's value; the number of requests is in the bits above it.
	aliveBit = 1
	// stoppingFlag, freshFlag, leadsFlag, silentFlag and workFlag are bits of the second byte.
	stoppingFlag = 1
	freshFlag    = 2
	leadsFlag    = 4
	silentFlag   = 8
	workFlag     = 16
)

// Heartbeat is the heartbeat that an entry sends to the others; units and server instances are identified by hashes to save bytes.
type Heartbeat struct {
	Name        string
	Incarnation uint64
	Seq         uint64
	Stopping    bool
	// Fresh says that the entry reads the store and is up to date with it; TopicEnds are the offsets up to which it has read
	// the topics that all entries follow.
	Fresh     bool
	TopicEnds []int64
	// Leads says that the entry is the leader.
	Leads bool
	// Silent identifies the services of which no backend server answers the entry.
	Silent []uint64
	// Running is the work that the entry has on each unit.
	Running map[uint64]estimator.Work
	// Alive contains the units in Running that have responded to the entry recently.
	Alive map[uint64]bool
	// Suspects identifies the instances of backend servers that do not answer the entry.
	Suspects []uint64
	// ExchangesWork says that the entry sends and reads work in tokens, other than those of earlier versions.
	ExchangesWork bool
	// Demand is what the callers of the entry ask for, with one element for each pool.
	Demand []Demand
	// Uses is the use of the workspaces at the entry in classes that are short of room.
	Uses []sharer.Use
}

// Encode returns the wire format of a heartbeat; items that do not fit into one packet are omitted.
func Encode(bea Heartbeat) []byte {
	out := []byte{heartbeatVersion, 0}
	if bea.Stopping {
		out[1] |= stoppingFlag
	}
	if bea.Fresh {
		out[1] |= freshFlag
	}
	if bea.Leads {
		out[1] |= leadsFlag
	}
	silent := bea.Silent[:min(len(bea.Silent), maxSilentServices)]
	if len(silent) > 0 {
		out[1] |= silentFlag
	}
	if bea.ExchangesWork {
		out[1] |= workFlag
	}
	out = binary.AppendUvarint(out, uint64(len(bea.Name)))
	out = append(out, bea.Name...)
	out = binary.BigEndian.AppendUint64(out, bea.Incarnation)
	out = binary.AppendUvarint(out, bea.Seq)
	out, units := appendCounts(out, bea, silent)
	out = binary.AppendUvarint(out, uint64(len(units)))
	for _, uni := range units {
		out = binary.BigEndian.AppendUint64(out, uni)
		out = binary.AppendUvarint(out, requestsValue(bea, uni))
	}
	return out
}

// requestsValue returns the number of requests on a unit with the bit that says whether it has responded.
func requestsValue(bea Heartbeat, uni uint64) uint64 {
	val := uint64(max(0, bea.Running[uni].Requests)) << 1
	if bea.Alive[uni] {
		val |= aliveBit
	}
	return val
}

// fittingUnits returns the units that a number of bytes has room for, those with the most work first.
func fittingUnits(bea Heartbeat, room int) []uint64 {
	const hashBytes = 8
	units := busiestFirst(bea.Running)
	for num, uni := range units {
		sizes := fields{requestsValue(bea, uni)}
		if bea.ExchangesWork {
			sizes.addTokens(bea.Running[uni])
		}
		if room -= hashBytes + sizes.bytes(); room < 0 {
			return units[:num]
		}
	}
	return units
}

// appendCounts appends the end offsets, with the fields that entries of earlier versions do not know after them, and the suspects. It returns the units that the rest of the datagram has room for.
func appendCounts(out []byte, bea Heartbeat, silent []uint64) ([]byte, []uint64) {
	const suspectBytes, lengthBytes = 8, 2
	var ends, more fields
	for _, end := range bea.TopicEnds {
		ends = append(ends, uint64(max(0, end)))
	}
	more.addDemands(bea.Demand)
	more.addUses(bea.Uses)
	// Each of the four lists has its length, and the fields have it twice.
	room := maxDatagramBytes - len(out) - ends.bytes() - more.bytes() - 5*lengthBytes
	// Entries of earlier versions take the services among the suspects for servers that they do not know.
	suspects := bea.Suspects[:max(0, min(len(bea.Suspects), room/2/suspectBytes-len(silent)-1))]
	if len(silent) > 0 {
		suspects = slices.Concat([]uint64{uint64(len(silent))}, silent, suspects)
	}
	room -= len(suspects) * suspectBytes
	units := fittingUnits(bea, room)
	if bea.ExchangesWork {
		more.addWork(bea.Running, units)
		ends = slices.Concat(ends, more, fields{uint64(len(more))})
	}
	out = binary.AppendUvarint(out, uint64(len(ends)))
	for _, val := range ends {
		out = binary.AppendUvarint(out, val)
	}
	out = binary.AppendUvarint(out, uint64(len(suspects)))
	for _, server := range suspects {
		out = binary.BigEndian.AppendUint64(out, server)
	}
	return out, units
}

// Decode parses a heartbeat; it fails with errors.NotValid.
func Decode(data []byte) (Heartbeat, error) {
	rea := reader{data: data}
	if rea.readByte() != heartbeatVersion {
		return Heartbeat{}, errors.NotValidf("heartbeater: heartbeat version")
	}
	flags := rea.readByte()
	bea := Heartbeat{Stopping: flags&stoppingFlag != 0, Fresh: flags&freshFlag != 0, Leads: flags&leadsFlag != 0, ExchangesWork: flags&workFlag != 0}
	bea.Name = string(rea.readBytes(int(rea.readUvarint())))
	bea.Incarnation = rea.readUint64()
	bea.Seq = rea.readUvarint()
	ends, more := rea.readEnds(bea.ExchangesWork)
	bea.TopicEnds = ends
	bea.Demand = more.demands()
	bea.Uses = more.uses()
	work := more.work()
	for num := rea.readUvarint(); num > 0 && !rea.malformed; num-- {
		bea.Suspects = append(bea.Suspects, rea.readUint64())
	}
	if flags&silentFlag != 0 && len(bea.Suspects) > 0 {
		num := min(bea.Suspects[0], uint64(len(bea.Suspects)-1))
		bea.Silent, bea.Suspects = bea.Suspects[1:1+num], bea.Suspects[1+num:]
	}
	bea.Running, bea.Alive = map[uint64]estimator.Work{}, map[uint64]bool{}
	for num := rea.readUvarint(); num > 0 && !rea.malformed; num-- {
		uni := rea.readUint64()
		val := rea.readUvarint()
		var wor estimator.Work
		if len(work) > 0 {
			wor, work = work[0], work[1:]
		}
		wor.Requests = int(min(val>>1, maxRunning))
		bea.Running[uni] = wor
		if val&aliveBit != 0 {
			bea.Alive[uni] = true
		}
	}
	if rea.malformed || len(rea.data) > 0 || bea.Name == "" {
		return Heartbeat{}, errors.NotValidf("heartbeater: heartbeat of %d bytes", len(data))
	}
	return bea, nil
}

// readEnds reads the end offsets and, if there are any, the fields after them, whose number is the last value of the list.
func (rea *reader) readEnds(extended bool) (ends []int64, more fields) {
	var list fields
	for num := rea.readUvarint(); num > 0 && !rea.malformed; num-- {
		list = append(list, rea.readUvarint())
	}
	if extended && len(list) > 0 {
		last := len(list) - 1
		num := int(min(list[last], uint64(last)))
		list, more = list[:last-num], list[last-num:last]
	}
	for _, end := range list {
		ends = append(ends, int64(min(end, math.MaxInt64)))
	}
	return ends, more
}

// maxSilentServices bounds the services that a heartbeat names.
const maxSilentServices = 16

// maxRunning bounds the number of requests that one entry can report for a unit, so that a damaged datagram does not
// exclude a unit for long.
const maxRunning = 1 << 16

// reader parses the fields of a datagram and records whether it is malformed.
type reader struct {
	data      []byte
	malformed bool
}

func (rea *reader) readBytes(num int) []byte {
	if rea.malformed || num < 0 || num > len(rea.data) {
		rea.malformed = true
		return nil
	}
	out := rea.data[:num]
	rea.data = rea.data[num:]
	return out
}

func (rea *reader) readByte() byte {
	one := rea.readBytes(1)
	if one == nil {
		return 0
	}
	return one[0]
}

func (rea *reader) readUint64() uint64 {
	const size = 8
	one := rea.readBytes(size)
	if one == nil {
		return 0
	}
	return binary.BigEndian.Uint64(one)
}

func (rea *reader) readUint32() uint32 {
	const size = 4
	one := rea.readBytes(size)
	if one == nil {
		return 0
	}
	return binary.BigEndian.Uint32(one)
}

func (rea *reader) readUvarint() uint64 {
	val, num := binary.Uvarint(rea.data)
	if rea.malformed || num <= 0 {
		rea.malformed = true
		return 0
	}
	rea.data = rea.data[num:]
	return val
}
