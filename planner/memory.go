package planner

import (
	"maps"
	"time"
)

// Memory is what one controller keeps between rounds; a new one is as good but for the time it takes.
type Memory struct {
	orders     map[string]attempt
	avoided    map[string]avoidance
	pending    map[string]pending
	suspicions map[string]suspicion
	replaced   map[string]time.Time
	quiesced   map[string]time.Time
	surplus    map[string]time.Time
	reasons    map[string]string
}

type attempt struct {
	group   string
	fence   int64
	started string
	count   int
	next    time.Time
	limit   time.Time
}

type avoidance struct {
	until  time.Time
	failed bool
}

type pending struct {
	until time.Time
	group string
	model string
	zone  string
	vms   []string
	kind  pendingKind
}

type pendingKind int

const (
	pendingForm pendingKind = iota
	pendingQuiesce
	pendingRetire
)

type suspicion struct {
	at    time.Time
	count int
}

// NewMemory returns the memory of a controller that has just begun.
func NewMemory() *Memory {
	return &Memory{
		orders:     map[string]attempt{},
		avoided:    map[string]avoidance{},
		pending:    map[string]pending{},
		suspicions: map[string]suspicion{},
		replaced:   map[string]time.Time{},
		quiesced:   map[string]time.Time{},
		surplus:    map[string]time.Time{},
		reasons:    map[string]string{},
	}
}

// Reasons returns why work waits, by "model" or "model/group" or "vm/name", as of the last round.
func (mem *Memory) Reasons() map[string]string {
	return maps.Clone(mem.reasons)
}

func (mem *Memory) forget(rnd *round) {
	clear(mem.reasons)
	for name, avo := range mem.avoided {
		if !rnd.now.Before(avo.until) {
			delete(mem.avoided, name)
		}
	}
	for key, pen := range mem.pending {
		if !rnd.now.Before(pen.until) || pen.settled(rnd) {
			delete(mem.pending, key)
		}
	}
	for name := range mem.quiesced {
		if !rnd.vie.Groups[name].Quiesced {
			delete(mem.quiesced, name)
		}
	}
	for name := range mem.orders {
		if _, known := rnd.inv.VMs[name]; !known {
			delete(mem.orders, name)
		}
	}
	for name, sus := range mem.suspicions {
		if rnd.vie.Owners[name] != "" {
			continue
		}
		delete(mem.suspicions, name)
		if sus.count >= rnd.opt.StragglerCount {
			rnd.avoid(name, false)
		}
	}
}

func (pen pending) settled(rnd *round) bool {
	grp, live := rnd.vie.Groups[pen.group]
	switch pen.kind {
	case pendingForm:
		return live
	case pendingQuiesce:
		return !live || grp.Quiesced
	default:
		return !live
	}
}
