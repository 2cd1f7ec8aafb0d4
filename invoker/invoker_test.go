package invoker

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestInvoker(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "invoker")
}

// breaker answers the path /warm and, for any other, reads the whole request and closes the connection.
type breaker struct {
	lis  net.Listener
	read atomic.Int64
}

func newBreaker() *breaker {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	bre := &breaker{lis: lis}
	DeferCleanup(func() { lis.Close() })
	go bre.accept()
	return bre
}

func (bre *breaker) accept() {
	for {
		con, err := bre.lis.Accept()
		if err != nil {
			return
		}
		go bre.serve(con)
	}
}

func (bre *breaker) serve(con net.Conn) {
	defer con.Close()
	buf := bufio.NewReader(con)
	for {
		req, err := http.ReadRequest(buf)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		if req.URL.Path != "/warm" {
			bre.read.Add(1)
			return
		}
		io.WriteString(con, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

var _ = Describe("a service that reads a call and closes the connection", func() {
	shapes := []struct {
		name string
		call Call
	}{
		{"with a body", Call{Method: http.MethodPost, Path: "/switch", Body: []byte(`{"on":true}`)}},
		{"without a body", Call{Method: http.MethodPost, Path: "/switch"}},
		{"of a method that net/http takes for repeatable", Call{Method: http.MethodGet, Path: "/switch"}},
		{"of method DELETE", Call{Method: http.MethodDelete, Path: "/seats/4"}},
	}
	for _, sha := range shapes {
		It("reads a call "+sha.name+" once", func(ctx SpecContext) {
			bre := newBreaker()
			cal := sha.call
			cal.Address = bre.lis.Addr().String()
			cal.Header = http.Header{"Idempotency-Key": {"key"}}
			inv := New(&net.Dialer{}, 0)
			_, err := inv.Invoke(ctx, Call{Method: http.MethodGet, Address: cal.Address, Path: "/warm"})
			Expect(err).NotTo(HaveOccurred())
			_, err = inv.Invoke(ctx, cal)
			Expect(err).To(BeAssignableToTypeOf(&MayHaveRunError{}))
			Expect(bre.read.Load()).To(Equal(int64(1)))
		})
		It("reads a call "+sha.name+" twice from a plain client on a kept connection", func(ctx SpecContext) {
			bre := newBreaker()
			url := "http://" + bre.lis.Addr().String()
			cli := &http.Client{Transport: &http.Transport{}}
			res, err := cli.Get(url + "/warm")
			Expect(err).NotTo(HaveOccurred())
			res.Body.Close()
			req, err := http.NewRequestWithContext(ctx, sha.call.Method, url+sha.call.Path, bytes.NewReader(sha.call.Body))
			Expect(err).NotTo(HaveOccurred())
			req.Header.Set("Idempotency-Key", "key")
			_, err = cli.Do(req)
			Expect(err).To(HaveOccurred())
			Expect(bre.read.Load()).To(Equal(int64(2)))
		})
	}
})

var _ = Describe("Invoke", func() {
	answers := []struct {
		name   string
		handle http.HandlerFunc
		want   error
	}{
		{"a refusal that says not run", func(wri http.ResponseWriter, _ *http.Request) {
			wri.Header().Set(HeaderNotRun, "true")
			wri.WriteHeader(http.StatusServiceUnavailable)
		}, &NotRunError{}},
		{"an answer that is cut off", func(wri http.ResponseWriter, _ *http.Request) {
			wri.Header().Set("Content-Length", "10")
			io.WriteString(wri, "half")
		}, &MayHaveRunError{}},
		{"an answer over the limit", func(wri http.ResponseWriter, _ *http.Request) {
			io.WriteString(wri, strings.Repeat("x", 65))
		}, &MayHaveRunError{}},
	}
	for _, ans := range answers {
		It("types "+ans.name, func(ctx SpecContext) {
			srv := httptest.NewServer(ans.handle)
			defer srv.Close()
			_, err := New(&net.Dialer{}, 64).Invoke(ctx, Call{Method: http.MethodPost, Address: srv.Listener.Addr().String(), Path: "/"})
			Expect(err).To(BeAssignableToTypeOf(ans.want))
		})
	}

	It("says not run when nothing listens, and when the call is cancelled before it is sent", func(ctx SpecContext) {
		bre := newBreaker()
		bre.lis.Close()
		cal := Call{Method: http.MethodPost, Address: bre.lis.Addr().String(), Path: "/"}
		_, err := New(&net.Dialer{}, 0).Invoke(ctx, cal)
		Expect(err).To(BeAssignableToTypeOf(&NotRunError{}))
		gone, cancel := context.WithCancel(ctx)
		cancel()
		_, err = New(&net.Dialer{}, 0).Invoke(gone, cal)
		Expect(err).To(BeAssignableToTypeOf(&NotRunError{}))
	})

	It("says may have run when the call is cancelled while it runs", func(ctx SpecContext) {
		running, cancel := context.WithCancel(ctx)
		release := make(chan struct{})
		srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			cancel()
			<-release
		}))
		defer srv.Close()
		defer close(release)
		_, err := New(&net.Dialer{}, 0).Invoke(running, Call{Method: http.MethodPost, Address: srv.Listener.Addr().String(), Path: "/", Body: []byte("1")})
		Expect(err).To(BeAssignableToTypeOf(&MayHaveRunError{}))
	})

	It("passes the service's own answer on, follows no redirect and drops the headers of the connection", func(ctx SpecContext) {
		calls := 0
		srv := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
			calls++
			Expect(req.Header.Get("X-Request-Id")).To(Equal("r1"))
			Expect(req.Header.Get(HeaderColdLimit)).To(Equal("3"))
			Expect(req.Header.Get("Secret")).To(BeEmpty())
			wri.Header().Set("Location", "/again")
			wri.Header().Set("Keep-Alive", "timeout=5")
			wri.WriteHeader(http.StatusTemporaryRedirect)
			io.WriteString(wri, "moved")
		}))
		defer srv.Close()
		hdr := http.Header{"Connection": {"Secret"}, "Secret": {"1"}}
		res, err := New(&net.Dialer{}, 0).Invoke(ctx, Call{Method: http.MethodPost, Address: srv.Listener.Addr().String(), Path: "/", Header: hdr, RequestID: "r1", ColdLimit: 3, Body: []byte("1")})
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Status).To(Equal(http.StatusTemporaryRedirect))
		Expect(string(res.Body)).To(Equal("moved"))
		Expect(res.Header).NotTo(HaveKey("Keep-Alive"))
		Expect(calls).To(Equal(1))
	})
})
