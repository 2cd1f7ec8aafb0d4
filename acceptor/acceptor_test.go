package acceptor_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/lovagelever/lovagelever/acceptor"
)

const (
	headerBytes = 16 << 10
	memory      = 32 << 20
	get         = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	post        = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
)

// site is a server behind an acceptor; requests for /slow wait until it is released.
type site struct {
	acc     *acceptor.Acceptor
	address string
	started chan struct{}
	release chan struct{}
}

func newSite(opt acceptor.Options) *site {
	sit := &site{started: make(chan struct{}, 100), release: make(chan struct{})}
	opt.Clock, opt.Logger = clockwork.NewRealClock(), logrus.NewEntry(logrus.New())
	if opt.Memory == 0 {
		opt.Memory = memory
	}
	if opt.DescriptorShare == 0 {
		opt.DescriptorShare = 0.5
	}
	sit.acc = acceptor.New(opt)
	srv := &http.Server{IdleTimeout: time.Minute, ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(wtr http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		if req.URL.Path == "/slow" {
			sit.started <- struct{}{}
			<-sit.release
		}
		_, _ = fmt.Fprintf(wtr, "%s %s %s", req.Method, req.URL.Path, body)
	})}
	sit.acc.Watch(srv)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	sit.address = lis.Addr().String()
	go func() {
		_ = srv.Serve(sit.acc.ListenRequests(lis, func() acceptor.Limits {
			return acceptor.Limits{HeaderBytes: headerBytes, HeaderTimeout: time.Second}
		}))
	}()
	DeferCleanup(func() { _ = srv.Close() })
	return sit
}

// dial opens a connection on which every read and write must end soon.
func (sit *site) dial() net.Conn {
	con, err := net.Dial("tcp", sit.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = con.Close() })
	Expect(con.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	return con
}

// open opens a connection and waits until the acceptor has as many as given.
func (sit *site) open(text string, want int) net.Conn {
	con := sit.dial()
	_, err := io.WriteString(con, text)
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() int { num, _ := sit.acc.Use(); return num }).Should(Equal(want))
	return con
}

// answer reads one response and returns its status and body.
func answer(buf *bufio.Reader) (status int, head http.Header, body string) {
	res, err := http.ReadResponse(buf, nil)
	Expect(err).NotTo(HaveOccurred())
	text, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	return res.StatusCode, res.Header, string(text)
}

