package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/dispatcher"
	"github.com/lovagelever/lovagelever/registrar"
	"github.com/lovagelever/lovagelever/router"
)

// plainly writes a response without a signature.
func plainly(status, headers string) answerFunc {
	return func(con net.Conn, _ *http.Request, _ []byte) bool {
		_, _ = io.WriteString(con, "HTTP/1.1 "+status+"\r\n"+headers+"Content-Length: 0\r\n\r\n")
		return true
	}
}

// signedWith writes a signed response with more headers.
func signedWith(status int, headers string) answerFunc {
	return func(con net.Conn, req *http.Request, _ []byte) bool {
		head(con, req, status, headers+"Content-Length: 0\r\n")
		return true
	}
}

var _ = Describe("Gateway before a backend server that leaves", func() {
	leaves := registrar.Instance{ID: "i0", Started: 7}
	cases := []struct {
		name   string
		route  router.Route
		answer answerFunc
		want   []registrar.Instance
	}{
		{"a success", unsafe, signedWith(200, "X-Leaving: 1\r\n"), []registrar.Instance{leaves}},
		{"a failure", unsafe, signedWith(500, "X-Leaving: 1\r\n"), []registrar.Instance{leaves}},
		{"a rejection", safe, plainly("503 Full", "X-Not-Run: 1\r\nX-Leaving: 1\r\n"), []registrar.Instance{leaves}},
		{"a rejected stream", resumable, plainly("503 Full", "X-Not-Run: 1\r\nX-Leaving: 1\r\n"), []registrar.Instance{leaves}},
		{"a failed stream", notResumable, signedWith(500, "X-Leaving: 1\r\n"), []registrar.Instance{leaves}},
		{"an answer without a signature", unsafe, plainly("200 OK", "X-Leaving: 1\r\n"), []registrar.Instance{leaves}},
		{"a misdirected request at the same server", safe, plainly("421 Other", "X-Not-Run: 1\r\nX-Leaving: 1\r\nX-Server-Id: i0\r\n"), []registrar.Instance{leaves}},
		{"a misdirected request at another server", safe, plainly("421 Other", "X-Not-Run: 1\r\nX-Leaving: 1\r\nX-Server-Id: j\r\n"), nil},
		{"a misdirected request at an unknown server", safe, plainly("421 Other", "X-Not-Run: 1\r\nX-Leaving: 1\r\n"), nil},
		{"a success of a server that stays", unsafe, signedWith(200, ""), nil},
	}
	for _, cas := range cases {
		It("learns it from "+cas.name, func() {
			wor := newWorld(cas.route, newWorker(cas.answer))
			wor.call(context.Background())
			var got []registrar.Instance
			for len(wor.leaving) > 0 {
				got = append(got, <-wor.leaving)
			}
			Expect(got).To(Equal(cas.want))
		})
	}

	// Guards against requests that reach a server long after it has left, because their connections take long to open.
	for _, cas := range []struct {
		name   string
		route  router.Route
		answer answerFunc
	}{
		{"a request", unsafe, whole(200, "")},
		{"a stream", notResumable, pausing(0, 0)},
	} {
		It("sends it no request whose connection opens when it has begun to leave: "+cas.name, func() {
			one, two := newWorker(cas.answer), newWorker(cas.answer)
			wor := newWorld(cas.route, one, two)
			wor.dialer.delay.Store(int64(500 * time.Millisecond))
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				wor.call(context.Background())
			}()
			time.Sleep(100 * time.Millisecond)
			wor.dialer.delay.Store(0)
			wor.setUnits(dispatcher.Stopping, one, two)
			Eventually(ended, "5s").Should(BeClosed())
			Expect(one.runs()).To(BeZero())
			Expect(two.runs()).To(Equal(1))
		})
	}

	It("learns it from the header of a stream, before its first event", func() {
		wor := newWorld(resumable, newWorker(func(con net.Conn, req *http.Request, _ []byte) bool {
			head(con, req, http.StatusOK, "X-Leaving: 1\r\nTransfer-Encoding: chunked\r\n")
			time.Sleep(500 * time.Millisecond)
			complete(con)
			return false
		}))
		go wor.call(context.Background())
		Eventually(wor.leaving, "400ms").Should(Receive(Equal(leaves)))
	})
})
