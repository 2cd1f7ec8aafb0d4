package registrar

import "time"

// Server is what a backend server says of itself.
type Server struct {
	ID      string
	Service string
	// Address is IP:PORT.
	Address string
	Zone    string
	// Slots is how many requests it runs at once.
	Slots    int
	Draining bool
	// ColdUntil is when it is warm, by the clock of this entry.
	ColdUntil time.Time
	// Started is the Unix time in milliseconds of its start; with the ID it names one life of the server.
	Started int64
	// Domain is the fabric domain, empty for a server without an engine.
	Domain string
	// Staged names the models whose weights the host holds.
	Staged []string
	// Loaded names the model that the accelerators hold.
	Loaded string
	Group  Membership
}

// Membership is a server's own word on the replica group that it is in.
type Membership struct {
	Name  string
	Epoch int64
	Rank  int
	State State
}

// State is where a server stands in its replica group.
type State string

// The states of a server in its group: the head takes requests only while Open, Draining heads end what runs.
const (
	None     State = ""
	Joining  State = "joining"
	Ready    State = "ready"
	Open     State = "open"
	Draining State = "closing"
	Broken   State = "broken"
)

// Life names one life of a server.
type Life struct {
	ID      string `json:"id"`
	Started int64  `json:"started"`
}

// Life returns the life that the server is in.
func (ser Server) Life() Life {
	return Life{ID: ser.ID, Started: ser.Started}
}

// Cold reports whether the server bears only few requests at a time.
func (ser Server) Cold(now time.Time) bool {
	return now.Before(ser.ColdUntil)
}
