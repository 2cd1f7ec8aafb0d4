package acceptor_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/acceptor"
)

// BenchmarkRequest sends requests on a kept connection to a server without and with an acceptor.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []struct {
		name  string
		bytes int
	}{{"1KB", 1 << 10}, {"4MB", 4 << 20}} {
		body := bytes.Repeat([]byte{'a'}, size.bytes)
		for name, counted := range map[string]bool{"plain": false, "acceptor": true} {
			b.Run(size.name+"/"+name, func(b *testing.B) {
				srv := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
					_, _ = io.Copy(io.Discard, req.Body)
				}))
				if counted {
					acc := acceptor.New(acceptor.Options{Memory: 64 << 20, DescriptorShare: 0.5, Clock: clockwork.NewRealClock(), Logger: logrus.NewEntry(logrus.New())})
					acc.Watch(srv.Config)
					srv.Listener = acc.ListenRequests(srv.Listener, func() acceptor.Limits { return acceptor.Limits{HeaderBytes: 16 << 10, HeaderTimeout: time.Second} })
				}
				srv.Start()
				defer srv.Close()
				b.ReportAllocs()
				for b.Loop() {
					res, err := srv.Client().Post(srv.URL, "text/plain", bytes.NewReader(body))
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, res.Body)
					_ = res.Body.Close()
				}
			})
		}
	}
}
