package copier

import (
	"io"
	"net/http"
)

const (
	maxIdleConnsPerHost = 1024
	bufferSize          = 32 << 10
	// HeaderTarget is the header with the address to forward a request to.
	HeaderTarget = "X-Target"
)

// Copier is an HTTP handler that forwards each request to the address in its X-Target header and streams the response back.
type Copier struct {
	cli *http.Client
}

// New returns a copier.
func New() *Copier {
	return &Copier{cli: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}}}
}

// ServeHTTP forwards one request; it answers 400 for an invalid target and 502 if the target does not respond.
func (cop *Copier) ServeHTTP(wtr http.ResponseWriter, req *http.Request) {
	out, err := http.NewRequestWithContext(req.Context(), req.Method, "http://"+req.Header.Get(HeaderTarget)+req.URL.Path, req.Body)
	if err != nil {
		wtr.WriteHeader(http.StatusBadRequest)
		return
	}
	out.Header = req.Header.Clone()
	res, err := cop.cli.Do(out)
	if err != nil {
		wtr.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = res.Body.Close() }()
	wtr.WriteHeader(res.StatusCode)
	copyFlushing(wtr, res.Body)
}

// copyFlushing copies a response body and flushes after each read, so that streamed tokens are not delayed.
func copyFlushing(wtr http.ResponseWriter, body io.Reader) {
	ctl := http.NewResponseController(wtr)
	buf := make([]byte, bufferSize)
	for {
		num, err := body.Read(buf)
		if _, failed := wtr.Write(buf[:num]); failed != nil {
			return
		}
		if ctl.Flush() != nil || err != nil {
			return
		}
	}
}
