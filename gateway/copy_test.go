package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/gateway"
	"github.com/lovagelever/lovagelever/platform/translator"
)

var _ = Describe("A rejection that a faulty server writes once more on a kept connection", func() {
	for _, cas := range []struct {
		name string
		id   func(req *http.Request) string
		want int
	}{
		{"with the ID of the earlier request", func(*http.Request) string { return "one" }, http.StatusBadGateway},
		{"without an ID", func(*http.Request) string { return "" }, http.StatusBadGateway},
		{"not, but a rejection of this request", func(req *http.Request) string { return req.Header.Get("Lovagelever-Request-Id") }, http.StatusServiceUnavailable},
	} {
		// Guards against callers that are told "not run" for a request that a server runs.
		It("says nothing about the next request: "+cas.name, func() {
			one := newWorker(nil)
			one.answer = func(con net.Conn, req *http.Request, _ []byte) bool {
				id := "one"
				if one.runs() > 1 {
					id = cas.id(req)
				}
				if id != "" {
					id = "Lovagelever-Request-Id: " + id + "\r\n"
				}
				_, _ = fmt.Fprintf(con, "HTTP/1.1 503 Busy\r\n%sLovagelever-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
				return true
			}
			wor := newWorldWith(resumable, func(opt *gateway.Options) { opt.HeaderCodec = translator.Translator{} }, one)
			wor.bud.left.Store(0)
			head := func(id string) []string {
				return []string{"Lovagelever-Request-Id", id, "Authorization", "Bearer key"}
			}
			Expect(wor.call(context.Background(), head("one")...).status).To(Equal(http.StatusServiceUnavailable))
			time.Sleep(100 * time.Millisecond)
			Expect(wor.call(context.Background(), head("two")...).status).To(Equal(cas.want))
			Expect(one.runs()).To(Equal(2))
		})
	}
})
