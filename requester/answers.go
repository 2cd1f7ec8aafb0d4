package requester

import (
	"github.com/lovagelever/lovagelever/cataloger"
)

// Revision is the catalog in force at an entry with its revision.
type Revision struct {
	Revision int64             `json:"revision"`
	Catalog  cataloger.Catalog `json:"catalog"`
}

// Publication is what operators send; a part that is nil stays as it is.
type Publication struct {
	ID        string               `json:"id"`
	BasedOn   int64                `json:"based_on"`
	Inventory *cataloger.Inventory `json:"inventory,omitempty"`
	Rules     *cataloger.Rules     `json:"rules,omitempty"`
}

// Accepted is the revision that a publication became and its offset in the log.
type Accepted struct {
	Revision int64 `json:"revision"`
	Offset   int64 `json:"offset"`
}

// Location says which entry a workspace uses and how long, in milliseconds, to keep the answer.
type Location struct {
	Entry     string `json:"entry"`
	Second    string `json:"second"`
	ValidMS   int64  `json:"valid_ms"`
	KeyPrefix string `json:"key_prefix"`
	Revision  int64  `json:"revision"`
}

// Status is what one entry knows of all entries, groups and models.
type Status struct {
	Revision        int64            `json:"revision"`
	Asked           string           `json:"asked"`
	Entries         []Entry          `json:"entries"`
	Groups          []Group          `json:"groups"`
	RejectedRecords []RejectedRecord `json:"voids"`
	Models          []Model          `json:"models"`
}

// Entry is one entry in a status.
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

// Group is one replica group in a status.
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

// RejectedRecord is a record of the log that was not accepted.
type RejectedRecord struct {
	Offset int64  `json:"offset"`
	ID     string `json:"id"`
	Kind   string `json:"kind"`
	Writer string `json:"writer"`
	Reason string `json:"reason"`
}

// Model is one model in a status with its counts of groups.
type Model struct {
	Name     string `json:"name"`
	Wanted   int    `json:"wanted"`
	Serving  int    `json:"serving"`
	Stranded int    `json:"stranded_accelerators"`
	Reason   string `json:"reason"`
}
