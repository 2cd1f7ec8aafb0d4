//go:build soak

package prover

import (
	"encoding/gob"
	"fmt"
	"net"
	"net/netip"
	"net/rpc"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"

	. "github.com/onsi/gomega"

	"github.com/lovagelever/lovagelever/gateserver"
	"github.com/lovagelever/lovagelever/heartbeater"
	"github.com/lovagelever/lovagelever/platform/archiver"
)

const (
	// sampleInterval is the interval at which the resources of a process are looked at.
	sampleInterval = 50 * time.Millisecond
	// announcedBytes and announcedSent are the announced length of an RPC message and how much of it is sent.
	announcedBytes = 512 << 20
	announcedSent  = 16 << 20
	// datagramBurst is the number of datagrams sent in a row before a pause of a millisecond.
	datagramBurst = 20
)

// requestHead is the beginning of a request that needs a key, and credentials is the rest of its head without the length of its body.
const (
	requestHead = "POST /book/x HTTP/1.1\r\nHost: " + gateHost + "\r\n"
	credentials = "Authorization: Bearer " + gateKey + "\r\nLovagelever-Request-Id: 1234567890abcdef\r\nLovagelever-Deadline-Ms: 8000\r\n"
)

// client is one connection of a client outside the limits.
type client struct {
	con net.Conn
}

// write sends text and reports whether the connection takes more.
func (cli client) write(text string) bool {
	_, err := cli.con.Write([]byte(text))
	return err == nil
}

// wait reads until the connection ends.
func (cli client) wait() {
	for buf := make([]byte, 4096); ; {
		if _, err := cli.con.Read(buf); err != nil {
			return
		}
	}
}

// repeat sends a text again and again until the connection ends.
func (cli client) repeat(text string) {
	for cli.write(text) {
	}
}

// shortFields returns short header fields with different names from the one with a number on.
func shortFields(from, num int) string {
	var out strings.Builder
	for one := range num {
		out.WriteString(strconv.FormatInt(int64(from+one)+46656, 36) + ":\r\n")
	}
	return out.String()
}

func (cli client) endlessFields() {
	for num := 0; cli.write(shortFields(num, 500)); num += 500 {
	}
}

// misbehaviours maps what a client does to how it does it.
var misbehaviours = map[string]func(cli client){
	"endless lines": func(cli client) {
		cli.write(requestHead)
		for num := 0; cli.write(fmt.Sprintf("X-Fill-%d: %s\r\n", num, strings.Repeat("a", 1000))); num++ {
		}
	},
	"an endless line": func(cli client) {
		cli.write(requestHead + "X-Fill: ")
		cli.repeat(strings.Repeat("a", 32<<10))
	},
	"endless fields": func(cli client) {
		cli.write(requestHead)
		cli.endlessFields()
	},
	"fields over the limit, then silence": func(cli client) {
		cli.write(requestHead + shortFields(0, 7500))
		cli.wait()
	},
	"fields inside the limit, then silence": func(cli client) {
		cli.write(requestHead + shortFields(0, 2000))
		cli.wait()
	},
	"whole requests with many fields": func(cli client) {
		cli.write(requestHead + credentials + shortFields(0, 1900) + "Content-Length: 4\r\n\r\nseat")
		cli.wait()
	},
	"empty lines": func(cli client) { cli.repeat(strings.Repeat("\r\n", 16<<10)) },
	"a body over the limit": func(cli client) {
		cli.write(requestHead + credentials + "Content-Length: 400000000\r\n\r\n")
		cli.repeat(strings.Repeat("a", 32<<10))
	},
	"a body that lacks a byte": func(cli client) {
		cli.write(requestHead + credentials + "Content-Length: 4194304\r\n\r\n" + strings.Repeat("a", 4194303))
		cli.wait()
	},
	"a body without a key, then silence": func(cli client) {
		cli.write(requestHead + "Content-Length: 1000\r\n\r\nabc")
		cli.wait()
	},
	"endless chunks": func(cli client) {
		cli.write(requestHead + credentials + "Transfer-Encoding: chunked\r\n\r\n")
		cli.repeat(strings.Repeat("1\r\na\r\n", 4<<10))
	},
	"a chunk extension without end": func(cli client) {
		cli.write(requestHead + credentials + "Transfer-Encoding: chunked\r\n\r\n1;")
		cli.repeat(strings.Repeat("a", 32<<10))
	},
	"endless trailers": func(cli client) {
		cli.write(requestHead + credentials + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n")
		cli.endlessFields()
	},
	"requests sent ahead": func(cli client) {
		cli.repeat(strings.Repeat("GET /none HTTP/1.1\r\nHost: "+gateHost+"\r\n\r\n", 500))
	},
	"an announced message": func(cli client) {
		// The length is a byte count, negated, and the bytes of the number, as in package gob.
		cli.write(string([]byte{0xfc, announcedBytes >> 24 & 0xff, announcedBytes >> 16 & 0xff, announcedBytes >> 8 & 0xff, announcedBytes & 0xff}))
		for range announcedSent >> 15 {
			if !cli.write(strings.Repeat("a", 32<<10)) {
				return
			}
		}
		cli.wait()
	},
	"calls without reading answers": func(cli client) {
		enc := gob.NewEncoder(cli.con)
		for num := uint64(0); ; num++ {
			if enc.Encode(rpc.Request{ServiceMethod: "Entry.Records", Seq: num}) != nil || enc.Encode(gateserver.Question{Topic: archiver.Topics.Operator}) != nil {
				return
			}
		}
	},
	"silence": client.wait,
}

// crowd keeps a number of clients connected to an address until done is closed; each connects again when its connection ends.
func crowd(size int, address string, behave func(cli client), done <-chan struct{}) {
	var mtx sync.Mutex
	open := map[net.Conn]bool{}
	var all sync.WaitGroup
	for range size {
		all.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				con, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					time.Sleep(sampleInterval)
					continue
				}
				mtx.Lock()
				open[con] = true
				mtx.Unlock()
				behave(client{con: con})
				mtx.Lock()
				delete(open, con)
				mtx.Unlock()
				_ = con.Close()
			}
		})
	}
	<-done
	ended := make(chan struct{})
	go func() {
		all.Wait()
		close(ended)
	}()
	for {
		mtx.Lock()
		for con := range open {
			_ = con.Close()
		}
		mtx.Unlock()
		select {
		case <-ended:
			return
		case <-time.After(sampleInterval):
		}
	}
}

