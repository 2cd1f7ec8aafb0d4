package sender

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"

	"github.com/lovagelever/lovagelever/collector"
)

// asyncBodyBytes is the body size above which a request is written while its response is read: a backend server may respond before it has read the body, and then stop reading.
const asyncBodyBytes = 4096

// receiveBufferBytes is what the kernel may buffer of one response; at a round trip of 6 ms it allows more than 80 Mbit/s.
const receiveBufferBytes = 64 << 10

// Dialer opens connections from the entry's own address.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Sender sends requests and pools idle connections; it is safe for concurrent use.
type Sender struct {
	dia         Dialer
	clk         clockwork.Clock
	poo         pool
	dialTimeout time.Duration
}

// New returns a sender; dialTimeout limits how long connecting to a backend server may take.
func New(dia Dialer, clk clockwork.Clock, dialTimeout time.Duration) *Sender {
	return &Sender{dia: dia, clk: clk, dialTimeout: dialTimeout, poo: pool{idle: map[string][]*conn{}}}
}

// Request is one HTTP request. PoolKey identifies the run of the backend server at Address, so that connections are not reused after the server was restarted or replaced. NewConnection requests a new connection. Withdrawn, which may be nil, is asked once the connection is open whether the request must not be sent any more, and Connected, which may be nil, is told whether the connection was kept from an earlier request.
type Request struct {
	Address string
	PoolKey string
	Method  string
	// Target is the path and query as received from the caller.
	Target        string
	Host          string
	Header        http.Header
	Body          []byte
	NewConnection bool
	Withdrawn     func() bool
	Connected     func(kept bool)
}

// Send sends a request and returns once the response header is read; it fails with ErrNotSent, ErrWithdrawn, ErrLost or ErrSpoilt. The caller must call End on the exchange.
func (sen *Sender) Send(ctx context.Context, req Request) (*Exchange, error) {
	con, kept, err := sen.connect(ctx, req)
	if err != nil {
		return nil, err
	}
	if req.Withdrawn != nil && req.Withdrawn() {
		_ = con.Close()
		return nil, notSent(ErrWithdrawn, "send")
	}
	if req.Connected != nil {
		req.Connected(kept)
	}
	exc := &Exchange{Kept: kept, sen: sen, key: req.PoolKey, con: con, written: make(chan error, 1)}
	exc.stopWatch = context.AfterFunc(ctx, func() { _ = con.Close() })
	if err := exc.write(req); err != nil {
		exc.End(false)
		return nil, exc.lost(err, "write")
	}
	if err := exc.readHead(req.Method); err != nil {
		exc.End(false)
		return nil, exc.lost(err, "read response")
	}
	return exc, nil
}

// Sweep closes the connections whose idle timeout has expired.
func (sen *Sender) Sweep() {
	sen.poo.sweep(sen.clk.Now())
}

// connect returns a connection, and whether it was kept from an earlier request.
func (sen *Sender) connect(ctx context.Context, req Request) (con *conn, kept bool, err error) {
	if err := ctx.Err(); err != nil {
		return nil, false, notSent(err, "connect")
	}
	if !req.NewConnection {
		if con := sen.poo.take(req.PoolKey, sen.clk.Now()); con != nil {
			return con, true, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, sen.dialTimeout)
	defer cancel()
	raw, err := sen.dia.DialContext(ctx, "tcp", req.Address)
	if err != nil {
		return nil, false, notSent(err, "connect")
	}
	limitReceiveBuffer(raw)
	return newConn(collector.Guard(raw)), false, nil
}

// limitReceiveBuffer limits what the kernel holds of a response that is not read.
func limitReceiveBuffer(raw net.Conn) {
	if con, ok := raw.(interface{ SetReadBuffer(num int) error }); ok {
		// Without the limit the connection still works.
		_ = con.SetReadBuffer(receiveBufferBytes)
	}
}

// encode returns the request line and header, followed by the body unless it is larger than asyncBodyBytes.
func (req Request) encode() []byte {
	var buf bytes.Buffer
	buf.Grow(512 + min(len(req.Body), asyncBodyBytes))
	buf.WriteString(req.Method)
	buf.WriteByte(' ')
	buf.WriteString(req.Target)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(req.Host)
	buf.WriteString("\r\n")
	for name, vals := range req.Header {
		for _, val := range vals {
			buf.WriteString(name)
			buf.WriteString(": ")
			buf.WriteString(val)
			buf.WriteString("\r\n")
		}
	}
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(len(req.Body)))
		buf.WriteString("\r\n")
	}
	buf.WriteString("\r\n")
	if len(req.Body) <= asyncBodyBytes {
		buf.Write(req.Body)
	}
	return buf.Bytes()
}

func (exc *Exchange) write(req Request) error {
	if _, err := exc.con.Write(req.encode()); err != nil {
		return errors.Trace(err)
	}
	if len(req.Body) <= asyncBodyBytes {
		exc.written <- nil
		return nil
	}
	go func() {
		_, err := exc.con.Write(req.Body)
		exc.written <- err
	}()
	return nil
}

// idleTimeout returns how long to keep the connection of a response idle; zero means that it cannot be reused.
func idleTimeout(res *http.Response) time.Duration {
	if res.Close {
		return 0
	}
	for _, part := range strings.Split(res.Header.Get("Keep-Alive"), ",") {
		name, val, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		num, err := strconv.Atoi(val)
		if err != nil || num <= 0 {
			return 0
		}
		return min(DefaultIdleFor, time.Duration(float64(num)*idleShare*float64(time.Second)))
	}
	return DefaultIdleFor
}
