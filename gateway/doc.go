// Package gateway proxies the requests of callers to backend servers.
//
// It buffers each request, tries one unit after another as far as the route, the
// deadline and the retry budget allow, and responds once: with the response of
// one backend server, or with a refusal that says whether the request may have run.
package gateway
