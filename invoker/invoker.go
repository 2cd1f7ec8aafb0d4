package invoker

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/collector"
)

// Limits of the connection pool and of a response; sizes are in bytes.
const (
	MaxIdlePerService = 64
	IdleTimeout       = 90 * time.Second
	DefaultMaxBody    = collector.MaxBodyBytes
)

// Headers that an Invoker sets on a request or reads from a response.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderNotRun    = "X-Not-Run"
	HeaderColdLimit = "X-Cold-Limit"
)

// Dialer opens connections from the local address that it was created with.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Call is a request to a plain service; a Repeatable call may be sent again when a reused connection breaks, and a cold VM refuses the call when it would run more than ColdLimit calls concurrently.
type Call struct {
	Method     string
	Address    string
	Path       string
	Header     http.Header
	Body       []byte
	RequestID  string
	ColdLimit  int
	Repeatable bool
}

// Response is the response of the service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Invoker sends calls to plain services.
type Invoker struct {
	keepAlive *http.Client
	singleUse *http.Client
	bodies    *collector.Collector
}

// New returns an Invoker that accepts response bodies of at most maxBody bytes; 0 means DefaultMaxBody.
func New(dia Dialer, maxBody int64) *Invoker {
	if maxBody <= 0 {
		maxBody = DefaultMaxBody
	}
	return &Invoker{keepAlive: newClient(dia, false), singleUse: newClient(dia, true), bodies: collector.New(maxBody, collector.MaxTotalBytes)}
}

// newClient returns a client that follows no redirects; with singleUse each call has its own connection, because net/http may send a request again when a reused connection breaks.
func newClient(dia Dialer, singleUse bool) *http.Client {
	tra := collector.NewTransport(dia.DialContext, MaxIdlePerService)
	tra.DisableKeepAlives = singleUse
	tra.IdleConnTimeout = IdleTimeout
	return &http.Client{
		Transport:     collector.CheckResponses(tra),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Invoke sends a call and reads the whole response; the error is a *NotRunError or a *MayHaveRunError.
func (inv *Invoker) Invoke(ctx context.Context, cal Call) (Response, error) {
	connected := false
	tra := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := cal.httpRequest(httptrace.WithClientTrace(ctx, tra))
	if err != nil {
		return Response{}, &NotRunError{Cause: errors.Trace(err)}
	}
	cli := inv.singleUse
	if cal.Repeatable {
		cli = inv.keepAlive
	}
	res, err := cli.Do(req)
	if err != nil && !connected {
		return Response{}, &NotRunError{Cause: errors.Trace(err)}
	}
	if err != nil {
		return Response{}, &MayHaveRunError{Cause: errors.Trace(err)}
	}
	defer func() { _ = res.Body.Close() }()
	return inv.readResponse(res)
}

func (cal Call) httpRequest(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, cal.Method, "http://"+cal.Address+cal.Path, nil)
	if err != nil {
		return nil, err
	}
	req.Header = withoutHopByHop(cal.Header)
	req.Header.Set(HeaderRequestID, cal.RequestID)
	req.Header.Set(HeaderColdLimit, strconv.Itoa(cal.ColdLimit))
	if len(cal.Body) == 0 {
		return req, nil
	}
	req.Body = io.NopCloser(bytes.NewReader(cal.Body))
	req.ContentLength = int64(len(cal.Body))
	if cal.Repeatable {
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(cal.Body)), nil }
	}
	return req, nil
}

func (inv *Invoker) readResponse(res *http.Response) (Response, error) {
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(HeaderNotRun) == "true" {
		return Response{}, &NotRunError{Cause: errors.QuotaLimitExceededf("service refused another concurrent call")}
	}
	length := res.ContentLength
	if res.Request.Method == http.MethodHead {
		length = -1
	}
	body, err := inv.bodies.Read(res.Body, length)
	if err != nil {
		return Response{}, &MayHaveRunError{Cause: errors.Trace(err)}
	}
	return Response{Status: res.StatusCode, Header: withoutHopByHop(res.Header), Body: body}, nil
}
