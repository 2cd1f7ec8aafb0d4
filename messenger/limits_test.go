package messenger

import (
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"os"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/counter"
)

// ledger is the account of the connections of a listener, which has room for a number of bytes.
type ledger struct {
	mtx     sync.Mutex
	room    int64
	most    int64
	refused int
}

func (led *ledger) use(num int64) bool {
	led.mtx.Lock()
	defer led.mtx.Unlock()
	led.most = max(led.most, num)
	return num <= led.room
}

// mostUsed returns the most that a connection has needed.
func (led *ledger) mostUsed() int64 {
	led.mtx.Lock()
	defer led.mtx.Unlock()
	return led.most
}

// countedConn is a connection with an account.
type countedConn struct {
	net.Conn
	led *ledger
}

func (con countedConn) Idle() bool             { return con.led.use(0) }
func (con countedConn) Message(num int64) bool { return con.led.use(num) }
func (con countedConn) Calls(num int64) bool   { return con.led.use(num) }
func (con countedConn) Late()                  {}

func (con countedConn) Refused() {
	con.led.mtx.Lock()
	defer con.led.mtx.Unlock()
	con.led.refused++
}

// countedListener fails once for want of descriptors before it accepts connections with an account.
type countedListener struct {
	net.Listener
	led    *ledger
	failed bool
}

func (lis *countedListener) Accept() (net.Conn, error) {
	if !lis.failed {
		lis.failed = true
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	con, err := lis.Listener.Accept()
	return countedConn{Conn: con, led: lis.led}, err
}

var _ = Describe("A listener", func() {
	const limit = 64 << 10
	var led *ledger
	var lis *Listener
	var cal *callee

	BeforeEach(func() {
		led = &ledger{room: limit + 3*callBytes}
		cal = &callee{started: make(chan struct{}, 100), release: make(chan struct{})}
		var err error
		lis, err = Listen("127.0.0.1:0", cal, Options{
			Counter: &counter.Counter{}, MessageBytes: limit, Calls: 3, Wrap: func(raw net.Listener) net.Listener { return &countedListener{Listener: raw, led: led} },
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(lis.Close)
	})

	dial := func() net.Conn {
		con, err := net.Dial("tcp", lis.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = con.Close() })
		Expect(con.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		return con
	}

	It("answers a call of the largest size, and counts it", func() {
		mes := New(net.IPv4(127, 0, 0, 1), &counter.Counter{})
		defer mes.Close()
		text := string(make([]byte, limit-100))
		ans, err := Call[string, string](context.Background(), mes, lis.Address(), "Echo", text)
		Expect(err).NotTo(HaveOccurred())
		Expect(ans).To(Equal(text))
		Expect(led.mostUsed()).To(BeNumerically(">=", len(text)))
	})

	// The lengths are those of package gob: a byte below 128, or the negated number of the bytes that follow.
	lengths := []struct {
		name string
		data []byte
	}{
		{"above the largest size", []byte{0xfd, 1, 0, 1}},
		{"of 1 GB", []byte{0xfc, 0x40, 0, 0, 0}},
		{"of eight bytes", []byte{0xf8, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}},
		{"that is no number", []byte{0x80}},
	}
	for _, one := range lengths {
		It("closes a connection that announces a message "+one.name, func() {
			con := dial()
			for _, part := range one.data {
				_, err := con.Write([]byte{part})
				Expect(err).NotTo(HaveOccurred())
			}
			_, err := io.ReadAll(con)
			Expect(os.IsTimeout(err)).To(BeFalse())
			Expect(led.mostUsed()).To(BeZero())
			led.mtx.Lock()
			defer led.mtx.Unlock()
			Expect(led.refused).To(Equal(1))
		})
	}

	It("closes a connection for whose message there is no room", func() {
		led.mtx.Lock()
		led.room = 1000
		led.mtx.Unlock()
		con := dial()
		_, err := con.Write([]byte{0xfe, 0x40, 0})
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(con)
		Expect(os.IsTimeout(err)).To(BeFalse())
	})

	It("reads no more calls than may be without a response, and answers all of them", func() {
		const calls = 10
		con := dial()
		enc, dec := gob.NewEncoder(con), gob.NewDecoder(con)
		for num := range uint64(calls) {
			Expect(enc.Encode(rpc.Request{ServiceMethod: "Entry.Hang", Seq: num})).To(Succeed())
			Expect(enc.Encode("x")).To(Succeed())
		}
		for range 3 {
			Eventually(cal.started).Should(Receive())
		}
		Consistently(cal.started, "100ms").ShouldNot(Receive())
		close(cal.release)
		for range calls {
			var res rpc.Response
			var ans string
			Expect(dec.Decode(&res)).To(Succeed())
			Expect(dec.Decode(&ans)).To(Succeed())
			Expect(res.Error).To(BeEmpty())
		}
		Expect(led.mostUsed()).To(BeNumerically("<=", limit+3*callBytes))
	})
})
