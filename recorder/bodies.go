package recorder

import "github.com/lovagelever/lovagelever/cataloger"

// Publication proposes a change to the catalog that was made from revision BasedOn.
type Publication struct {
	BasedOn int64            `json:"based_on"`
	Change  cataloger.Change `json:"change"`
}

// Member is one run of an entry; Incarnation is unique to the run.
type Member struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"availability_zone"`
	Region      string `json:"region"`
	Address     string `json:"address"`
	RPCAddress  string `json:"rpc_address"`
}

// Departure names the incarnation that drains, leaves or is evicted; Successor may name who takes over its outcomes.
type Departure struct {
	Incarnation string `json:"incarnation"`
	Reason      string `json:"reason"`
	Successor   string `json:"successor,omitempty"`
}

// Form proposes a replica group; the first VM is rank 0, and Replaces may name a group to retire in the same step.
type Form struct {
	Group    string   `json:"group"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	VMs      []string `json:"vms"`
	Replaces string   `json:"replaces,omitempty"`
	Reason   string   `json:"reason"`
}

// Quiesce proposes that a group gets no new work.
type Quiesce struct {
	Group  string `json:"group"`
	Reason string `json:"reason"`
}

// Retire proposes that a group stops for good and frees its VMs.
type Retire struct {
	Group  string `json:"group"`
	Reason string `json:"reason"`
}

// Claim is the right to run the call of one idempotency key.
type Claim struct {
	Key      string `json:"key"`
	IssuedMS int64  `json:"issued_ms"`
}

// Claims proposes that the writer may run the calls of these keys.
type Claims struct {
	Claims []Claim `json:"claims"`
}

// Condemn proposes that a request's fingerprint is refused from now on.
type Condemn struct {
	Fingerprint string   `json:"fingerprint"`
	Workspace   string   `json:"workspace"`
	Crashed     []string `json:"crashed"`
}

// Snapshot carries the folded state through Covers, in gzip, with its checksum.
type Snapshot struct {
	Covers   int64  `json:"covers"`
	State    []byte `json:"state"`
	Checksum uint64 `json:"checksum"`
}
