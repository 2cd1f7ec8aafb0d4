package collector_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing/iotest"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/collector"
	"github.com/lovagelever/lovagelever/reserver"
)

// endless is a body without end that counts what was read of it.
type endless struct{ read int64 }

func (end *endless) Read(buf []byte) (int, error) {
	end.read += int64(len(buf))
	return len(buf), nil
}

// pausing is a body that ends its first read once resumed is closed.
type pausing struct {
	data    []byte
	reading chan struct{}
	resumed chan struct{}
}

func (pau *pausing) Read(buf []byte) (int, error) {
	if len(pau.data) == 0 {
		close(pau.reading)
		<-pau.resumed
		return 0, io.EOF
	}
	num := copy(buf, pau.data)
	pau.data = pau.data[num:]
	return num, nil
}

var _ = Describe("Collector", func() {
	const limit = 1 << 20
	cases := []struct {
		name   string
		size   int
		length int64
		whole  bool
	}{
		{"an empty body", 0, 0, true},
		{"a small body", 100, 100, true},
		{"a body without a length", 300 << 10, -1, true},
		{"a body of the largest size", limit, limit, true},
		{"a body of the largest size without a length", limit, -1, true},
		{"a body that is one byte too large", limit + 1, -1, false},
		{"a length that is too large", 10, limit + 1, false},
	}
	for _, cas := range cases {
		It("reads within its limit "+cas.name, func() {
			data := make([]byte, cas.size)
			for num := range data {
				data[num] = byte(num >> 8)
			}
			got, err := collector.New(limit, limit).Read(bytes.NewReader(data), cas.length)
			if !cas.whole {
				Expect(errors.Is(err, collector.ErrTooLarge)).To(BeTrue(), "%v", err)
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(bytes.Equal(got, data)).To(BeTrue())
		})
	}

	It("stops reading a body without end", func() {
		src := &endless{}
		_, err := collector.ReadAll(src, limit)
		Expect(errors.Is(err, collector.ErrTooLarge)).To(BeTrue())
		Expect(src.read).To(BeNumerically("<=", limit+64<<10))
	})

	It("returns the error of a body that is broken off", func() {
		_, err := collector.ReadAll(io.MultiReader(bytes.NewReader([]byte("half")), iotest.ErrReader(io.ErrUnexpectedEOF)), limit)
		Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue())
	})

	It("limits the sum of large bodies, reads small ones meanwhile, and large ones again afterwards", func() {
		col := collector.New(limit, limit)
		large := bytes.Repeat([]byte("x"), limit*3/4)
		one := &pausing{data: large, reading: make(chan struct{}), resumed: make(chan struct{})}
		ended := make(chan error)
		go func() {
			_, err := col.Read(one, -1)
			ended <- err
		}()
		Eventually(one.reading).Should(BeClosed())
		_, err := col.Read(bytes.NewReader(large), -1)
		Expect(errors.Is(err, collector.ErrTooLarge)).To(BeTrue())
		_, err = col.Read(bytes.NewReader(large[:32<<10]), -1)
		Expect(err).NotTo(HaveOccurred())
		close(one.resumed)
		Expect(<-ended).NotTo(HaveOccurred())
		_, err = col.Read(bytes.NewReader(large), -1)
		Expect(err).NotTo(HaveOccurred())
	})
})

