//go:build soak

package prover

import (
	"net"
	"sync"
	"time"

	. "github.com/onsi/gomega"
)

const copyBuffer = 32 << 10

// network carries the connections between entries and can cut each direction of each pair.
// Bytes of a cut direction are held back, as a network without acknowledgements does, and pass when it heals.
type network struct {
	mtx       sync.Mutex
	cuts      map[[2]string]int
	delay     time.Duration
	carried   map[net.Conn]string
	changed   chan struct{}
	closed    chan struct{}
	listeners []net.Listener
}

func newNetwork() *network {
	return &network{cuts: map[[2]string]int{}, carried: map[net.Conn]string{}, changed: make(chan struct{}), closed: make(chan struct{})}
}

// forward passes connections to one address on to the entry with the IP address and port.
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
			go ntw.carry(con, ip, port)
		}
	}()
}

func (ntw *network) carry(con net.Conn, ip, port string) {
	defer con.Close()
	from := con.RemoteAddr().(*net.TCPAddr).IP.String()
	if !ntw.await(from, ip) {
		return
	}
	// The receiver sees the sender's own address.
	dia := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	out, err := dia.Dial("tcp", net.JoinHostPort(ip, port))
	if err != nil {
		return
	}
	defer out.Close()
	ntw.hold(out, ip)
	defer ntw.release(out)
	ended := make(chan struct{}, 2)
	go ntw.pass(con, out, from, ip, ended)
	go ntw.pass(out, con, ip, from, ended)
	select {
	case <-ended:
	case <-ntw.closed:
	}
}

func (ntw *network) pass(src, dst net.Conn, from, to string, ended chan struct{}) {
	defer func() { ended <- struct{}{} }()
	buf := make([]byte, copyBuffer)
	for {
		num, err := src.Read(buf)
		if !ntw.await(from, to) || err != nil {
			return
		}
		ntw.lag()
		if _, err := dst.Write(buf[:num]); err != nil {
			return
		}
	}
}

// await waits until the direction is open; it reports false when the network is closed.
func (ntw *network) await(from, to string) bool {
	for {
		ntw.mtx.Lock()
		cut, changed := ntw.cuts[[2]string{from, to}] > 0, ntw.changed
		ntw.mtx.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-ntw.closed:
			return false
		}
	}
}

func (ntw *network) cut(from, to string, by int) {
	ntw.mtx.Lock()
	defer ntw.mtx.Unlock()
	ntw.cuts[[2]string{from, to}] += by
	close(ntw.changed)
	ntw.changed = make(chan struct{})
}

// slow delays all bytes by so much.
func (ntw *network) slow(delay time.Duration) {
	ntw.mtx.Lock()
	defer ntw.mtx.Unlock()
	ntw.delay = delay
}

func (ntw *network) lag() {
	ntw.mtx.Lock()
	delay := ntw.delay
	ntw.mtx.Unlock()
	time.Sleep(delay)
}

func (ntw *network) hold(con net.Conn, ip string) {
	ntw.mtx.Lock()
	defer ntw.mtx.Unlock()
	ntw.carried[con] = ip
}

func (ntw *network) release(con net.Conn) {
	ntw.mtx.Lock()
	defer ntw.mtx.Unlock()
	delete(ntw.carried, con)
}

// reset breaks all connections to an IP address.
func (ntw *network) reset(ip string) {
	ntw.mtx.Lock()
	defer ntw.mtx.Unlock()
	for con, to := range ntw.carried {
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
