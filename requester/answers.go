package requester

import (
	"github.com/lovagelever/lovagelever/cataloger"
)

// Revision is the catalog in force at an entry and its revision number.
type Revision struct {
	Revision int64             `json:"revision"`
	Catalog  cataloger.Catalog `json:"catalog"`
}

// Publication is a new inventory, new rules or both, made from the revision BasedOn; a part that is nil is left unchanged.
type Publication struct {
	ID        string               `json:"id"`
	BasedOn   int64                `json:"based_on"`
	Inventory *cataloger.Inventory `json:"inventory,omitempty"`
	Rules     *cataloger.Rules     `json:"rules,omitempty"`
}

// PublicationResult is the revision that an accepted publication created and the offset of its record in the log.
type PublicationResult struct {
	Revision int64 `json:"revision"`
	Offset   int64 `json:"offset"`
}

// Location is the address of the entry that a workspace should use, the address of a second entry as fallback, and how long the answer is valid, in milliseconds.
type Location struct {
	Entry         string `json:"entry"`
	FallbackEntry string `json:"second"`
	ValidMS       int64  `json:"valid_ms"`
	KeyPrefix     string `json:"key_prefix"`
	Revision      int64  `json:"revision"`
}

// Status is the state of all entries, groups and models as known to the entry that answered.
type Status struct {
	Revision        int64            `json:"revision"`
	AnsweredBy      string           `json:"asked"`
	Entries         []Entry          `json:"entries"`
	Groups          []Group          `json:"groups"`
	RejectedRecords []RejectedRecord `json:"voids"`
	Models          []Model          `json:"models"`
}

// Entry is the state of one entry.
type Entry struct {
	Name         string `json:"name"`
	Incarnation  string `json:"incarnation"`
	Zone         string `json:"availability_zone"`
	Address      string `json:"address"`
	Reachable    bool   `json:"reachable"`
	Fresh        bool   `json:"fresh"`
	Revision     int64  `json:"revision"`
	Offset       int64  `json:"offset"`
	Draining     bool   `json:"draining"`
	BootedFrom   string `json:"booted_from"`
	GroupsAtHome int    `json:"groups_at_home"`
}

// Group is the state of one replica group.
type Group struct {
	Name    string   `json:"name"`
	Model   string   `json:"model"`
	Version string   `json:"version"`
	Fence   int64    `json:"fence"`
	Domain  string   `json:"fabric_domain"`
	Zone    string   `json:"availability_zone"`
	VMs     []string `json:"vms"`
	Home    string   `json:"home"`
	Stage   string   `json:"stage"`
	Reason  string   `json:"reason"`
	Warm    bool     `json:"warm"`
	Running int      `json:"running"`
	Limit   int      `json:"limit"`
}

// RejectedRecord is a log record that was rejected, with the reason.
type RejectedRecord struct {
	Offset int64  `json:"offset"`
	ID     string `json:"id"`
	Kind   string `json:"kind"`
	Writer string `json:"writer"`
	Reason string `json:"reason"`
}

// Model is the state of one model: the numbers of wanted and of serving groups, and the number of stranded accelerators, which are in no group and cannot form a whole group of any model.
type Model struct {
	Name                 string `json:"name"`
	Wanted               int    `json:"wanted"`
	Serving              int    `json:"serving"`
	StrandedAccelerators int    `json:"stranded_accelerators"`
	Reason               string `json:"reason"`
}
