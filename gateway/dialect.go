package gateway

import (
	"net/http"
	"time"
)

// Call is what the head of a request says beside its method, path and body.
type Call struct {
	// ID names one attempt of the caller.
	ID string
	// Key is the API key, empty where the caller showed none.
	Key string
	// Within is how long the caller waits, zero where it does not say.
	Within time.Duration
	Model  string
	// PromptTokens and AnswerTokens are what a generation reads and at most writes.
	PromptTokens int
	AnswerTokens int
	// LengthHint is the caller's estimate of the tokens written, zero where there is none.
	LengthHint int
	// After is the ID of the last event that the caller has of a stream.
	After string
}

// Hop is what an entry adds to a request for one backend server.
type Hop struct {
	ServerID  string
	Workspace string
	// Within is how long the caller will still wait.
	Within time.Duration
	// After is the ID of the last event that was passed on.
	After string
}

// Verdict is what the head of an answer says of the request's fate.
type Verdict struct {
	// NotRun says that the backend server did not run the request and never will.
	NotRun bool
	// Misdirected says that another backend server has the address.
	Misdirected bool
	// Own says that the answer is signed and belongs to the request.
	Own bool
}

// Dialect translates between the types of this package and the headers on the wire.
type Dialect interface {
	Call(req *http.Request) Call
	Header(in http.Header, cal Call, hop Hop) http.Header
	Verdict(cal Call, res *http.Response) Verdict
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// StripConnection removes the headers that concern one connection only.
func StripConnection(head http.Header) {
	for _, name := range connectionHeaders {
		head.Del(name)
	}
}