// ended reports whether the other side has closed a connection.
func ended(con net.Conn) bool {
	Expect(con.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
	_, err := con.Read(make([]byte, 1))
	var timeout net.Error
	return err != nil && (!errors.As(err, &timeout) || !timeout.Timeout())
}

// fields returns short header fields.
func fields(num int) string {
	return strings.Repeat("abcd: \r\n", num)
}

var _ = Describe("A request", func() {
	// The pieces are those of a slow network, and of requests that are sent ahead.
	texts := []struct {
		name, text string
		want       []string
	}{
		{"a GET after a GET", get + get, []string{"GET /a ", "GET /a "}},
		{"a GET after a body", post + get, []string{"POST /b hello", "GET /a "}},
		{"a body after a GET", get + post, []string{"GET /a ", "POST /b hello"}},
		{"lines that end with LF", "GET /a HTTP/1.1\nHost: h\n\n" + get, []string{"GET /a ", "GET /a "}},
		{"empty lines after a body", post + "\r\n\r\n" + get, []string{"POST /b hello", "GET /a "}},
	}
	for _, one := range texts {
		It("is served whole however it is cut: "+one.name, func() {
			sit := newSite(acceptor.Options{})
			for cut := 1; cut < len(one.text); cut++ {
				con := sit.dial()
				_, err := io.WriteString(con, one.text[:cut])
				Expect(err).NotTo(HaveOccurred())
				time.Sleep(time.Millisecond)
				_, err = io.WriteString(con, one.text[cut:])
				Expect(err).NotTo(HaveOccurred())
				buf := bufio.NewReader(con)
				for _, want := range one.want {
					_, _, body := answer(buf)
					Expect(body).To(Equal(want), "cut after %q", one.text[:cut])
				}
				_ = con.Close()
			}
		})
	}

	heads := []struct {
		name, head string
		options    acceptor.Options
		status     int
		why        acceptor.Reason
	}{
		{"of the largest size", "X: " + strings.Repeat("a", headerBytes-100) + "\r\n", acceptor.Options{}, 200, ""},
		{"of thousands of fields", fields(1900), acceptor.Options{}, 200, ""},
		{"that is too large", "X: " + strings.Repeat("a", 2*headerBytes) + "\r\n", acceptor.Options{}, 431, acceptor.TooLarge},
		{"for which there is no room", fields(1900), acceptor.Options{Memory: 1 << 20}, 503, acceptor.NoRoom},
	}
	for _, one := range heads {
		It("has a head "+one.name, func() {
			sit := newSite(one.options)
			con := sit.dial()
			_, err := io.WriteString(con, "GET /a HTTP/1.1\r\nHost: h\r\n"+one.head+"\r\n")
			Expect(err).NotTo(HaveOccurred())
			status, head, _ := answer(bufio.NewReader(con))
			Expect(status).To(Equal(one.status))
			Expect(head.Get("Retry-After") != "").To(Equal(status == http.StatusServiceUnavailable))
			if one.why != "" {
				Expect(sit.acc.Count(one.why)).To(Equal(int64(1)))
				Expect(ended(con)).To(BeTrue())
			}
			// What a request needed is given back.
			_ = con.Close()
			Eventually(func() int64 { _, bytes := sit.acc.Use(); return bytes }).Should(BeZero())
		})
	}

	It("whose head doesn't end in time loses its connection, which may wait for longer before", func() {
		sit := newSite(acceptor.Options{})
		con := sit.open(get, 1)
		answer(bufio.NewReader(con))
		time.Sleep(1200 * time.Millisecond)
		_, err := io.WriteString(con, get[:10])
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int64 { return sit.acc.Count(acceptor.Late) }, 3*time.Second).Should(Equal(int64(1)))
		Expect(ended(con)).To(BeTrue())
	})
})

