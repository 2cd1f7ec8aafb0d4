package heartbeater

import (
	"encoding/binary"
	"math"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/ratelimiter"
	"github.com/lovagelever/lovagelever/registrar"
)

const (
	// limitsVersion is the first byte of the datagrams that carry rate limits; entries of earlier versions ignore them.
	limitsVersion = 4
	// noticeItem, askItem and grantItem are the first bytes of the items of such a datagram.
	noticeItem = 1
	askItem    = 2
	grantItem  = 3
)

// EncodeLimits returns the wire format of a message about rate limits, as datagrams of at most one packet each; servers whose IDs are too long are omitted.
func EncodeLimits(msg ratelimiter.Message) [][]byte {
	var out [][]byte
	add := func(ins registrar.Instance, item []byte) {
		if len(ins.ID) > maxNameBytes {
			return
		}
		if last := len(out) - 1; last >= 0 && len(out[last])+len(item) <= maxDatagramBytes {
			out[last] = append(out[last], item...)
			return
		}
		out = append(out, append(appendName([]byte{limitsVersion}, msg.From), item...))
	}
	for _, not := range msg.Notices {
		item := appendAge(appendInstance([]byte{noticeItem}, not.Server), not.Age)
		rate := -1.0
		if not.Limited {
			rate = not.PerSecond
		}
		add(not.Server, binary.BigEndian.AppendUint64(item, math.Float64bits(rate)))
	}
	for _, ask := range msg.Asks {
		add(ask.Server, appendAge(appendCount(appendInstance([]byte{askItem}, ask.Server), ask.Count), ask.Within))
	}
	for _, gra := range msg.Grants {
		add(gra.Server, appendAge(appendAge(appendCount(appendInstance([]byte{grantItem}, gra.Server), gra.Count), gra.Wait), gra.Interval))
	}
	return out
}

func appendInstance(out []byte, ins registrar.Instance) []byte {
	return binary.AppendVarint(appendName(out, ins.ID), ins.Started)
}

func appendCount(out []byte, num int) []byte {
	return binary.AppendUvarint(out, uint64(max(0, num)))
}

// DecodeLimits parses a datagram about rate limits; it fails with errors.NotValid.
func DecodeLimits(data []byte) (ratelimiter.Message, error) {
	rea := reader{data: data}
	if rea.readByte() != limitsVersion {
		return ratelimiter.Message{}, errors.NotValidf("heartbeater: version of limits")
	}
	msg := ratelimiter.Message{From: rea.readName()}
	for len(rea.data) > 0 && !rea.malformed {
		kind, ins := rea.readByte(), rea.readInstance()
		switch kind {
		case noticeItem:
			not := ratelimiter.Notice{Server: ins, Age: rea.readAge(), PerSecond: math.Float64frombits(rea.readUint64())}
			if not.Limited = not.PerSecond >= 0; !not.Limited {
				not.PerSecond = 0
			}
			msg.Notices = append(msg.Notices, not)
		case askItem:
			msg.Asks = append(msg.Asks, ratelimiter.Ask{Server: ins, Count: rea.readCount(), Within: rea.readAge()})
		case grantItem:
			msg.Grants = append(msg.Grants, ratelimiter.Grant{Server: ins, Count: rea.readCount(), Wait: rea.readAge(), Interval: rea.readAge()})
		default:
			rea.malformed = true
		}
	}
	if rea.malformed || msg.From == "" {
		return ratelimiter.Message{}, errors.NotValidf("heartbeater: limits of %d bytes", len(data))
	}
	return msg, nil
}

func (rea *reader) readInstance() registrar.Instance {
	return registrar.Instance{ID: rea.readName(), Started: rea.readVarint()}
}

func (rea *reader) readCount() int {
	return int(min(rea.readUvarint(), maxRunning))
}

func (rea *reader) readVarint() int64 {
	val, num := binary.Varint(rea.data)
	if rea.malformed || num <= 0 {
		rea.malformed = true
		return 0
	}
	rea.data = rea.data[num:]
	return val
}