var _ = Describe("Body within a shared budget", func() {
	bodies := []struct {
		name string
		size int
		held int64
	}{
		{"empty", 0, 512},
		{"small", 1000, 1001},
		{"large", 300 << 10, 320 << 10},
	}
	for _, cas := range bodies {
		It("is counted until it is written: "+cas.name, func() {
			res := reserver.New(reserver.Options{Budget: 2 << 20})
			data := bytes.Repeat([]byte("x"), cas.size)
			bod, err := collector.NewWithin(1<<20, res.Account(reserver.Responses)).ReadBody(bytes.NewReader(data), int64(cas.size))
			Expect(err).NotTo(HaveOccurred())
			Expect(bod.Size()).To(BeNumerically("==", cas.size))
			Expect(res.Held(reserver.Responses)).To(Equal(cas.held))
			var out bytes.Buffer
			Expect(bod.WriteTo(&out)).To(BeNumerically("==", cas.size))
			Expect(bytes.Equal(out.Bytes(), data)).To(BeTrue())
			bod.Release()
			Expect(res.Held(reserver.Responses)).To(BeZero())
		})

		It("is joined: "+cas.name, func() {
			res := reserver.New(reserver.Options{Budget: 2 << 20})
			data := bytes.Repeat([]byte("x"), cas.size)
			bod, err := collector.NewWithin(1<<20, res.Account(reserver.Requests)).ReadBody(bytes.NewReader(data), -1)
			Expect(err).NotTo(HaveOccurred())
			out, err := bod.Join()
			Expect(err).NotTo(HaveOccurred())
			Expect(bytes.Equal(out, data)).To(BeTrue())
			bod.Release()
			Expect(res.Held(reserver.Requests)).To(BeZero())
		})
	}

	It("is given up without room, and releases what it held", func() {
		res := reserver.New(reserver.Options{Budget: 512 << 10})
		col := collector.NewWithin(1<<20, res.Account(reserver.Responses))
		_, err := col.ReadBody(&endless{}, -1)
		Expect(errors.Is(err, collector.ErrNoRoom)).To(BeTrue())
		Expect(errors.Is(err, collector.ErrTooLarge)).To(BeTrue())
		Expect(res.Held(reserver.Responses)).To(BeZero())
		_, err = col.ReadBody(bytes.NewReader(make([]byte, 200<<10)), -1)
		Expect(err).NotTo(HaveOccurred())
	})

	It("releases what was not written when the caller leaves", func() {
		res := reserver.New(reserver.Options{Budget: 2 << 20})
		bod, err := collector.NewWithin(1<<20, res.Account(reserver.Responses)).ReadBody(bytes.NewReader(make([]byte, 300<<10)), -1)
		Expect(err).NotTo(HaveOccurred())
		one, two := net.Pipe()
		Expect(two.Close()).To(Succeed())
		_, err = bod.WriteTo(one)
		Expect(err).To(HaveOccurred())
		Expect(res.Held(reserver.Responses)).To(BeZero())
	})
})

var _ = Describe("Client with the transport", func() {
	heads := []struct{ name, begin, text string }{
		{"a status line", "HTTP/1.1 200 ", "O"},
		{"bytes that are not HTTP", "", "\x00\x01"},
		{"a header line", "HTTP/1.1 200 OK\r\nX: ", "y"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-More: y\r\n"},
		{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nX-More: y\r\n\r\n"},
	}
	for _, cas := range heads {
		It("gives up a response whose head has no end: "+cas.name, func() {
			// Interim answers have a head each; buffers of the sockets hold what the client has not read.
			const most = 6*collector.MaxHeadBytes + 8<<20
			sent := make(chan int, 1)
			address := listen(func(con net.Conn) {
				num, err := io.WriteString(con, cas.begin)
				for block := strings.Repeat(cas.text, 4096/len(cas.text)); err == nil; {
					var more int
					more, err = io.WriteString(con, block)
					num += more
					time.Sleep(100 * time.Microsecond)
				}
				sent <- num
			})
			cli := &http.Client{Transport: collector.NewTransport((&net.Dialer{}).DialContext, 1)}
			began := time.Now()
			_, err := cli.Get("http://" + address)
			Expect(err).To(HaveOccurred())
			Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
			Eventually(sent, "2s").Should(Receive(BeNumerically("<", most)))
		})
	}
})

// listen serves one connection at a time and returns the address.
func listen(serve func(con net.Conn)) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = lis.Close() })
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			_, _ = con.Read(make([]byte, 4096))
			serve(con)
			_ = con.Close()
		}
	}()
	return lis.Addr().String()
}
