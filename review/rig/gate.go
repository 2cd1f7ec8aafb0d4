package rig

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// program is what the build command of the deploy file builds, relative to the root of the repository.
const program = "target/lovagelever"

// Gate is one entry, which runs as a process of its own.
type Gate struct {
	Name string
	// Callers is the IP:PORT at which it takes requests.
	Callers   string
	readiness string
	dir       string
	rec       *Record
	cmd       *exec.Cmd
	ended     chan struct{}
}

// NewGate writes the settings of an entry at a loopback address that uses the store at an address.
func NewGate(dir, name, zone, ip, store string, rec *Record) (*Gate, error) {
	ports, err := freeAddresses(ip, 6)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`name: %s
availability_zone: %s
region: review
address: %s
`, name, zone, ip) + fmt.Sprintf(`listen:
  callers: "%s"
  readiness: "%s"
  directory: "%s"
  entries: "%s"
  metrics: "%s"
  forwarding: "%s"
`, ports...) + fmt.Sprintf(`store:
  address: "%s"
  shortest_lease: "1000ms"
memory_mb: 284
cpu_cores: 0.4
link_mbps: 1000
descriptors: 4100
bounds:
  stop_grace: "8s"
  longest_directory_validity: "5s"
  retry_ratio: 0.2
  retry_slack: 105
  retry_window: "10s"
  load_window: "5s"
`, store)
	gat := &Gate{Name: name, Callers: ports[0].(string), readiness: ports[1].(string), dir: dir, rec: rec}
	return gat, os.WriteFile(gat.settings(), []byte(text), 0o600)
}

// freeAddresses returns addresses at which nothing listens. They are below the ports that outgoing connections get.
func freeAddresses(ip string, num int) (out []any, err error) {
	const first, last = 20000, 30000
	for port := first + os.Getpid()%1000*5; port < last && len(out) < num; port++ {
		address := fmt.Sprintf("%s:%d", ip, port)
		if isFree(address) {
			out = append(out, address)
		}
	}
	if len(out) < num {
		return nil, errors.NotFoundf("rig: free ports at %s", ip)
	}
	return out, nil
}

// isFree reports whether nothing has bound an address for TCP or UDP.
func isFree(address string) bool {
	lis, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = lis.Close() }()
	con, err := new(net.ListenConfig).ListenPacket(context.Background(), "udp", address)
	if err != nil {
		return false
	}
	_ = con.Close()
	return true
}

func (gat *Gate) settings() string {
	return filepath.Join(gat.dir, gat.Name+".yaml")
}

// Start starts the process. It ends with the process that called Start.
func (gat *Gate) Start() error {
	out, err := os.OpenFile(filepath.Join(gat.dir, gat.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.CommandContext(context.Background(), program, "gate")
	cmd.Env = append(os.Environ(), "LOVAGELEVER_SETTINGS="+gat.settings())
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	gat.cmd, gat.ended = cmd, make(chan struct{})
	gat.rec.Logf("%s started", gat.Name)
	go func(ended chan<- struct{}) {
		// How it ended is of no interest.
		_ = cmd.Wait()
		close(ended)
	}(gat.ended)
	return nil
}

// Signal sends a signal to the process.
func (gat *Gate) Signal(sig syscall.Signal) {
	if gat.cmd != nil {
		gat.rec.Logf("%s gets %v", gat.Name, sig)
		_ = gat.cmd.Process.Signal(sig)
	}
}

// AwaitEnd waits until the process has ended.
func (gat *Gate) AwaitEnd(within time.Duration) error {
	select {
	case <-gat.ended:
		gat.rec.Logf("%s ended", gat.Name)
		gat.cmd = nil
		return nil
	case <-time.After(within):
		return errors.Timeoutf("rig: end of %s", gat.Name)
	}
}

// Kill ends the process if it runs.
func (gat *Gate) Kill() {
	if gat.cmd == nil {
		return
	}
	_ = gat.cmd.Process.Kill()
	<-gat.ended
	gat.cmd = nil
}

// AwaitReady waits until the entry says that it is ready.
func (gat *Gate) AwaitReady(within time.Duration) error {
	cli := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+gat.readiness+"/readyz", http.NoBody)
		if err != nil {
			return err
		}
		res, err := cli.Do(req)
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			gat.rec.Logf("%s is ready", gat.Name)
			return nil
		}
	}
	return errors.Timeoutf("rig: %s to be ready", gat.Name)
}
