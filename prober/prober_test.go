package prober_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/collector"
	"github.com/lovagelever/lovagelever/prober"
)

var _ = Describe("FetchStatus", func() {
	cases := []struct{ name, text string }{
		{"a string", "x"},
		{"blanks after the status", " "},
	}
	begins := []string{`{"vm":"`, `{"vm":"v"}`}
	for num, cas := range cases {
		It("gives up a status without end: "+cas.name, func(ctx SpecContext) {
			sent, closed := atomic.Int64{}, make(chan struct{})
			web := httptest.NewServer(http.HandlerFunc(func(wtr http.ResponseWriter, _ *http.Request) {
				defer close(closed)
				_, err := io.WriteString(wtr, begins[num])
				for block := strings.Repeat(cas.text, 4096); err == nil; sent.Add(4096) {
					_, err = io.WriteString(wtr, block)
					time.Sleep(50 * time.Microsecond)
				}
			}))
			DeferCleanup(web.Close)
			within, cancel := context.WithTimeout(ctx, 3*time.Second)
			defer cancel()
			cli := &http.Client{Transport: collector.NewTransport((&net.Dialer{}).DialContext, 1)}
			_, err := prober.FetchStatus(within, cli, prober.Target{VM: "v", Address: web.Listener.Addr().String()})
			Expect(errors.Is(err, prober.ErrUnavailable)).To(BeTrue(), "%v", err)
			Eventually(closed, "1s").Should(BeClosed())
			Expect(sent.Load()).To(BeNumerically("<", 8<<20))
		})
	}
})
