package gateway

import (
	"net/http"
	"time"
)

// Call is the metadata that a request carries in its headers.
type Call struct {
	// ID identifies one attempt of the caller.
	ID string
	// Key is the API key, empty if the request has none.
	Key string
	// Timeout is the caller's timeout, zero if the request has none.
	Timeout time.Duration
	Model   string
	// PromptTokens is the number of tokens in the prompt, AnswerTokens the maximum number to generate.
	PromptTokens int
	AnswerTokens int
	// LengthHint is the caller's estimate of the number of tokens generated, zero if there is none.
	LengthHint int
	// LastEventID is the ID of the last event that the caller has received of a stream.
	LastEventID string
	// PromptParts identify the parts of the prompt that the request may share with others, in order.
	PromptParts []string
}

// Hop is the metadata that an entry adds to a request for one backend server.
type Hop struct {
	ServerID  string
	Workspace string
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration
	// LastEventID is the ID of the last event that was relayed to the caller.
	LastEventID string
	// Urgency is the class of urgency among the requests for the service, from 1 for the most urgent, or 0 if there is only one.
	Urgency int
}

// ResponseInfo is what the header of a response says about whether the request ran.
type ResponseInfo struct {
	// NotRun means that the backend server did not run the request and never will.
	NotRun bool
	// Misdirected means that the address now belongs to another backend server.
	Misdirected bool
	// Verified means that the response is signed and belongs to this request.
	Verified bool
	// ServerID is the ID that the backend server states, empty if it states none.
	ServerID string
	// Leaving means that the backend server is about to stop and takes no new requests.
	Leaving bool
	// PauseFor is how long the backend server, which has rejected the request, wants no requests from this entry.
	PauseFor time.Duration
	// Limited means that the backend server limits the requests that it takes from all entries, to RateLimit per second; negative if it cannot be read.
	Limited   bool
	RateLimit float64
	// Final means that the response was passed on by another entry and is the answer to the caller, Refused that the other entry made it.
	Final   bool
	Refused bool
	// Sent means that another entry, which did not serve the request, has sent it to a backend server.
	Sent bool
}

// Concerns reports whether the response was sent by the backend server that the request was meant for.
func (inf ResponseInfo) Concerns(server string) bool {
	if inf.ServerID == "" {
		return !inf.Misdirected
	}
	return inf.ServerID == server
}

// HeaderCodec converts between the types of this package and HTTP headers.
type HeaderCodec interface {
	ParseCall(req *http.Request) Call
	RequestHeader(in http.Header, cal Call, hop Hop) http.Header
	// EntryHeader returns the headers of a request that is forwarded to another entry: those of the caller, with the time left and the last event of the hop.
	EntryHeader(in http.Header, cal Call, hop Hop) http.Header
	ParseResponse(cal Call, res *http.Response) ResponseInfo
}

// connectionHeaders are the hop-by-hop headers, and those that each hop sets itself.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// StripConnection removes hop-by-hop headers, and those that each hop sets itself.
func StripConnection(head http.Header) {
	for _, name := range connectionHeaders {
		head.Del(name)
	}
}
