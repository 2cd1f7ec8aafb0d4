//go:build soak

package prover

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"
)

const (
	copyBuffer         = 32 << 10
	maxQueuedDatagrams = 10000
)

// network proxies TCP connections between processes and can block each direction between two addresses.
// Bytes in a blocked direction are held back, as in a network that loses packets without acknowledging them, and are delivered once it is unblocked.
type network struct {
	mtx     sync.Mutex
	blocked map[[2]string]int
	// refused counts the faults that reset new connections from an IP address to any but the store.
	refused map[string]int
	delay   time.Duration
	// datagramDelay is how long each datagram is queued.
	datagramDelay time.Duration
	connections   map[net.Conn]proxied
	changed       chan struct{}
	closed        chan struct{}
	listeners     []io.Closer
}

// proxied is a connection to an IP address; bytes pass it until silent is closed.
type proxied struct {
	ip     string
	silent chan struct{}
}

func newNetwork() *network {
	return &network{blocked: map[[2]string]int{}, refused: map[string]int{}, connections: map[net.Conn]proxied{}, changed: make(chan struct{}), closed: make(chan struct{})}
}

// forward listens at address and proxies its connections to the given IP address and port.
func (ntw *network) forward(address, ip, port string) {
	ntw.forwardEdited(address, ip, port, nil)
}

// forwardEdited is like forward; edit, unless it is nil, changes the bytes that are sent there but not their number.
func (ntw *network) forwardEdited(address, ip, port string, edit func(data []byte)) {
	lis, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	ntw.listeners = append(ntw.listeners, lis)
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go ntw.proxy(con, ip, port, edit)
		}
	}()
}

// forwardDatagrams sends the datagrams for one address to another one.
func (ntw *network) forwardDatagrams(address, to string) {
	con, err := net.ListenPacket("udp", address)
	Expect(err).NotTo(HaveOccurred())
	ntw.listeners = append(ntw.listeners, con)
	out, err := net.Dial("udp", to)
	Expect(err).NotTo(HaveOccurred())
	queue := make(chan queuedDatagram, maxQueuedDatagrams)
	go func() {
		defer close(queue)
		for buf := make([]byte, copyBuffer); ; {
			num, _, err := con.ReadFrom(buf)
			if err != nil {
				return
			}
			queue <- queuedDatagram{data: bytes.Clone(buf[:num]), due: time.Now().Add(ntw.currentDatagramDelay())}
		}
	}()
	go func() {
		defer out.Close()
		for dat := range queue {
			time.Sleep(time.Until(dat.due))
			_, _ = out.Write(dat.data)
		}
	}()
}

// queuedDatagram is a datagram and when it is delivered.
type queuedDatagram struct {
	data []byte
	due  time.Time
}

// setDatagramDelay sets the delay of datagrams, which arrive in order.
func (ntw *network) setDatagramDelay(delay time.Duration) {
	ntw.mtx.Lock()
	defer ntw.mtx.Unlock()
	ntw.datagramDelay = delay
}

func (ntw *network) currentDatagramDelay() time.Duration {
	ntw.mtx.Lock()
	defer ntw.mtx.Unlock()
	return ntw.datagramDelay
}

func (ntw *network) proxy(con net.Conn, ip, port string, edit func(data []byte)) {
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
	silent := ntw.track(out, ip)
	defer ntw.untrack(out)
	ended := make(chan struct{}, 2)
	go ntw.copyDirection(con, out, [2]string{from, ip}, silent, edit, ended)
	go ntw.copyDirection(out, con, [2]string{ip, from}, silent, nil, ended)
	select {
	case <-ended:
	case <-ntw.closed:
	}
}

func (ntw *network) copyDirection(src, dst net.Conn, way [2]string, silent chan struct{}, edit func(data []byte), ended chan struct{}) {
	defer func() { ended <- struct{}{} }()
	buf := make([]byte, copyBuffer)
	for {
		num, err := src.Read(buf)
		if !ntw.awaitOpen(way[0], way[1]) {
			return
		}
		select {
		case <-silent:
			<-ntw.closed
			return
		default:
		}
		if edit != nil {
			edit(buf[:num])
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

func (ntw *network) track(con net.Conn, ip string) (silent chan struct{}) {
	ntw.mtx.Lock()
	defer ntw.mtx.Unlock()
	silent = make(chan struct{})
	ntw.connections[con] = proxied{ip: ip, silent: silent}
	return silent
}

// silence has a share of the open connections pass no more bytes and no ends, for good. Their ends go on accepting bytes until their buffers are full.
func (ntw *network) silence(rng *rand.Rand, share float64) (num int) {
	ntw.mtx.Lock()
	defer ntw.mtx.Unlock()
	for con, one := range ntw.connections {
		if rng.Float64() < share {
			close(one.silent)
			delete(ntw.connections, con)
			num++
		}
	}
	return num
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
	for con, one := range ntw.connections {
		if one.ip == ip {
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
