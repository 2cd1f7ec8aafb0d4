package heartbeater

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/juju/errors"
)

const (
	heartbeatVersion = 1
	// maxDatagramBytes keeps a datagram within one packet.
	maxDatagramBytes = 1400
	// aliveBit is the lowest bit of a unit's value; the number of requests is in the bits above it.
	aliveBit = 1
	// stoppingFlag, freshFlag, leadsFlag and silentFlag are bits of the second byte.
	stoppingFlag = 1
	freshFlag    = 2
	leadsFlag    = 4
	silentFlag   = 8
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
	// Running counts the requests that the entry runs on each unit.
	Running map[uint64]int
	// Alive contains the units in Running that have responded to the entry recently.
	Alive map[uint64]bool
	// Suspects identifies the instances of backend servers that do not answer the entry.
	Suspects []uint64
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
	out = binary.AppendUvarint(out, uint64(len(bea.Name)))
	out = append(out, bea.Name...)
	out = binary.BigEndian.AppendUint64(out, bea.Incarnation)
	out = binary.AppendUvarint(out, bea.Seq)
	out = binary.AppendUvarint(out, uint64(len(bea.TopicEnds)))
	for _, end := range bea.TopicEnds {
		out = binary.AppendUvarint(out, uint64(max(0, end)))
	}
	const suspectBytes, runningBytes = 8, 11
	// Entries of earlier versions take the services among the suspects for servers that they do not know.
	suspects := bea.Suspects[:min(len(bea.Suspects), (maxDatagramBytes-len(out))/2/suspectBytes-len(silent)-1)]
	if len(silent) > 0 {
		suspects = slices.Concat([]uint64{uint64(len(silent))}, silent, suspects)
	}
	out = binary.AppendUvarint(out, uint64(len(suspects)))
	for _, server := range suspects {
		out = binary.BigEndian.AppendUint64(out, server)
	}
	num := min(len(bea.Running), (maxDatagramBytes-len(out)-2)/runningBytes)
	out = binary.AppendUvarint(out, uint64(num))
	for uni, run := range bea.Running {
		if num--; num < 0 {
			break
		}
		out = binary.BigEndian.AppendUint64(out, uni)
		val := uint64(max(0, run)) << 1
		if bea.Alive[uni] {
			val |= aliveBit
		}
		out = binary.AppendUvarint(out, val)
	}
	return out
}

// Decode parses a heartbeat; it fails with errors.NotValid.
func Decode(data []byte) (Heartbeat, error) {
	rea := reader{data: data}
	if rea.readByte() != heartbeatVersion {
		return Heartbeat{}, errors.NotValidf("heartbeater: heartbeat version")
	}
	flags := rea.readByte()
	bea := Heartbeat{Stopping: flags&stoppingFlag != 0, Fresh: flags&freshFlag != 0, Leads: flags&leadsFlag != 0}
	bea.Name = string(rea.readBytes(int(rea.readUvarint())))
	bea.Incarnation = rea.readUint64()
	bea.Seq = rea.readUvarint()
	for num := rea.readUvarint(); num > 0 && !rea.malformed; num-- {
		bea.TopicEnds = append(bea.TopicEnds, int64(min(rea.readUvarint(), math.MaxInt64)))
	}
	for num := rea.readUvarint(); num > 0 && !rea.malformed; num-- {
		bea.Suspects = append(bea.Suspects, rea.readUint64())
	}
	if flags&silentFlag != 0 && len(bea.Suspects) > 0 {
		num := min(bea.Suspects[0], uint64(len(bea.Suspects)-1))
		bea.Silent, bea.Suspects = bea.Suspects[1:1+num], bea.Suspects[1+num:]
	}
	bea.Running, bea.Alive = map[uint64]int{}, map[uint64]bool{}
	for num := rea.readUvarint(); num > 0 && !rea.malformed; num-- {
		uni := rea.readUint64()
		val := rea.readUvarint()
		bea.Running[uni] = int(min(val>>1, maxRunning))
		if val&aliveBit != 0 {
			bea.Alive[uni] = true
		}
	}
	if rea.malformed || len(rea.data) > 0 || bea.Name == "" {
		return Heartbeat{}, errors.NotValidf("heartbeater: heartbeat of %d bytes", len(data))
	}
	return bea, nil
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
