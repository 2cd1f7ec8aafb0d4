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
)

// Limits of the kept connections and of an answer; sizes are in bytes.
const (
	MaxIdlePerService = 64
	IdleTimeout       = 90 * time.Second
	DefaultMaxBody    = 4 << 20
	MaxHeader         = 64 << 10
)

// The headers that invoker reads or sets.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderNotRun    = "X-Not-Run"
	HeaderColdLimit = "X-Cold-Limit"
)

// Dialer opens connections, from the local address that it was made with.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Call is a request to a plain service; a Repeatable call may be sent again when a kept connection breaks, and a VM that is cold refuses the call when it would run more than ColdLimit calls at once.
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

// Response is the service's own answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Invoker sends calls to plain services.
type Invoker struct {
	kept    *http.Client
	once    *http.Client
	maxBody int64
}

// New returns an Invoker that takes answers of at most maxBody bytes; 0 means DefaultMaxBody.
func New(dia Dialer, maxBody int64) *Invoker {
	if maxBody <= 0 {
		maxBody = DefaultMaxBody
	}
	return &Invoker{kept: newClient(dia, false), once: newClient(dia, true), maxBody: maxBody}
}

// newClient follows no redirect; with once each call has a connection of its own, so that net/http has no reason to send it again.
func newClient(dia Dialer, once bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dia.DialContext,
			DisableKeepAlives:      once,
			DisableCompression:     true,
			MaxIdleConnsPerHost:    MaxIdlePerService,
			IdleConnTimeout:        IdleTimeout,
			MaxResponseHeaderBytes: MaxHeader,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Invoke sends a call and reads the whole answer; it fails with NotRunError or MayHaveRunError.
func (inv *Invoker) Invoke(ctx context.Context, cal Call) (Response, error) {
	handed := false
	tra := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { handed = true }}
	req, err := cal.request(httptrace.WithClientTrace(ctx, tra))
	if err != nil {
		return Response{}, &NotRunError{Cause: errors.Trace(err)}
	}
	cli := inv.once
	if cal.Repeatable {
		cli = inv.kept
	}
	res, err := cli.Do(req)
	if err != nil && !handed {
		return Response{}, &NotRunError{Cause: errors.Trace(err)}
	}
	if err != nil {
		return Response{}, &MayHaveRunError{Cause: errors.Trace(err)}
	}
	defer func() { _ = res.Body.Close() }()
	return inv.read(res)
}

func (cal Call) request(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, cal.Method, "http://"+cal.Address+cal.Path, nil)
	if err != nil {
		return nil, err
	}
	req.Header = passedOn(cal.Header)
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

func (inv *Invoker) read(res *http.Response) (Response, error) {
	if res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(HeaderNotRun) == "true" {
		return Response{}, &NotRunError{Cause: errors.QuotaLimitExceededf("service's room for calls")}
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, inv.maxBody+1))
	if err != nil {
		return Response{}, &MayHaveRunError{Cause: errors.Trace(err)}
	}
	if int64(len(body)) > inv.maxBody {
		return Response{}, &MayHaveRunError{Cause: errors.QuotaLimitExceededf("answer of more than %d bytes", inv.maxBody)}
	}
	return Response{Status: res.StatusCode, Header: passedOn(res.Header), Body: body}, nil
}
