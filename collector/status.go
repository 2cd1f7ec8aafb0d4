package collector

import (
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/juju/errors"
)

const (
	minStatus = 100
	maxStatus = 599
)

// IsInterim reports whether a response with a status precedes the response to the request.
func IsInterim(status int) bool {
	return status >= minStatus && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// CheckStatus fails with errors.NotValid for a status that no response can have to a request which asks for no other protocol.
func CheckStatus(status int) error {
	if status < http.StatusOK && !IsInterim(status) || status > maxStatus {
		return errors.NotValidf("collector: response with status %03d", status)
	}
	return nil
}

// checkedTransport is a transport that rejects responses without a valid status and closes their connections.
type checkedTransport struct {
	*http.Transport
}

// CheckResponses returns a transport whose RoundTrip fails with errors.NotValid for a response without a valid status. Its connection is not used again, since what comes on it may belong to no request.
func CheckResponses(tra *http.Transport) http.RoundTripper {
	return checkedTransport{Transport: tra}
}

// RoundTrip sends a request and returns the response to it.
func (che checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var con net.Conn
	tra := &httptrace.ClientTrace{GotConn: func(inf httptrace.GotConnInfo) { con = inf.Conn }}
	res, err := che.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), tra)))
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(res.StatusCode); err != nil {
		_ = con.Close()
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}
