// Package planner decides how the replica groups of a region are formed, repaired, drained and retired.
//
// A planning round is a pure function of the state built from the log, the
// observed status of the VMs, the time and the memory of earlier rounds.
// Losing the memory only delays decisions. The caller executes the actions.
package planner
