package router

import "time"

// Kind is the delivery guarantee of a route's calls.
type Kind string

// The kinds of routes: Stream answers are sent as events, Safe calls may run more than once, Unsafe calls at most once.
const (
	Stream Kind = "stream"
	Safe   Kind = "safe"
	Unsafe Kind = "unsafe"
)

// Config is an accepted configuration; one with a higher Version replaces it.
type Config struct {
	Version    int64
	Routes     []Route
	Services   map[string]Service
	Workspaces []Workspace
	Limits     Limits
}

// Route sends the requests for a host and path prefix to services by weight.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Kind      Kind
	Resumable bool
	Public    bool
	// Timeout is the maximum time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the target for the time to the first event of a stream, or to the answer on other routes.
	Objective time.Duration
	// MaxEventGap is the target for the longest gap between two events of a stream.
	MaxEventGap time.Duration
	// Priority ranks requests; 0 is served first.
	Priority int
	// Attempts is the maximum number of backend servers that a request is sent to.
	Attempts int
	Targets  []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (rou Route) Repeatable() bool {
	return rou.Kind == Safe || rou.Kind == Stream && rou.Resumable
}

// Target is a service and its weight among a route's targets.
type Target struct {
	Service string
	Weight  float64
}

// Service describes the backend servers of one service name.
type Service struct {
	Name string
	// ColdRequestsPerSecond is the number of requests per second that a backend server can take while it is cold.
	ColdRequestsPerSecond float64
	// Engine is nil for a service without model engines.
	Engine *Engine
}

// Engine describes the model engines of a service; durations are for one replica group of a model with time factor 1.
type Engine struct {
	// Slots is the number of requests that a replica group runs concurrently.
	Slots  int
	Models []Model
	// StepsPerPass is the number of token steps in one pass.
	StepsPerPass int
	Step         time.Duration
	// StepPerRequest is added to the duration of a step for each request that generates tokens.
	StepPerRequest time.Duration
	// PromptTokensPerSecond is the number of prompt tokens that are processed per second.
	PromptTokensPerSecond float64
	// ChunkTokens is the number of prompt tokens that are read in one pass at most.
	ChunkTokens int
	// PromptPairTime is added to the time of reading for each pair of a prompt token and an earlier token of its request, in nanoseconds.
	PromptPairTime float64
	// StepPerContextToken is added to the duration of a step for each token of context of the requests that generate tokens, in nanoseconds.
	StepPerContextToken float64
	// MemoryTokens is the number of tokens that a replica group has memory for.
	MemoryTokens int
	// UsualPromptTokens and UsualAnswerTokens are the mean sizes of requests.
	UsualPromptTokens int
	UsualAnswerTokens int
	// FarFactor multiplies all durations of a group whose members are in several fabric domains.
	FarFactor float64
	// ReportLag is how old the load is that a backend server reports.
	ReportLag time.Duration
	// Delays lists the delays between availability zones.
	Delays []ZoneDelay
	// LoadsPerSecond limits the rate at which loads from the weight store start, over all backend servers.
	LoadsPerSecond float64
	// FullSpeedLoads is the number of concurrent loads that the weight store serves at full speed; more loads share that bandwidth. Zero means no limit.
	FullSpeedLoads int
}

// ZoneDelay is the time that a message takes from one availability zone to another, in either direction.
type ZoneDelay struct {
	From  string
	To    string
	Delay time.Duration
}

// DelayBetween returns the time that a message takes between two availability zones, zero if unknown.
func (eng Engine) DelayBetween(one, two string) time.Duration {
	for _, del := range eng.Delays {
		if del.From == one && del.To == two || del.From == two && del.To == one {
			return del.Delay
		}
	}
	return 0
}

// Model describes the replica groups of one model.
type Model struct {
	Name string
	// Size is the number of VMs in a replica group.
	Size int
	// Share is the initial share of the work that is for this model.
	Share float64
	// TimeFactor multiplies all durations of the engine.
	TimeFactor float64
	// StoreLoadTime is how long loading the weights takes from the weight store, HostLoadTime from the host.
	StoreLoadTime time.Duration
	HostLoadTime  time.Duration
}

// Workspace is a caller's account; its Priority, if set, overrides that of the route.
type Workspace struct {
	Name     string
	Keys     []string
	Priority *int
}

// Limits bounds the size of requests and the time to receive their headers; zero means none.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
}
