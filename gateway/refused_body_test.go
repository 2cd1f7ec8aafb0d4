package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against connections that are held by the bodies of requests that are refused.
var _ = Describe("The body of a request that is refused", func() {
	for _, one := range []struct {
		name, head string
		status     int
	}{
		{"is not waited for if its length is over the limit", "X-Key: key\r\nContent-Length: 400000000\r\n", http.StatusRequestEntityTooLarge},
		{"is not waited for long without a key", "Content-Length: 1000\r\n", http.StatusUnauthorized},
		{"is not waited for long without a key, in chunks", "Transfer-Encoding: chunked\r\n", http.StatusUnauthorized},
	} {
		It(one.name, func() {
			wor := newWorld(safe, newWorker(closing("1.1", "", "x", closeConn)))
			con, err := net.Dial("tcp", wor.web.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = con.Close() })
			Expect(con.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
			_, err = io.WriteString(con, "POST /p/x HTTP/1.1\r\nHost: h.example\r\nX-Id: one\r\n"+one.head+"\r\n")
			Expect(err).NotTo(HaveOccurred())
			buf := bufio.NewReader(con)
			res, err := http.ReadResponse(buf, nil)
			Expect(err).NotTo(HaveOccurred())
			defer func() { _ = res.Body.Close() }()
			Expect(res.StatusCode).To(Equal(one.status))
			_, err = io.ReadAll(buf)
			Expect(err).NotTo(HaveOccurred(), "the connection ends")
		})
	}
})
