package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// lineBuffer is the size of the buffer that lines of a stream are read with.
const lineBuffer = 2048

var _ = Describe("Events with lines longer than the read buffer", func() {
	full := strings.Repeat("x", lineBuffer-len("data: "))
	cases := []struct{ name, first, rest string }{
		{"that end within the event", "", "id: 1\ndata: " + full + "\n"},
		{"that look like an ID", "id: 1\ndata: " + full + "id: 99\n\n", "id: 2\nda"},
		{"of many buffers", "id: 1\ndata: " + strings.Repeat("x", 10*lineBuffer) + "\n\n", "id: 2\nda"},
	}
	for _, cas := range cases {
		It("are relayed whole or not at all, with lines "+cas.name, func() {
			one := newWorker(closing("1.1", "", cas.first+cas.rest, closeConn))
			res := newWorld(resumable, one, newWorker(events(lastEvent, complete))).call(context.Background())
			Expect(res.err).NotTo(HaveOccurred())
			Expect(res.body).To(Equal(cas.first + eventsFrom(1+strings.Count(cas.first, "\n\n"))))
		})
	}

	It("count as progress of their unit", func() {
		var sent strings.Builder
		one, two := newWorker(func(con net.Conn, req *http.Request, body []byte) bool {
			return events(0, func(con net.Conn) {
				for num := 1; num <= 4; num++ {
					piece := fmt.Sprintf("id: %d\ndata: %s\n\n", num, strings.Repeat("x", 2*lineBuffer))
					sent.WriteString(piece)
					chunk(con, piece)
					time.Sleep(500 * time.Millisecond)
				}
				complete(con)
			})(con, req, body)
		}), newWorker(events(lastEvent, complete))
		res := newWorld(resumable, one, two).call(context.Background())
		Expect(res.err).NotTo(HaveOccurred())
		Expect(two.runs()).To(BeZero())
		Expect(res.body).To(Equal(sent.String()))
	})
})
