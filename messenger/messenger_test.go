package messenger

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/counter"
)

func TestMessenger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "messenger")
}

// callee serves methods that answer, fail, or block until it is released.
type callee struct {
	started chan struct{}
	release chan struct{}
}

func (cal *callee) Echo(req string, ans *string) error {
	*ans = req
	return nil
}

func (cal *callee) Refuse(string, *string) error {
	return errors.Forbiddenf("call")
}

func (cal *callee) Hang(string, *string) error {
	cal.started <- struct{}{}
	<-cal.release
	return nil
}

var _ = Describe("a call", func() {
	var lis *Listener
	var cal *callee
	var mes *Messenger

	BeforeEach(func() {
		var err error
		cal = &callee{started: make(chan struct{}, 1), release: make(chan struct{})}
		lis, err = Listen("127.0.0.1:0", cal, Options{Counter: &counter.Counter{}})
		Expect(err).NotTo(HaveOccurred())
		mes = New(net.IPv4(127, 0, 0, 1), &counter.Counter{})
		DeferCleanup(func() {
			close(cal.release)
			mes.Close()
			lis.Close()
		})
	})

	cases := []struct {
		name   string
		method string
		before func(stop context.CancelFunc)
		during func(stop context.CancelFunc)
		want   error
		remote bool
	}{
		{name: "is answered", method: "Echo"},
		{name: "returns the error of the method", method: "Refuse", remote: true},
		{name: "is not sent when nothing listens on the address", method: "Echo", before: func(context.CancelFunc) { lis.Close() }, want: ErrNotSent},
		{name: "is not sent after its context ended", method: "Echo", before: func(stop context.CancelFunc) { stop() }, want: ErrNotSent},
		{name: "ends with its context", method: "Hang", during: func(stop context.CancelFunc) { stop() }, want: ErrUnreachable},
		{name: "ends with its connection", method: "Hang", during: func(context.CancelFunc) { lis.Close() }, want: ErrUnreachable},
		{name: "ends when this side closes the connection", method: "Hang", during: func(context.CancelFunc) { mes.Disconnect(lis.Address()) }, want: ErrUnreachable},
	}
	for _, cas := range cases {
		It(cas.name, func() {
			ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
			defer stop()
			if cas.before != nil {
				cas.before(stop)
			}
			if cas.during != nil {
				go func() {
					<-cal.started
					cas.during(stop)
				}()
			}
			begun := time.Now()
			ans, err := Call[string, string](ctx, mes, lis.Address(), cas.method, "hello")
			Expect(time.Since(begun)).To(BeNumerically("<", 5*time.Second))
			_, remote := errors.AsType[rpc.ServerError](err)
			Expect(remote).To(Equal(cas.remote))
			for _, typ := range []error{ErrNotSent, ErrUnreachable} {
				Expect(errors.Is(err, typ)).To(Equal(errors.Is(cas.want, typ)), "%v: %v", typ, err)
			}
			if cas.want == nil && !cas.remote {
				Expect(ans).To(Equal("hello"))
			}
		})
	}

	It("dials again after a connection was closed", func() {
		_, err := Call[string, string](context.Background(), mes, lis.Address(), "Echo", "one")
		Expect(err).NotTo(HaveOccurred())
		mes.Disconnect(lis.Address())
		ans, err := Call[string, string](context.Background(), mes, lis.Address(), "Echo", "two")
		Expect(err).NotTo(HaveOccurred())
		Expect(ans).To(Equal("two"))
	})

	It("dials again when a connection returns no data, and does not end the other calls on it", func() {
		proxy, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = proxy.Close() }()
		go func() {
			first, err := proxy.Accept()
			if err != nil {
				return
			}
			defer func() { _ = first.Close() }()
			for {
				con, err := proxy.Accept()
				if err != nil {
					return
				}
				out, err := net.Dial("tcp", lis.Address())
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(out, con) }()
				go func() { _, _ = io.Copy(con, out) }()
			}
		}()
		long, end := context.WithCancel(context.Background())
		waiting := make(chan error, 1)
		go func() {
			_, err := Call[string, string](long, mes, proxy.Addr().String(), "Echo", "long")
			waiting <- err
		}()
		Consistently(waiting, "50ms").ShouldNot(Receive())
		call := func() error {
			ctx, stop := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer stop()
			_, err := Call[string, string](ctx, mes, proxy.Addr().String(), "Echo", "hello")
			return err
		}
		Expect(errors.Is(call(), ErrUnreachable)).To(BeTrue())
		Expect(call()).To(Succeed())
		Consistently(waiting, "50ms").ShouldNot(Receive())
		end()
		Eventually(waiting).Should(Receive())
	})

	// Guards against one silent connection after the other when many have gone silent at the same time.
	It("distrusts all connections without data once one is silent", func() {
		addresses := map[string]string{}
		for _, name := range []string{"idle", "used"} {
			oth, err := Listen("127.0.0.1:0", &callee{}, Options{Counter: &counter.Counter{}})
			Expect(err).NotTo(HaveOccurred())
			defer oth.Close()
			addresses[name] = oth.Address()
		}
		echo := func(name string) {
			_, err := Call[string, string](context.Background(), mes, addresses[name], "Echo", "one")
			Expect(err).NotTo(HaveOccurred())
		}
		echo("idle")
		echo("used")
		ctx, stop := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer stop()
		done := make(chan error, 1)
		go func() {
			_, err := Call[string, string](ctx, mes, lis.Address(), "Hang", "hello")
			done <- err
		}()
		<-cal.started
		echo("used")
		Expect(<-done).To(HaveOccurred())
		Expect(mes.connections).To(HaveLen(1))
		Expect(mes.connections).To(HaveKey(addresses["used"]))
	})

	It("ends with its context when the entry does not read the request", func() {
		nonReader, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = nonReader.Close() }()
		ctx, stop := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer stop()
		done := make(chan error, 1)
		go func() {
			_, err := Call[[]byte, string](ctx, mes, nonReader.Addr().String(), "Echo", make([]byte, 16<<20))
			done <- err
		}()
		var got error
		Eventually(done, 5*time.Second).Should(Receive(&got))
		Expect(errors.Is(got, ErrUnreachable)).To(BeTrue(), "%v", got)
	})
})
