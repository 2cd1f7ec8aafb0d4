//go:build soak

package prover

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"
)

const copyBuffer = 32 << 10

// network proxies TCP connections between processes and can block each direction between two addresses.
// Bytes in a blocked direction are held back, as in a network that loses packets without acknowledging them, and are delivered once it is unblocked.
type network struct {
	mtx     sync.Mutex
	blocked map[[2]string]int
	// refused counts the faults that reset new connections from an IP address to any but the store.
	refused     map[string]int
	delay       time.Duration
	connections map[net.Conn]string
	changed     chan struct{}
	closed      chan struct{}
	listeners   []net.Listener
}

func newNetwork() *network {
	return &network{blocked: map[[2]string]int{}, refused: map[string]int{}, connections: map[net.Conn]string{}, changed: make(chan struct{}), closed: make(chan struct{})}
}

// forward listens at address and proxies its connections to the given IP address and port.
func (ntw *network) forward(address, ip, port string) {
	lis, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	ntw.listeners = append(ntw.listeners, lis)
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go ntw.proxy(con, ip, port)
		}
	}()
}

func (ntw *network) proxy(con net.Conn, ip, port string) {
	defer con.Close()
	from := con.RemoteAddr().(*net.TCPAddr).IP.String()
	if ip != storeIP && ntw.refuses(from) {
		_ = con.(*net.TCPConn).SetLinger(0)
		return
	}
	if !ntw.awaitOpen(from, ip) {
		return
	}
	// Dials from the sender's address, so that the receiver sees it as the source.
	dia := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	out, err := dia.Dial("tcp", net.JoinHostPort(ip, port))
	if err != nil {
		return
	}
	defer out.Close()
	ntw.track(out, ip)
	defer ntw.untrack(out)
	ended := make(chan struct{}, 2)
	go ntw.copyDirection(con, out, from, ip, ended)
	go ntw.copyDirection(out, con, ip, from, ended)
	select {
	case <-ended:
	case <-ntw.closed:
	}
}

func (ntw *network) copyDirection(src, dst net.Conn, from, to string, ended chan struct{}) {
	defer func() { ended <- struct{}{} }()
	buf := make([]byte, copyBuffer)
	for {
		num, err := src.Read(buf)
		if !ntw.awaitOpen(from, to) {
			return
		}
		if err != nil {
			// An answer may end with its connection: only a clean end may look like one.
			if tcp, ok := dst.(*net.TCPConn); ok && !errors.Is(err, io.EOF) {
				_ = tcp.SetLinger(0)
			}
			return
		}
		ntw.applyDelay()
		if _, err := dst.Write(buf[:num]); err != nil {
			return
		}
	}
}

// awaitOpen waits until the direction is not blocked. It returns false when the network is closed.
func (ntw *network) awaitOpen(from, to string) bool {
	for {
		ntw.mtx.Lock()
		blocked, changed := ntw.blocked[[2]string{from, to}] > 0, ntw.changed
		ntw.mtx.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-ntw.closed:
			return false
		}
	}
}

// addRefusal adds by to the number of faults that reset new connections from an IP address to backend servers.
func (ntw *network) addRefusal(from string, by int) {
	ntw.mtx.Lock()
	defer ntw.mtx.Unlock()
	ntw.refused[from] += by
}

func (ntw *network) refuses(from string) bool {
	ntw.mtx.Lock()
	defer ntw.mtx.Unlock()
	return ntw.refused[from] > 0
}

// addBlock adds by to the number of blocks on a direction, which is open while the number is 0.
func (ntw *network) addBlock(from, to string, by int) {
	ntw.mtx.Lock()
	defer ntw.mtx.Unlock()
	ntw.blocked[[2]string{from, to}] += by
	close(ntw.changed)
	ntw.changed = make(chan struct{})
}

// setDelay sets the delay that is added before each write.
func (ntw *network) setDelay(delay time.Duration) {
	ntw.mtx.Lock()
	defer ntw.mtx.Unlock()
	ntw.delay = delay
}

func (ntw *network) applyDelay() {
	ntw.mtx.Lock()
	delay := ntw.delay
	ntw.mtx.Unlock()
	time.Sleep(delay)
}

func (ntw *network) track(con net.Conn, ip string) {
	ntw.mtx.Lock()
	defer ntw.mtx.Unlock()
	ntw.connections[con] = ip
}

func (ntw *network) untrack(con net.Conn) {
	ntw.mtx.Lock()
	defer ntw.mtx.Unlock()
	delete(ntw.connections, con)
}

// reset closes all connections to an IP address.
func (ntw *network) reset(ip string) {
	ntw.mtx.Lock()
	defer ntw.mtx.Unlock()
	for con, to := range ntw.connections {
		if to == ip {
			_ = con.Close()
		}
	}
}

func (ntw *network) close() {
	close(ntw.closed)
	for _, lis := range ntw.listeners {
		_ = lis.Close()
	}
}