// sendHeartbeats sends heartbeats of ever new entries to an address until done is closed.
func sendHeartbeats(address string, done <-chan struct{}) {
	con, err := net.Dial("udp", address)
	Expect(err).NotTo(HaveOccurred())
	defer con.Close()
	for num := 0; ; num++ {
		select {
		case <-done:
			return
		default:
		}
		name := fmt.Sprintf("%s-%d", strings.Repeat("n", 200), num)
		_, _ = con.Write(heartbeater.Encode(heartbeater.Heartbeat{Name: name, Incarnation: 1, Seq: 1}))
		if num%datagramBurst == 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// resourceUse is the most of its resources that a process has used, with the bytes that the kernel has received for it and it has not read.
type resourceUse struct {
	memory      int64
	unread      int64
	descriptors int
}

// watchCrowd runs a crowd for crowdTime and returns what the process at an IP address has used meanwhile.
func watchCrowd(pro *process, ip string, run func(done <-chan struct{})) resourceUse {
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { run(done) })
	var use resourceUse
	for until := time.Now().Add(crowdTime); time.Now().Before(until); time.Sleep(sampleInterval) {
		use.unread = max(use.unread, unreadBytes(ip))
		use.descriptors = max(use.descriptors, openDescriptors(pro))
	}
	close(done)
	running.Wait()
	use.memory = peakMemory(pro)
	report("memory %d KiB, unread %d KiB, descriptors %d", use.memory>>10, use.unread>>10, use.descriptors)
	return use
}

func expectWithin(use resourceUse, memoryMB int64, descriptors int) {
	Expect(use.memory).To(BeNumerically(">", 0))
	Expect(use.memory+use.unread).To(BeNumerically("<=", memoryMB<<20), "memory with what was received and not read")
	Expect(use.descriptors).To(BeNumerically("<=", descriptors), "descriptors")
}

var peakPattern = regexp.MustCompile(`(?m)^VmHWM:\s+(\d+) kB$`)

// peakMemory returns the most memory in bytes that a process has used, zero if it has ended.
func peakMemory(pro *process) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pro.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	found := peakPattern.FindSubmatch(text)
	if found == nil {
		return 0
	}
	num, _ := strconv.ParseInt(string(found[1]), 10, 64)
	return num << 10
}

func openDescriptors(pro *process) int {
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pro.cmd.Process.Pid))
	return len(all)
}

// unreadBytes returns how many bytes were received on the TCP connections of an IP address and not read.
func unreadBytes(ip string) (sum int64) {
	text, err := os.ReadFile("/proc/net/tcp")
	Expect(err).NotTo(HaveOccurred())
	adr := netip.MustParseAddr(ip).As4()
	prefix := fmt.Sprintf("%02X%02X%02X%02X:", adr[3], adr[2], adr[1], adr[0])
	const listening = "0A"
	for _, line := range strings.Split(string(text), "\n") {
		parts := strings.Fields(line)
		if len(parts) < 5 || !strings.HasPrefix(parts[1], prefix) || parts[3] == listening {
			continue
		}
		_, received, _ := strings.Cut(parts[4], ":")
		num, _ := strconv.ParseInt(received, 16, 64)
		sum += num
	}
	return sum
}

// setLimit sets the number of files that a process may open.
func setLimit(pid int, lim *syscall.Rlimit) error {
	if _, _, num := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(lim)), 0, 0, 0); num != 0 {
		return num
	}
	return nil
}
