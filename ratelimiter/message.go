package ratelimiter

// Message is what an entry tells another one: limits of backend servers, the permits that it wants, and those that it issues to the other one.
type Message struct {
	From    string
	Notices []Notice
	Asks    []Ask
	Grants  []Grant
}
