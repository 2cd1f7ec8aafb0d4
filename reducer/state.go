package reducer

import (
	"time"

	"github.com/lovagelever/lovagelever/cataloger"
	"github.com/lovagelever/lovagelever/recorder"
)

// Limits of what the state retains; durations are measured in log time, the time of the newest applied record.
// A record ID or a claimed key is accepted within its window.
const (
	IDWindow           = 5 * time.Minute
	ClaimWindow        = 15 * time.Minute
	ClaimSkew          = 2 * time.Minute
	MaxRejectedRecords = 64
	MaxCondemned       = 4096
	CondemnedRetention = 24 * time.Hour
	MaxDeparted        = 1024
)

// State is the control state after applying the record at Offset; ChainHash is a hash over all records applied so far and their results.
type State struct {
	Offset          int64                `json:"offset"`
	At              time.Time            `json:"at"`
	ChainHash       uint64               `json:"chain"`
	Revision        int64                `json:"revision"`
	RevisionOffset  int64                `json:"revision_offset"`
	SnapshotOffset  int64                `json:"snapshot_offset"`
	Catalog         cataloger.Catalog    `json:"catalog"`
	Members         map[string]Member    `json:"members"`
	Departed        map[string]Departed  `json:"departed"`
	Groups          map[string]Group     `json:"groups"`
	GroupByVM       map[string]string    `json:"owners"`
	Homes           map[string]Home      `json:"homes"`
	Claims          map[string]Claim     `json:"claims"`
	Condemned       map[string]Condemned `json:"condemned"`
	Seen            map[string]Seen      `json:"seen"`
	RejectedRecords []RejectedRecord     `json:"voids"`
	Counts          map[string]int64     `json:"counts"`

	duties     duties
	cachedView *View
	seenOrder  timedQueue
	claimOrder timedQueue
}

// Member is an entry that has joined and not departed; JoinOffset is the offset of its join record.
type Member struct {
	recorder.Member
	JoinOffset int64 `json:"joined"`
	Draining   bool  `json:"draining"`
}

// Departed is an incarnation that left or was evicted; Successor, if set, took over its outcomes.
type Departed struct {
	Name       string `json:"name"`
	RPCAddress string `json:"rpc_address"`
	Offset     int64  `json:"offset"`
	Evicted    bool   `json:"evicted"`
	Successor  string `json:"successor,omitempty"`
}

// Group is a live replica group; Fence is the offset of the record that formed it.
type Group struct {
	Name      string   `json:"name"`
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	VMs       []string `json:"vms"`
	Domain    string   `json:"fabric_domain"`
	Zone      string   `json:"availability_zone"`
	Region    string   `json:"region"`
	Fence     int64    `json:"fence"`
	Quiesced  bool     `json:"quiesced"`
	FormedFor string   `json:"formed_for"`
}

// Claim is an accepted claim: only Owner may run the call with this idempotency key.
type Claim struct {
	Owner  string    `json:"owner"`
	Offset int64     `json:"offset"`
	At     time.Time `json:"at"`
}

// Condemned is a request fingerprint that is blocked because its requests were running at two or more crashes.
type Condemned struct {
	Workspace string    `json:"workspace"`
	Offset    int64     `json:"offset"`
	At        time.Time `json:"at"`
}

// Seen is the result of a record whose ID is still remembered to detect duplicates.
type Seen struct {
	Offset   int64     `json:"offset"`
	At       time.Time `json:"at"`
	Reason   Reason    `json:"reason,omitempty"`
	Revision int64     `json:"revision,omitempty"`
}

// RejectedRecord is a rejected record, with the reason.
type RejectedRecord struct {
	Offset int64         `json:"offset"`
	ID     string        `json:"id"`
	Kind   recorder.Kind `json:"kind"`
	Writer string        `json:"writer"`
	Reason Reason        `json:"reason"`
}

// Reason says why a record was rejected; the empty reason means that it was accepted.
type Reason string

// Results of applying a record or a claim.
const (
	Accepted             Reason = ""
	ReasonUnknownKind    Reason = "unknown_kind"
	ReasonNewerVersion   Reason = "newer_version"
	ReasonMalformed      Reason = "malformed"
	ReasonDuplicate      Reason = "duplicate"
	ReasonOutsideWindow  Reason = "id_outside_window"
	ReasonConflict       Reason = "conflict"
	ReasonInvalid        Reason = "invalid"
	ReasonNotMember      Reason = "writer_not_member"
	ReasonNotController  Reason = "writer_not_controller"
	ReasonUnknownMember  Reason = "unknown_member"
	ReasonUnknownGroup   Reason = "unknown_group"
	ReasonGroupExists    Reason = "group_exists"
	ReasonUnknownModel   Reason = "unknown_model"
	ReasonOldVersion     Reason = "old_model_version"
	ReasonWrongSize      Reason = "wrong_size"
	ReasonUnknownVM      Reason = "unknown_vm"
	ReasonVMUnfit        Reason = "vm_unfit"
	ReasonVMTaken        Reason = "vm_taken"
	ReasonSeveralDomains Reason = "several_fabric_domains"
	ReasonZoneOut        Reason = "availability_zone_out"
	ReasonKeyClaimed     Reason = "key_claimed"
	ReasonExpired        Reason = "expired"
)

// NewState returns an empty state, before the first record.
func NewState() *State {
	return &State{
		Members:   map[string]Member{},
		Departed:  map[string]Departed{},
		Groups:    map[string]Group{},
		GroupByVM: map[string]string{},
		Homes:     map[string]Home{},
		Claims:    map[string]Claim{},
		Condemned: map[string]Condemned{},
		Seen:      map[string]Seen{},
		Counts:    map[string]int64{},
	}
}
