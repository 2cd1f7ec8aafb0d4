package hoster_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/hoster"
)

var _ = Describe("Server", func() {
	It("frees its address before Close returns, also right after the start", func() {
		hst := hoster.New("127.0.42.1:9001", http.NotFoundHandler())
		for range 2000 {
			Expect(hst.Start()).To(Succeed())
			hst.Close()
		}
	})
})
