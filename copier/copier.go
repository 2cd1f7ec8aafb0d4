package copier

import (
	"io"
	"net/http"
)

const (
	idlePerHost = 1024
	bufferBytes = 32 << 10
	// HeaderTarget names the address to pass a request on to.
	HeaderTarget = "X-Target"
)

// Copier is a handler that copies each request to the address in its header X-Target, and the answer back as it comes.
type Copier struct {
	cli *http.Client
}

// New returns a copier.
func New() *Copier {
	return &Copier{cli: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost}}}
}

// ServeHTTP copies one request.
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
	flush(wtr, res.Body)
}

func flush(wtr http.ResponseWriter, body io.Reader) {
	ctl := http.NewResponseController(wtr)
	buf := make([]byte, bufferBytes)
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
