// Package planner decides how the replica groups of a region are formed, repaired, drained and retired.
//
// A round is a pure function of the folded state, what was observed of the
// VMs, the time and the memory of earlier rounds. Losing the memory only
// delays decisions. Each action is carried out by the caller.
package planner
