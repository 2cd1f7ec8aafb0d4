package sharer

import (
	"encoding/binary"
	"math"

	"github.com/juju/errors"
)

const (
	beatVersion = 1
	// mostBytes keeps a datagram within one packet.
	mostBytes = 1400
	// aliveBit is the lowest bit of a unit's number; the count of requests stands above it.
	aliveBit = 1
	// stoppingFlag and freshFlag are bits of the second byte.
	stoppingFlag = 1
	freshFlag    = 2
)

// Beat is what an entry tells the others; units and lives are named by hashes to save bytes.
type Beat struct {
	Name        string
	Incarnation uint64
	Seq         uint64
	Stopping    bool
	// Fresh says that the entry reads the store and is up to date with it; Ends are the offsets up to which it knows the topics that all entries follow.
	Fresh bool
	Ends  []int64
	// Running counts the requests that the entry runs on each unit.
	Running map[uint64]int
	// Alive are those of these units that gave the entry a sign not long ago.
	Alive map[uint64]bool
	// Doubts names the lives of backend servers that do not answer the entry.
	Doubts []uint64
}

// Encode writes a beat; what does not fit into one packet is left out.
func Encode(bea Beat) []byte {
	out := []byte{beatVersion, 0}
	if bea.Stopping {
		out[1] |= stoppingFlag
	}
	if bea.Fresh {
		out[1] |= freshFlag
	}
	out = binary.AppendUvarint(out, uint64(len(bea.Name)))
	out = append(out, bea.Name...)
	out = binary.BigEndian.AppendUint64(out, bea.Incarnation)
	out = binary.AppendUvarint(out, bea.Seq)
	out = binary.AppendUvarint(out, uint64(len(bea.Ends)))
	for _, end := range bea.Ends {
		out = binary.AppendUvarint(out, uint64(max(0, end)))
	}
	const doubtBytes, runningBytes = 8, 11
	doubts := bea.Doubts[:min(len(bea.Doubts), (mostBytes-len(out))/2/doubtBytes)]
	out = binary.AppendUvarint(out, uint64(len(doubts)))
	for _, dou := range doubts {
		out = binary.BigEndian.AppendUint64(out, dou)
	}
	num := min(len(bea.Running), (mostBytes-len(out)-2)/runningBytes)
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

// Decode reads a beat; it fails with errors.NotValid.
func Decode(data []byte) (Beat, error) {
	rea := reader{data: data}
	if rea.octet() != beatVersion {
		return Beat{}, errors.NotValidf("sharer: version of a beat")
	}
	flags := rea.octet()
	bea := Beat{Stopping: flags&stoppingFlag != 0, Fresh: flags&freshFlag != 0}
	bea.Name = string(rea.bytes(int(rea.uvarint())))
	bea.Incarnation = rea.fixed()
	bea.Seq = rea.uvarint()
	for num := rea.uvarint(); num > 0 && !rea.bad; num-- {
		bea.Ends = append(bea.Ends, int64(min(rea.uvarint(), math.MaxInt64)))
	}
	for num := rea.uvarint(); num > 0 && !rea.bad; num-- {
		bea.Doubts = append(bea.Doubts, rea.fixed())
	}
	bea.Running, bea.Alive = map[uint64]int{}, map[uint64]bool{}
	for num := rea.uvarint(); num > 0 && !rea.bad; num-- {
		uni := rea.fixed()
		val := rea.uvarint()
		bea.Running[uni] = int(min(val>>1, mostRunning))
		if val&aliveBit != 0 {
			bea.Alive[uni] = true
		}
	}
	if rea.bad || len(rea.data) > 0 || bea.Name == "" {
		return Beat{}, errors.NotValidf("sharer: beat of %d bytes", len(data))
	}
	return bea, nil
}

// mostRunning bounds what one entry can claim to run on one unit; a damaged datagram must not shut a unit out for long.
const mostRunning = 1 << 16

// reader takes fields off a datagram and notes when it is too short.
type reader struct {
	data []byte
	bad  bool
}

func (rea *reader) bytes(num int) []byte {
	if rea.bad || num < 0 || num > len(rea.data) {
		rea.bad = true
		return nil
	}
	out := rea.data[:num]
	rea.data = rea.data[num:]
	return out
}

func (rea *reader) octet() byte {
	one := rea.bytes(1)
	if one == nil {
		return 0
	}
	return one[0]
}

func (rea *reader) fixed() uint64 {
	const size = 8
	one := rea.bytes(size)
	if one == nil {
		return 0
	}
	return binary.BigEndian.Uint64(one)
}

func (rea *reader) uvarint() uint64 {
	val, num := binary.Uvarint(rea.data)
	if rea.bad || num <= 0 {
		rea.bad = true
		return 0
	}
	rea.data = rea.data[num:]
	return val
}
