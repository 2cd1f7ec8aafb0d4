package invoker

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// withoutHopByHop returns a copy of a header without the hop-by-hop headers and those that Connection names.
func withoutHopByHop(hdr http.Header) http.Header {
	out := hdr.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range hdr.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
