package recorder

import "github.com/lovagelever/lovagelever/cataloger"

// Publication proposes a change to the catalog that is based on revision BasedOn.
type Publication struct {
	BasedOn int64            `json:"based_on"`
	Change  cataloger.Change `json:"change"`
}

// Member describes one run of an entry; Incarnation is unique to the run.
type Member struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"availability_zone"`
	Region      string `json:"region"`
	Address     string `json:"address"`
	RPCAddress  string `json:"rpc_address"`
}

// Departure names the incarnation that drains, leaves or is evicted; Successor, if set, is the incarnation that takes over its outcomes.
type Departure struct {
	Incarnation string `json:"incarnation"`
	Reason      string `json:"reason"`
	Successor   string `json:"successor,omitempty"`
}

// FormGroup proposes a replica group; the first VM is rank 0, and Replaces, if set, names a group to retire in the same step.
type FormGroup struct {
	Group    string   `json:"group"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	VMs      []string `json:"vms"`
	Replaces string   `json:"replaces,omitempty"`
	Reason   string   `json:"reason"`
}

// QuiesceGroup proposes that a group receives no new requests.
type QuiesceGroup struct {
	Group  string `json:"group"`
	Reason string `json:"reason"`
}

// RetireGroup proposes to remove a group and release its VMs.
type RetireGroup struct {
	Group  string `json:"group"`
	Reason string `json:"reason"`
}

// Claim claims one idempotency key, issued at the Unix time IssuedMS in milliseconds.
type Claim struct {
	Key      string `json:"key"`
	IssuedMS int64  `json:"issued_ms"`
}

// Claims proposes that only the writer runs the calls with these idempotency keys.
type Claims struct {
	Claims []Claim `json:"claims"`
}

// Condemn proposes to block requests with a fingerprint; Crashed lists the distinct crashes at which they were running.
type Condemn struct {
	Fingerprint string   `json:"fingerprint"`
	Workspace   string   `json:"workspace"`
	Crashed     []string `json:"crashed"`
}

// Snapshot holds the control state after the offset Covers as gzip-compressed JSON; Checksum is the xxHash of the uncompressed JSON.
type Snapshot struct {
	Covers   int64  `json:"covers"`
	State    []byte `json:"state"`
	Checksum uint64 `json:"checksum"`
}
