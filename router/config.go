package router

import "time"

// Kind says what the calls of a route may do.
type Kind string

// The kinds of routes: the answers of Stream come as events, calls of Safe may run more than once, calls of Unsafe at most once.
const (
	Stream Kind = "stream"
	Safe   Kind = "safe"
	Unsafe Kind = "unsafe"
)

// Config is one accepted configuration; a higher Version replaces it.
type Config struct {
	Version    int64
	Routes     []Route
	Services   map[string]Service
	Workspaces []Workspace
	Limits     Limits
}

// Route sends the requests of a host and path prefix to services by weight.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Kind      Kind
	Resumable bool
	Public    bool
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time until the first event, or the answer, within which a caller is served well.
	Objective time.Duration
	// LongestPause is the longest pause between two events of a stream within which a caller is served well.
	LongestPause time.Duration
	// Priority ranks requests, 0 first.
	Priority int
	// Attempts is how many backend servers one request may be sent to.
	Attempts int
	Targets  []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (rou Route) Repeatable() bool {
	return rou.Kind == Safe || rou.Kind == Stream && rou.Resumable
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is what the backend servers of one name have in common.
type Service struct {
	Name string
	// ColdPerSecond is how many requests a second a backend server bears while it is cold.
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service; times are for one group of pace 1.
type Engine struct {
	// Slots is how many requests one replica group runs at once.
	Slots  int
	Models []Model
	// StrideSteps is how many token steps one pass makes.
	StrideSteps int
	Step        time.Duration
	// StepPerRequest is added to a step for each request that writes.
	StepPerRequest time.Duration
	// ReadPerSecond is how many prompt tokens are read in a second.
	ReadPerSecond float64
	// LoadsPerSecond bounds the loads from the weight store that begin, over all backend servers.
	LoadsPerSecond float64
	// LoadsAtOnce is how many loads the weight store serves at full speed; more share that speed. Zero is no bound.
	LoadsAtOnce int
}

// Model is what the replica groups of one model have in common.
type Model struct {
	Name string
	// Size is the number of VMs of one replica group.
	Size int
	// Share is the part of the work that is for this model, at the start.
	Share float64
	// Pace is a factor on all times of the engine.
	Pace float64
	// LoadIn is how long weights take from the weight store, StagedIn from the host.
	LoadIn   time.Duration
	StagedIn time.Duration
}

// Workspace is a caller's account; a Priority that is set goes before that of the route.
type Workspace struct {
	Name     string
	Keys     []string
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}
