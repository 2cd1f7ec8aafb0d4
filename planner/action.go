package planner

import "github.com/lovagelever/lovagelever/recorder"

// Action is one decision of a planning round; exactly one field is set.
type Action struct {
	Form    *recorder.FormGroup
	Quiesce *recorder.QuiesceGroup
	Retire  *recorder.RetireGroup
	Stage   *StageOrder
	Load    *LoadOrder
	Unload  *UnloadOrder
}

// StageOrder orders a VM outside any group to preload weights; it is sent as a load order without a group, and Fence is the newest log offset in the view.
type StageOrder struct {
	VM               string
	Address          string
	Fence            int64
	Model            string
	Version          string
	Adapters         []string
	WeightsGigabytes float64
}

// Member is one VM in the rank-ordered member list of a group.
type Member struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
}

// LoadOrder orders a VM to serve as the member with this Rank in a group; WeightsGigabytes is the member's share of the weights.
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

// UnloadOrder orders a VM outside any group to drop the group that it still reports; Fence is the newest log offset in the view.
type UnloadOrder struct {
	VM      string
	Address string
	Group   string
	Fence   int64
}
