package planner

import (
	"maps"
	"time"
)

// Memory is the state that one controller keeps between rounds; starting with an empty one only delays decisions.
type Memory struct {
	attempts            map[string]attempt       // by VM
	avoided             map[string]avoidance     // by VM
	pending             map[string]pendingRecord // by group; a proposed replacement by the group that it replaces
	suspicions          map[string]suspicion     // by VM
	stragglerReplacedAt map[string]time.Time     // by model
	quiescedAt          map[string]time.Time     // by group
	surplusSince        map[string]time.Time     // by model
	reasons             map[string]string        // by "model", "model/group" or "vm/name"
}

// attempt counts the orders sent to a VM for one target: the name of the group to load for, or the key of a preload or unload order.
type attempt struct {
	target       string
	fence        int64
	started      string // Observation.Started at the first attempt
	count        int
	nextAt       time.Time
	loadDeadline time.Time
}

// avoidance excludes a VM from new groups; failed is true if its loads failed, and false if it was a straggler.
type avoidance struct {
	until  time.Time
	failed bool
}

// pendingRecord is a proposed record that the view does not include yet.
type pendingRecord struct {
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

// suspicion counts up for a slow report of a VM and down for a fast one; reportedAt is the time of the last report evaluated.
type suspicion struct {
	reportedAt  time.Time
	slowReports int
}

// NewMemory returns the empty memory of a controller that has just taken control.
func NewMemory() *Memory {
	return &Memory{
		attempts:            map[string]attempt{},
		avoided:             map[string]avoidance{},
		pending:             map[string]pendingRecord{},
		suspicions:          map[string]suspicion{},
		stragglerReplacedAt: map[string]time.Time{},
		quiescedAt:          map[string]time.Time{},
		surplusSince:        map[string]time.Time{},
		reasons:             map[string]string{},
	}
}

// Reasons returns why work was waiting in the last round, by "model", "model/group" or "vm/name".
func (mem *Memory) Reasons() map[string]string {
	return maps.Clone(mem.reasons)
}

// prune drops entries that expired or that the view made obsolete. It also starts to avoid stragglers that left their group.
func (mem *Memory) prune(rnd *round) {
	clear(mem.reasons)
	for name, avo := range mem.avoided {
		if !rnd.now.Before(avo.until) {
			delete(mem.avoided, name)
		}
	}
	for key, pen := range mem.pending {
		if !rnd.now.Before(pen.until) || pen.applied(rnd) {
			delete(mem.pending, key)
		}
	}
	for name := range mem.quiescedAt {
		if !rnd.vie.Groups[name].Quiesced {
			delete(mem.quiescedAt, name)
		}
	}
	for name := range mem.attempts {
		if _, known := rnd.inv.VMs[name]; !known {
			delete(mem.attempts, name)
		}
	}
	for name, sus := range mem.suspicions {
		if rnd.vie.GroupByVM[name] != "" {
			continue
		}
		delete(mem.suspicions, name)
		if sus.slowReports >= rnd.opt.StragglerReports {
			rnd.avoid(name, false)
		}
	}
}

// applied reports whether the view shows the effect of the record.
func (pen pendingRecord) applied(rnd *round) bool {
	grp, exists := rnd.vie.Groups[pen.group]
	switch pen.kind {
	case pendingForm:
		return exists
	case pendingQuiesce:
		return !exists || grp.Quiesced
	default:
		return !exists
	}
}
