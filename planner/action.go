package planner

import "github.com/lovagelever/lovagelever/recorder"

// Action is one decision; exactly one field is set.
type Action struct {
	Form    *recorder.Form
	Quiesce *recorder.Quiesce
	Retire  *recorder.Retire
	Stage   *Stage
	Load    *LoadOrder
	Unload  *UnloadOrder
}

// Stage asks a VM that is in no group to load weights ahead; it is sent as a load order without a group, and Fence is the newest offset folded.
type Stage struct {
	VM               string
	Address          string
	Fence            int64
	Model            string
	Version          string
	Adapters         []string
	WeightsGigabytes float64
}

// Member is a VM of a group in the order of ranks.
type Member struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// LoadOrder asks a VM to serve as the member of Rank in a group; WeightsGigabytes is this member's share of the weights.
type LoadOrder struct {
	VM               string
	Address          string
	Group            string
	Fence            int64
	Model            string
	Version          string
	Adapters         []string
	WeightsGigabytes float64
	Members          []Member
	Rank             int
}

// UnloadOrder asks a VM that is in no group to drop the group that it shows; Fence is the newest offset folded.
type UnloadOrder struct {
	VM      string
	Address string
	Group   string
	Fence   int64
}
