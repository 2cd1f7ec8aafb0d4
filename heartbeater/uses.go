package heartbeater

import (
	"encoding/binary"

	"github.com/lovagelever/lovagelever/sharer"
)

const (
	// maxUses and maxShareLimits bound what a datagram says about workspaces.
	maxUses        = 16
	maxShareLimits = 24
	// partResolution is the number of steps of the part of a workspace's work that is admitted.
	partResolution = 1 << 14
)

func (fie *fields) addUses(list []sharer.Use) {
	list = list[:min(len(list), maxUses)]
	*fie = append(*fie, uint64(len(list)))
	for _, use := range list {
		*fie = append(*fie, uint64(use.Class), uint64(use.Workspace), wholeRate(use.Started), wholeRate(use.Refused), wholeRate(use.Limited))
	}
}

func (fie *fields) uses() []sharer.Use {
	const width = 5
	var out []sharer.Use
	for num := min(fie.next(), maxUses); num > 0 && len(*fie) >= width; num-- {
		use := sharer.Use{Key: sharer.Key{Class: uint32(fie.next()), Workspace: uint32(fie.next())}}
		use.Started, use.Refused, use.Limited = fie.rate(), fie.rate(), fie.rate()
		out = append(out, use)
	}
	return out
}

func (fie *fields) rate() float64 {
	return float64(min(fie.next(), maxRate))
}

func appendLimits(out []byte, list []sharer.Limit) []byte {
	list = list[:min(len(list), maxShareLimits)]
	out = binary.AppendUvarint(out, uint64(len(list)))
	for _, lim := range list {
		out = binary.BigEndian.AppendUint32(out, lim.Class)
		out = binary.BigEndian.AppendUint32(out, lim.Workspace)
		out = binary.AppendUvarint(out, min(wholeRate(lim.Part*partResolution), partResolution))
	}
	return out
}

func (rea *reader) readShareLimits() []sharer.Limit {
	var out []sharer.Limit
	for num := rea.readUvarint(); num > 0 && !rea.malformed; num-- {
		lim := sharer.Limit{Key: sharer.Key{Class: rea.readUint32(), Workspace: rea.readUint32()}}
		lim.Part = float64(min(rea.readUvarint(), partResolution)) / partResolution
		out = append(out, lim)
	}
	return out
}
