package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// runVariable has the test program run the command line in place of the tests.
const runVariable = "LOVAGELEVER_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func TestLovagelever(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lovagelever")
}

// output collects what a process writes.
type output struct {
	mux sync.Mutex
	buf bytes.Buffer
}

func (out *output) Write(data []byte) (int, error) {
	out.mux.Lock()
	defer out.mux.Unlock()
	return out.buf.Write(data)
}

func (out *output) String() string {
	out.mux.Lock()
	defer out.mux.Unlock()
	return out.buf.String()
}

// uniqueIP returns a loopback address that ends in a number and that no other test process uses.
func uniqueIP(last int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+pid>>8%100, pid%256, last)
}

// startEntry starts an entry whose store is out of reach, by a command line that takes the program as $0 and its settings as $1.
func startEntry(ip, line string) (*exec.Cmd, *output) {
	file := filepath.Join(GinkgoT().TempDir(), "entry.yaml")
	Expect(os.WriteFile(file, fmt.Appendf(nil, `name: edge
availability_zone: z
region: r
address: %s
listen: {callers: "%[1]s:8000", readiness: "%[1]s:8001", directory: "%[1]s:8002", entries: "%[1]s:8003", metrics: "%[1]s:8004", forwarding: "%[1]s:8005"}
store: {address: "%[1]s:7000", shortest_lease: 1000ms}
memory_mb: 184
bounds: {stop_grace: 8s, longest_directory_validity: 5s, retry_ratio: 0.2, retry_slack: 105, retry_window: 10s, load_window: 5s}
`, ip), 0o600)).To(Succeed())
	cmd, out := exec.Command("sh", "-c", line, os.Args[0], file), &output{}
	cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), runVariable+"=1"), out, out
	Expect(cmd.Start()).To(Succeed())
	DeferCleanup(func() { _ = cmd.Process.Kill() })
	return cmd, out
}

var _ = Describe("An entry as a process", func() {
	// Guards against requests that are cut off because a supervisor repeats SIGTERM during the grace period.
	It("lets running requests end although it is told to stop several times", func() {
		cmd, out := startEntry(uniqueIP(77), `exec "$0" gate --settings "$1"`)
		Eventually(out.String, "5s").Should(ContainSubstring("entry started"))
		for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT, syscall.SIGINT, syscall.SIGHUP} {
			Expect(cmd.Process.Signal(sig)).To(Succeed())
			time.Sleep(200 * time.Millisecond)
		}
		Expect(cmd.Wait()).To(Succeed())
		Expect(out.String()).To(ContainSubstring("entry stopped"))
	})

	// Guards against entries that are ended by a SIGHUP before they listen to it, or that go on ignoring it.
	It("reads its settings again, and survives SIGHUP at its start, if its parent ignores that signal", func() {
		cmd, out := startEntry(uniqueIP(78), `trap "" HUP; echo ignored; exec "$0" gate --settings "$1"`)
		Eventually(out.String, "5s").Should(ContainSubstring("ignored"))
		for !strings.Contains(out.String(), "entry started") {
			Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
			time.Sleep(100 * time.Microsecond)
		}
		reloads := strings.Count(out.String(), "settings reloaded")
		Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Eventually(func() int { return strings.Count(out.String(), "settings reloaded") }, "5s").Should(BeNumerically(">", reloads))
		Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(cmd.Wait()).To(Succeed())
	})
})
