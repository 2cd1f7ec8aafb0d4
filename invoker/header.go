package invoker

import (
	"net/http"
	"strings"
)

// The headers that belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

func passedOn(hdr http.Header) http.Header {
	out := hdr.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range hdr.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
