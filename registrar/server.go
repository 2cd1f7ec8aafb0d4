package registrar

import "time"

// Server is the record that a backend server reports about itself.
type Server struct {
	ID      string
	Service string
	// Address is IP:PORT.
	Address string
	Zone    string
	// Slots is the number of requests that it runs concurrently.
	Slots    int
	Draining bool
	// ColdUntil is the time from which the server is warm, by the clock of this entry.
	ColdUntil time.Time
	// Started is the start time in Unix milliseconds; with the ID it identifies one instance of the server.
	Started int64
	// Domain is the fabric domain; it is empty for a server without an engine.
	Domain string
	// Staged lists the models whose weights are stored on the host.
	Staged []string
	// Loaded is the model whose weights are in the accelerators.
	Loaded string
	Group  Membership
}

// Membership is the state of a server in its replica group, as the server reports it.
type Membership struct {
	Name  string
	Epoch int64
	Rank  int
	State State
}

// State is the state of a server within its replica group.
type State string

// The states of a server in its group: a head accepts requests only while Open, and a Draining head finishes its running requests.
const (
	None     State = ""
	Joining  State = "joining"
	Ready    State = "ready"
	Open     State = "open"
	Draining State = "closing"
	Broken   State = "broken"
)

// Instance identifies one instance of a server, from its start to its end.
type Instance struct {
	ID      string `json:"id"`
	Started int64  `json:"started"`
}

// Instance returns the identity of the server's current instance.
func (ser Server) Instance() Instance {
	return Instance{ID: ser.ID, Started: ser.Started}
}

// Cold reports whether the server can still take only a few requests at a time.
func (ser Server) Cold(now time.Time) bool {
	return now.Before(ser.ColdUntil)
}