var _ = Describe("An acceptor at its limits", func() {
	const (
		few        = 4
		unfinished = "GET /a HTTP/1.1\r\nHost: h\r\n"
	)
	slow := "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
	// Each text is sent on a connection of its own, in that order, before one more connection comes.
	rows := []struct {
		name    string
		texts   []string
		closes  int
		why     acceptor.Reason
		newcome bool
	}{
		{"closes the oldest unfinished head", []string{get, unfinished, slow, unfinished}, 1, acceptor.Unfinished, true},
		{"closes a connection that has sent nothing", []string{get, slow, "", slow}, 2, acceptor.Unfinished, true},
		{"leaves requests that run", []string{slow, slow, slow, slow}, -1, acceptor.Unfinished, false},
	}
	for _, row := range rows {
		It(row.name, func() {
			sit := newSite(acceptor.Options{Descriptors: 2 * few})
			defer close(sit.release)
			var cons []net.Conn
			for num, text := range row.texts {
				con := sit.open(text, num+1)
				switch text {
				case get:
					answer(bufio.NewReader(con))
				case slow:
					<-sit.started
				case unfinished:
					Eventually(func() int64 { _, bytes := sit.acc.Use(); return bytes }).Should(BeNumerically(">", 0))
				}
				cons = append(cons, con)
			}
			// The server records the end of a response after its client has read it.
			time.Sleep(20 * time.Millisecond)
			// A connection that is refused may be reset before Dial returns.
			last, err := net.Dial("tcp", sit.address)
			if err == nil {
				defer func() { _ = last.Close() }()
			}
			Eventually(func() int64 { return sit.acc.Count(row.why) }).Should(Equal(int64(1)))
			for num, con := range cons {
				Expect(ended(con)).To(Equal(num == row.closes), "connection %d", num)
			}
			Expect(err != nil || ended(last)).To(Equal(!row.newcome))
		})
	}

	It("closes the connection that has been idle longest before it refuses a new one", func() {
		sit := newSite(acceptor.Options{Descriptors: 2 * few})
		defer close(sit.release)
		var cons []net.Conn
		for num := range few {
			con := sit.open(get, num+1)
			answer(bufio.NewReader(con))
			cons = append(cons, con)
		}
		for _, con := range cons[:2] {
			_, err := io.WriteString(con, get)
			Expect(err).NotTo(HaveOccurred())
			answer(bufio.NewReader(con))
		}
		time.Sleep(20 * time.Millisecond)
		last := sit.dial()
		Eventually(func() int64 { return sit.acc.Count(acceptor.Unfinished) + sit.acc.Count(acceptor.Idle) }).Should(Equal(int64(1)))
		_, err := io.WriteString(last, get)
		Expect(err).NotTo(HaveOccurred())
		answer(bufio.NewReader(last))
		for num, con := range cons {
			Expect(ended(con)).To(Equal(num == 2), "connection %d", num)
		}
	})

	It("closes the largest unfinished heads for want of memory, and goes on serving others", func() {
		sit := newSite(acceptor.Options{Memory: 1 << 20})
		small := sit.open(unfinished, 1)
		for num := range 30 {
			_ = num
			con := sit.dial()
			_, err := io.WriteString(con, unfinished+"X: "+strings.Repeat("a", headerBytes-100))
			Expect(err).NotTo(HaveOccurred())
		}
		Eventually(func() int64 { return sit.acc.Count(acceptor.Unfinished) }).Should(BeNumerically(">", 0))
		_, bytes := sit.acc.Use()
		Expect(bytes).To(BeNumerically("<=", 1<<20))
		_, err := io.WriteString(small, "\r\n")
		Expect(err).NotTo(HaveOccurred())
		status, _, _ := answer(bufio.NewReader(small))
		Expect(status).To(Equal(http.StatusOK))
	})

	It("closes the bodies that have been received for longest when there is no memory for bodies", func() {
		sit := newSite(acceptor.Options{})
		begun := "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhe"
		old := sit.open(begun, 1)
		time.Sleep(1200 * time.Millisecond)
		young := sit.open(begun, 2)
		time.Sleep(20 * time.Millisecond)
		for range 3 {
			sit.acc.RelieveBodies()
		}
		Expect(ended(old)).To(BeTrue())
		_, err := io.WriteString(young, "llo")
		Expect(err).NotTo(HaveOccurred())
		Expect(young.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		_, _, body := answer(bufio.NewReader(young))
		Expect(body).To(Equal("POST /b hello"))
	})

	It("makes room when the process is out of memory", func() {
		sit := newSite(acceptor.Options{})
		con := sit.open(unfinished, 1)
		sit.acc.Relieve()
		Expect(ended(con)).To(BeTrue())
	})
})

// failing fails to accept a number of times before it accepts connections.
type failing struct {
	net.Listener
	left int
	err  error
}

func (fai *failing) Accept() (net.Conn, error) {
	if fai.left > 0 {
		fai.left--
		return nil, &net.OpError{Op: "accept", Err: fai.err}
	}
	return fai.Listener.Accept()
}

var _ = Describe("A listener", func() {
	for _, err := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOMEM} {
		It("goes on after "+err.Error(), func() {
			acc := acceptor.New(acceptor.Options{Memory: memory, DescriptorShare: 0.5, Clock: clockwork.NewRealClock(), Logger: logrus.NewEntry(logrus.New())})
			raw, lisErr := net.Listen("tcp", "127.0.0.1:0")
			Expect(lisErr).NotTo(HaveOccurred())
			defer func() { _ = raw.Close() }()
			lis := acc.ListenMessages(&failing{Listener: raw, left: 3, err: err})
			cli, dialErr := net.Dial("tcp", raw.Addr().String())
			Expect(dialErr).NotTo(HaveOccurred())
			defer func() { _ = cli.Close() }()
			con, acceptErr := lis.Accept()
			Expect(acceptErr).NotTo(HaveOccurred())
			Expect(con.Close()).To(Succeed())
			_ = raw.Close()
			_, acceptErr = lis.Accept()
			Expect(errors.Is(acceptErr, net.ErrClosed)).To(BeTrue())
		})
	}
})
